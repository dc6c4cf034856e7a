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

// exchanger compares list versions with the peers of the overlay: with one random
// peer every exchangeInterval, and with all of them at the start and as soon as a
// list changes.
type exchanger struct{ msh *Mesh }

func (exc *exchanger) String() string { return "exchanger" }

// Serve runs until the context ends.
func (exc *exchanger) Serve(ctx context.Context) error {
	msh := exc.msh
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	exc.exchangeWithAll(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-msh.listChanged:
			exc.exchangeWithAll(ctx)
		case <-ticker.C:
			exc.exchangeWithRandom(ctx)
		}
	}
}

// Changed requests an immediate exchange with all peers because a list has
// changed. It does not block; a request that is already pending covers the change.
func (msh *Mesh) Changed(lists.Name) {
	select {
	case msh.listChanged <- struct{}{}:
	default:
	}
}

// peers returns the peers of the overlay, or the configured seeds while the
// overlay has none.
func (msh *Mesh) peers() []netip.AddrPort {
	if peers := msh.lists.Overlay().Peers(); len(peers) > 0 {
		return peers
	}
	return msh.seeds
}

func (exc *exchanger) exchangeWithAll(ctx context.Context) {
	for _, to := range exc.msh.peers() {
		go exc.msh.exchange(ctx, to)
	}
}

func (exc *exchanger) exchangeWithRandom(ctx context.Context) {
	if peers := exc.msh.peers(); len(peers) > 0 {
		go exc.msh.exchange(ctx, peers[rand.IntN(len(peers))])
	}
}

// exchange sends the local list versions to a peer, applies the updates in its
// reply and sends the updates that the peer lacks.
func (msh *Mesh) exchange(ctx context.Context, to netip.AddrPort) {
	con, err := msh.openStream(ctx, to)
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
	wanted := msh.applyExchange(stp.GetExchange())
	updates := msh.updatesFor(stp.GetExchange().GetVersions())
	if len(wanted) == 0 && len(updates) == 0 {
		return
	}
	msh.completeExchange(con, wanted, updates, deadline)
}

// completeExchange sends the updates that the peer lacks. For each wanted list,
// whose patch did not apply, it announces the zero version, so that the peer
// replies with the whole list.
func (msh *Mesh) completeExchange(con *conn, wanted []lists.Name, updates []*wire.Update, deadline time.Time) {
	exc := msh.digest(updates)
	for _, name := range wanted {
		exc.Versions = append(withoutVersion(exc.Versions, name), &wire.Version{Name: string(name)})
	}
	if con.send(exchangeStep(exc), deadline) != nil || len(wanted) == 0 {
		return
	}
	if stp, err := con.receive(deadline); err == nil {
		msh.applyExchange(stp.GetExchange())
	}
}

// answerExchange handles an exchange that a peer started: it applies each message
// and replies with its own versions and updates until the peer closes the stream.
func (msh *Mesh) answerExchange(con *conn, exc *wire.Exchange) {
	deadline := time.Now().Add(messageTimeout)
	for {
		msh.applyExchange(&wire.Exchange{ConfirmedAgeMillis: exc.GetConfirmedAgeMillis(), Updates: exc.GetUpdates()})
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

// digest returns an exchange message with the version of every list, the time
// since the lists were last confirmed, and the given updates.
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

// applyExchange applies the updates of a peer's message and returns the lists to
// request whole because a patch did not apply.
func (msh *Mesh) applyExchange(exc *wire.Exchange) []lists.Name {
	now := time.Now()
	if age := exc.GetConfirmedAgeMillis(); age > 0 {
		msh.lists.Confirm(now.Add(-time.Duration(age) * time.Millisecond))
	}
	var wanted []lists.Name
	for _, raw := range exc.GetUpdates() {
		upd, err := decodeUpdate(raw)
		if err != nil {
			msh.scope.Counter("updatesBad").Inc(1)
			continue
		}
		if msh.lists.Apply(upd, now) {
			wanted = append(wanted, upd.Name())
		}
	}
	return wanted
}

// updatesFor returns the updates for a peer that has the given versions.
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
