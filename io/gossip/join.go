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

// Limits of what a process asks for when it starts.
const (
	maxAsks  = 4                     // Peers that a process asks for former routes after its start.
	joinTime = 60 * time.Millisecond // For each seed's answer after a restart; they are some milliseconds away.
)

// firstAt returns when a process that starts together with the whole system asks
// for the state.
func (rep *Replica) firstAt(start time.Time) time.Time {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.policy.BootstrapAt(start)
}

// join takes the state of a process that has run for longer: it knows former
// routes too, and the platform is spared a call. A process that is restarted asks
// all seeds and waits only for a moment, as flows wait for it; whoever starts
// together with the whole system has time to ask one after the other. A state
// that was not confirmed lately, as of a seed that is cut off, is not adopted but
// returned.
func (rep *Replica) join(ctx context.Context) (stale *update) {
	joined := make(chan *update, len(rep.seeds))
	ask := func(seed netip.AddrPort) { joined <- rep.askSeed(ctx, seed) }
	if rep.first {
		sleep(ctx, time.Until(rep.firstAt(time.Now())))
		for _, at := range rand.Perm(len(rep.seeds)) { // Processes that start together ask different seeds first.
			go ask(rep.seeds[at])
			if rep.takeStale(joined, &stale, pullTimeout); rep.Revision() > 0 {
				return nil
			}
		}
		return stale
	}
	for _, seed := range rep.seeds {
		go ask(seed)
	}
	for range rep.seeds {
		if !rep.takeStale(joined, &stale, joinTime) || rep.Revision() > 0 {
			break
		}
	}
	return stale
}

// takeStale waits for a seed's answer and keeps the newest state that was not
// adopted. It reports whether an answer came.
func (rep *Replica) takeStale(joined <-chan *update, stale **update, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case upd := <-joined:
		if upd != nil && (*stale == nil || upd.revision > (*stale).revision) {
			*stale = upd
		}
		return true
	case <-timer.C:
		return false
	}
}

// askSeed asks a seed for its state, and returns it unless it was adopted or could
// not be had.
func (rep *Replica) askSeed(ctx context.Context, seed netip.AddrPort) *update {
	upd, err := rep.fetch(ctx, seed, 0)
	if err != nil {
		rep.log.Info("seed did not answer", zap.Stringer("seed", seed), zap.Error(err))
		return nil
	}
	if upd.revision == 0 || rep.takeSeed(seed, upd, time.Now()) {
		return nil
	}
	return &upd
}

// takeSeed adopts a seed's state if it was confirmed lately, and reports whether
// it did.
func (rep *Replica) takeSeed(seed netip.AddrPort, upd update, now time.Time) bool {
	fresh := upd.revision > 0 && now.Sub(upd.confirmedAt) < mirror.StaleAfter
	rep.log.Info("seed answered", zap.Stringer("seed", seed), zap.Uint64("revision", upd.revision), zap.Bool("adopted", fresh),
		zap.Bool("historyComplete", upd.history.Complete(now)), logs.Age("age", upd.confirmedAt, now))
	if fresh {
		rep.adoptTold(upd, now)
	}
	return fresh
}

// mergeHistory asks a peer for what it knows of former routes, until this
// process knows enough of them.
func (rep *Replica) mergeHistory(source netip.AddrPort, after uint64) {
	complete := rep.past.History(time.Now()).Complete(time.Now())
	var upd update
	var err error
	if !complete {
		upd, err = rep.fetch(context.Background(), source, after)
	}
	rep.mu.Lock()
	rep.pulling = false
	if complete {
		rep.asks = maxAsks
	}
	rep.mu.Unlock()
	switch {
	case err != nil:
		rep.log.Info("peer did not tell former routes", zap.Stringer("peer", source), zap.Error(err))
	case !complete:
		now := time.Now()
		rep.adoptTold(upd, now)
		rep.log.Info("former routes learned", zap.Stringer("peer", source), zap.Bool("historyComplete", upd.history.Complete(now)))
	}
}
