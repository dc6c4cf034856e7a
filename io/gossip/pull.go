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

// Heard handles a peer's heartbeat, which reports the peer's revision and when that
// was confirmed to be the newest. If the revision is newer than the replica's, the
// changes are fetched from the peer.
func (rep *Replica) Heard(from netip.AddrPort, balancer bool, clm mirror.Claims, revision uint64, now time.Time) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	if balancer {
		rep.policy.NotePeer(from.Addr().As4(), clm, now)
	}
	if revision <= rep.mirror.Revision() {
		if revision == rep.mirror.Revision() {
			rep.policy.NoteConfirmed(clm.ConfirmedAt())
		}
		if revision > 0 && revision >= rep.firstRevision && rep.historyRequests < maxHistoryRequests && !rep.pulling {
			rep.historyRequests++
			rep.pulling = true
			go rep.mergeHistory(from, revision)
		}
		return
	}
	rep.startPull(from, revision)
}

// HeardRevision handles a datagram that tells the revision of a peer outside of its
// heartbeats. If the revision is newer than the replica's, the changes are fetched.
func (rep *Replica) HeardRevision(from netip.AddrPort, revision uint64) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	if revision > rep.mirror.Revision() {
		rep.startPull(from, revision)
	}
}

// startPull fetches changes from a peer with a newer revision, unless changes are
// being fetched already. The caller holds mu.
func (rep *Replica) startPull(from netip.AddrPort, revision uint64) {
	if revision > rep.sourceRevision || !rep.pulling {
		rep.source, rep.sourceRevision = from, revision
	}
	if !rep.pulling {
		rep.pulling = true
		go rep.pull()
	}
}

// pull fetches changes from peers until no peer is known to have a newer revision
// or a fetch fails.
func (rep *Replica) pull() {
	for {
		rep.mu.Lock()
		source, after := rep.source, rep.mirror.Revision()
		if rep.sourceRevision <= after {
			rep.pulling = false
			rep.mu.Unlock()
			return
		}
		rep.mu.Unlock()
		upd, err := rep.fetch(context.Background(), source, after)
		if err != nil {
			rep.log.Info("peer did not answer", zap.Stringer("peer", source), zap.Uint64("after", after), zap.Error(err))
			rep.mu.Lock()
			rep.pulling = false // The next heartbeat starts another attempt.
			rep.sourceRevision = 0
			rep.mu.Unlock()
			return
		}
		rep.adoptFromPeer(upd, time.Now())
		rep.mu.Lock()
		if rep.mirror.Revision() < rep.sourceRevision {
			rep.sourceRevision = rep.mirror.Revision()
		}
		rep.mu.Unlock()
	}
}

// StatusError reports an HTTP status of a peer other than 200.
type StatusError struct{ code int }

func (err *StatusError) Error() string {
	return fmt.Sprintf("gossip: peer answered with HTTP status %d", err.code)
}

// fetch requests the changes after a revision from a peer.
func (rep *Replica) fetch(ctx context.Context, source netip.AddrPort, after uint64) (update, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+source.String()+ChangesPath+"?after="+strconv.FormatUint(after, 10), nil)
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
