package gossip

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"go.uber.org/zap"

	"lagoondrum/core/mirror"
)

// Heard handles a peer's heartbeat, which reports the peer's position and when that
// was confirmed to be the newest. If the position is newer than the replica's, the
// changes are fetched from the peer. A peer in an earlier era reads answers of a store
// that is no more, so it does not count as a reader.
func (rep *Replica) Heard(from netip.AddrPort, balancer bool, clm mirror.Claims, position mirror.Position, now time.Time) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	if balancer {
		if position.Era() < rep.mirror.Position().Era() {
			clm = clm.WithoutReading()
		}
		rep.policy.NotePeer(from.Addr().As4(), clm, now)
	}
	if position <= rep.mirror.Position() {
		if position == rep.mirror.Position() {
			rep.policy.NoteConfirmed(clm.ConfirmedAt())
		}
		if position > 0 && position >= rep.firstPosition && rep.historyRequests < maxHistoryRequests && !rep.pulling {
			rep.historyRequests++
			rep.pulling = true
			go rep.mergeHistory(from, position)
		}
		return
	}
	rep.startPull(from, position)
}

// HeardPosition handles a datagram that tells the position of a peer outside of its
// heartbeats. If the position is newer than the replica's, the changes are fetched.
func (rep *Replica) HeardPosition(from netip.AddrPort, position mirror.Position) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	if position > rep.mirror.Position() {
		rep.startPull(from, position)
	}
}

// startPull fetches changes from a peer with a newer position, unless changes are
// being fetched already. The caller holds mu.
func (rep *Replica) startPull(from netip.AddrPort, position mirror.Position) {
	if position > rep.sourcePosition || !rep.pulling {
		rep.source, rep.sourcePosition = from, position
	}
	if !rep.pulling {
		rep.pulling = true
		go rep.pull()
	}
}

// pull fetches changes from peers until no peer is known to have a newer position
// or a fetch fails.
func (rep *Replica) pull() {
	for {
		rep.mu.Lock()
		source, after := rep.source, rep.mirror.Position()
		if rep.sourcePosition <= after {
			rep.pulling = false
			rep.mu.Unlock()
			return
		}
		rep.mu.Unlock()
		upd, err := rep.fetch(context.Background(), source, after)
		if err != nil {
			rep.log.Info("peer did not answer", zap.Stringer("peer", source), LogPosition(after), zap.Error(err))
			rep.mu.Lock()
			rep.pulling = false // The next heartbeat starts another attempt.
			rep.sourcePosition = 0
			rep.mu.Unlock()
			return
		}
		rep.adoptFromPeer(upd, time.Now())
		rep.mu.Lock()
		if rep.mirror.Position() < rep.sourcePosition {
			rep.sourcePosition = rep.mirror.Position()
		}
		rep.mu.Unlock()
	}
}

// StatusError reports an HTTP status of a peer other than 200.
type StatusError struct{ code int }

func (err *StatusError) Error() string {
	return fmt.Sprintf("gossip: peer answered with HTTP status %d", err.code)
}

// fetch requests the changes after a position from a peer. One of the earlier version
// knows no era, and answers by the revision alone.
func (rep *Replica) fetch(ctx context.Context, source netip.AddrPort, after mirror.Position) (update, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+source.String()+ChangesPath+"?after="+strconv.FormatUint(after.Revision(), 10)+"&era="+strconv.FormatUint(after.Era(), 10), nil)
	if err != nil {
		return update{}, err
	}
	rsp, err := rep.client.Do(req)
	if err != nil {
		return update{}, err
	}
	defer rsp.Body.Close()
	if rsp.StatusCode != http.StatusOK {
		return update{}, &StatusError{code: rsp.StatusCode}
	}
	body, err := io.ReadAll(io.LimitReader(rsp.Body, maxUpdateBytes))
	if err != nil {
		return update{}, err
	}
	return decodeUpdate(body, time.Now())
}
