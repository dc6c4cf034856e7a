package peer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"lagoondrum/core/lists"
	"lagoondrum/io/peer/internal/wire"
)

// exchangeInterval is how often a process compares its lists with one peer.
const exchangeInterval = 2 * time.Second

// exchanger compares lists with the peers of the overlay: with one of them now
// and then, and with all as soon as a list has changed.
type exchanger struct{ msh *Mesh }

func (exc *exchanger) String() string { return "exchanger" }

// Serve runs until the context ends.
func (exc *exchanger) Serve(ctx context.Context) error {
	msh := exc.msh
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	exc.withAll(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-msh.wake:
			exc.withAll(ctx)
		case <-ticker.C:
			exc.withOne(ctx)
		}
	}
}

// Changed tells the mesh that a list has changed, so that peers hear of it now.
func (msh *Mesh) Changed(lists.Name) {
	select {
	case msh.wake <- struct{}{}:
	default:
	}
}

func (msh *Mesh) peers() []netip.AddrPort {
	if peers := msh.lists.Overlay().Peers(); len(peers) > 0 {
		return peers
	}
	return msh.seeds
}

func (exc *exchanger) withAll(ctx context.Context) {
	for _, to := range exc.msh.peers() {
		go exc.msh.exchange(ctx, to)
	}
}

func (exc *exchanger) withOne(ctx context.Context) {
	if peers := exc.msh.peers(); len(peers) > 0 {
		go exc.msh.exchange(ctx, peers[rand.IntN(len(peers))])
	}
}

// exchange tells a peer the versions in force here, takes what it has newer and
// sends what it lacks.
func (msh *Mesh) exchange(ctx context.Context, to netip.AddrPort) {
	con, err := msh.open(ctx, to)
	if err != nil {
		msh.scope.Counter("exchangesFailed").Inc(1)
		return
	}
	defer con.close()
	deadline := time.Now().Add(messageTimeout)
	if con.send(exchangeStep(msh.digest(nil)), deadline) != nil {
		return
	}
	stp, err := con.receive(deadline)
	if err != nil {
		msh.scope.Counter("exchangesFailed").Inc(1)
		return
	}
	msh.noteHeard()
	msh.scope.Counter("exchanges").Inc(1)
	needs := msh.take(stp.GetExchange())
	news := msh.updatesFor(stp.GetExchange().GetVersions())
	if len(needs) == 0 && len(news) == 0 {
		return
	}
	msh.followUp(con, needs, news, deadline)
}

// followUp sends what the peer lacks, and asks for whole lists where a patch
// did not fit.
func (msh *Mesh) followUp(con *conn, needs []lists.Name, news []*wire.Update, deadline time.Time) {
	exc := msh.digest(news)
	for _, name := range needs {
		exc.Versions = append(withoutVersion(exc.Versions, name), &wire.Version{Name: string(name)})
	}
	if con.send(exchangeStep(exc), deadline) != nil || len(needs) == 0 {
		return
	}
	if stp, err := con.receive(deadline); err == nil {
		msh.take(stp.GetExchange())
	}
}

// answerExchange serves the other side of exchange.
func (msh *Mesh) answerExchange(con *conn, exc *wire.Exchange) {
	deadline := time.Now().Add(messageTimeout)
	for {
		msh.take(&wire.Exchange{ConfirmedAgeMillis: exc.GetConfirmedAgeMillis(), Updates: exc.GetUpdates()})
		if con.send(exchangeStep(msh.digest(msh.updatesFor(exc.GetVersions()))), deadline) != nil {
			return
		}
		stp, err := con.receive(deadline)
		if err != nil || stp.GetExchange() == nil {
			return
		}
		exc = stp.GetExchange()
	}
}

func exchangeStep(exc *wire.Exchange) *wire.Step {
	return &wire.Step{Kind: &wire.Step_Exchange{Exchange: exc}}
}

func (msh *Mesh) digest(updates []*wire.Update) *wire.Exchange {
	exc := &wire.Exchange{Updates: updates}
	for _, name := range lists.Names() {
		exc.Versions = append(exc.Versions, encodeVersion(name, msh.lists.Version(name)))
	}
	if at := msh.lists.Confirmed(); !at.IsZero() {
		exc.ConfirmedAgeMillis = uint64(max(time.Since(at).Milliseconds(), 1))
	}
	return exc
}

// take applies what a peer sent and returns the lists that are needed whole.
func (msh *Mesh) take(exc *wire.Exchange) []lists.Name {
	now := time.Now()
	if age := exc.GetConfirmedAgeMillis(); age > 0 {
		msh.lists.Confirm(now.Add(-time.Duration(age) * time.Millisecond))
	}
	var needs []lists.Name
	for _, raw := range exc.GetUpdates() {
		upd, err := decodeUpdate(raw)
		if err != nil {
			msh.scope.Counter("updatesBad").Inc(1)
			continue
		}
		if msh.lists.Apply(upd, now) {
			needs = append(needs, upd.Name())
		}
	}
	return needs
}

func (msh *Mesh) updatesFor(versions []*wire.Version) []*wire.Update {
	var all []*wire.Update
	for _, ver := range versions {
		upd, ok := msh.lists.UpdateFor(lists.Name(ver.GetName()), decodeVersion(ver))
		if !ok {
			continue
		}
		if encoded, err := encodeUpdate(upd); err == nil {
			all = append(all, encoded)
		}
	}
	return all
}

func withoutVersion(versions []*wire.Version, name lists.Name) []*wire.Version {
	var kept []*wire.Version
	for _, ver := range versions {
		if ver.GetName() != string(name) {
			kept = append(kept, ver)
		}
	}
	return kept
}

func (msh *Mesh) noteHeard() {
	msh.mu.Lock()
	defer msh.mu.Unlock()
	msh.heard = true
}
