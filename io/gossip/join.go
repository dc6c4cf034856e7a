package gossip

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"lagoondrum/core/mirror"
	"lagoondrum/io/logs"
)

// Limits of the requests that a process sends to peers when it starts.
const (
	maxHistoryRequests = 4                     // Requests for the former routes after the start, each to one peer.
	joinTimeout        = 20 * time.Millisecond // For each answer of a seed after a restart; the round trip takes a few milliseconds, and flows wait meanwhile.
)

// bootstrapAt returns when this process first asks for the state if the whole
// system starts at the given time.
func (rep *Replica) bootstrapAt(start time.Time) time.Time {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.policy.BootstrapAt(start)
}

// join adopts the state of a seed, which knows the former routes too and saves a
// call to the platform. A restarted process asks all seeds at once and waits only
// briefly, because flows wait for it. When the whole system starts for the first
// time there is time to ask one seed after the other. A state without a recent
// confirmation, such as that of a seed that is cut off, is not adopted; join
// returns the newest of these.
func (rep *Replica) join(ctx context.Context) (stale *update) {
	answers := make(chan *update, len(rep.seeds))
	ask := func(seed netip.AddrPort) { answers <- rep.fetchSeed(ctx, seed) }
	if rep.firstStart {
		sleep(ctx, time.Until(rep.bootstrapAt(time.Now())))
		for _, idx := range rand.Perm(len(rep.seeds)) { // In random order, so that processes that start together do not all ask the same seed first.
			go ask(rep.seeds[idx])
			if rep.awaitSeed(answers, &stale, pullTimeout); rep.Position() > 0 {
				return nil
			}
		}
		return stale
	}
	for _, seed := range rep.seeds {
		go ask(seed)
	}
	for range rep.seeds {
		if !rep.awaitSeed(answers, &stale, joinTimeout) || rep.Position() > 0 {
			break
		}
	}
	return stale
}

// awaitSeed waits for one result of fetchSeed and keeps the newest state that was
// not adopted in stale. It reports whether a result arrived in time.
func (rep *Replica) awaitSeed(answers <-chan *update, stale **update, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case upd := <-answers:
		if upd != nil && (*stale == nil || upd.position > (*stale).position) {
			*stale = upd
		}
		return true
	case <-timer.C:
		return false
	}
}

// fetchSeed asks a seed for its state and adopts it if it is fresh. Otherwise it
// returns the state, or nil if the seed has none or did not answer.
func (rep *Replica) fetchSeed(ctx context.Context, seed netip.AddrPort) *update {
	upd, err := rep.fetch(ctx, seed, 0)
	if err != nil {
		rep.log.Info("seed did not answer", zap.Stringer("seed", seed), zap.Error(err))
		return nil
	}
	if upd.position == 0 || rep.adoptFresh(seed, upd, time.Now()) {
		return nil
	}
	return &upd
}

// fresh reports whether a state that was confirmed at the given time is recent.
func (rep *Replica) fresh(confirmedAt, now time.Time) bool {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.policy.Fresh(confirmedAt, now)
}

// adoptFresh adopts a seed's state if its last confirmation is recent, and reports
// whether it did.
func (rep *Replica) adoptFresh(seed netip.AddrPort, upd update, now time.Time) bool {
	fresh := upd.position > 0 && rep.fresh(upd.confirmedAt, now)
	rep.log.Info("seed answered", zap.Stringer("seed", seed), LogPosition(upd.position), zap.Bool("adopted", fresh),
		zap.Bool("historyComplete", upd.history.Complete(now)), logs.Age("age", upd.confirmedAt, now))
	if fresh {
		rep.adoptFromPeer(upd, now)
	}
	return fresh
}

// mergeHistory fetches the history of former routes from a peer and merges it. Once
// the history of this process is complete, it stops further requests.
func (rep *Replica) mergeHistory(source netip.AddrPort, after mirror.Position) {
	complete := rep.history.History(time.Now()).Complete(time.Now())
	var upd update
	var err error
	if !complete {
		upd, err = rep.fetch(context.Background(), source, after)
	}
	rep.mu.Lock()
	rep.pulling = false
	if complete {
		rep.historyRequests = maxHistoryRequests
	}
	rep.mu.Unlock()
	switch {
	case err != nil:
		rep.log.Info("peer did not send former routes", zap.Stringer("peer", source), zap.Error(err))
	case !complete:
		now := time.Now()
		rep.adoptFromPeer(upd, now)
		rep.log.Info("former routes learned", zap.Stringer("peer", source), zap.Bool("historyComplete", upd.history.Complete(now)))
	}
}
