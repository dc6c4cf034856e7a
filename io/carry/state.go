package carry

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"lagoondrum/core/fleet"
	"lagoondrum/core/intent"
	"lagoondrum/core/mirror"
	"lagoondrum/io/gossip"
	"lagoondrum/io/logs"
	"lagoondrum/platform"
)

// parseStates decodes the desired states among items, in the order of the items.
// Decoding a large state takes milliseconds, so callers must not hold the lock.
func (bas *base) parseStates(items []mirror.Item) []*intent.State {
	var states []*intent.State
	for _, itm := range items {
		if knd, _ := platform.KindOf(itm.Key()); knd != platform.StateItem || itm.Deleted() {
			continue
		}
		stt, err := platform.ParseState(itm.Value())
		if err != nil {
			bas.log.Error("invalid desired state", gossip.LogPosition(itm.Position()), zap.Error(err))
			continue
		}
		for _, part := range stt.Ignored() {
			bas.log.Warn("part of the desired state ignored", zap.Uint64("version", stt.Version()), zap.String("part", part))
		}
		states = append(states, stt)
	}
	return states
}

// adoptStates puts desired states in force and updates the history of former routes
// according to the origin: a full read leaves a gap in it if the desired state has
// changed, a peer supplies its own history.
func (bas *base) adoptStates(trk *intent.Tracker, states []*intent.State, org gossip.Origin, now time.Time) {
	switch src := org.(type) {
	case gossip.Read:
		if trk.State() != nil && !src.StateUnchanged() {
			trk.NoteGap(now)
		}
		bas.log.Info("read in full", zap.Bool("stateUnchanged", src.StateUnchanged()), zap.Bool("historyComplete", trk.Complete(now)))
	case gossip.Told:
		trk.MergeHistory(src.History(), src.Covered())
	case gossip.Watched, gossip.Settled:
	}
	for _, stt := range states {
		taken := trk.Adopt(stt, now)
		bas.log.Info("desired state", zap.Uint64("version", stt.Version()), zap.Int("routes", stt.RouteCount()), zap.Duration("idleTimeout", stt.IdleTimeout()), zap.Bool("inForce", taken), zap.Bool("historyComplete", trk.Complete(now)))
	}
}

// History returns the former services of the routes.
func (blc *balancer) History(now time.Time) intent.History {
	blc.mu.Lock()
	defer blc.mu.Unlock()
	return blc.tracker.History(now)
}

// Memory returns what is remembered of upstreams and agents.
func (blc *balancer) Memory(now time.Time) fleet.Memory {
	blc.mu.Lock()
	defer blc.mu.Unlock()
	return blc.fleet.Memory(now)
}

// applyChanges applies changes of the platform's state. The first desired state
// makes the balancer ready.
func (blc *balancer) applyChanges(nws gossip.News, now time.Time) {
	items := nws.Items()
	states := blc.parseStates(items)
	blc.mu.Lock()
	defer blc.mu.Unlock()
	blc.adoptStates(blc.tracker, states, nws.Origin(), now)
	blc.fleet.SetState(blc.tracker.State())
	blc.watch.setState(blc.tracker.State())
	blc.fleet.NoteAway(blc.replica.AwayAt())
	for _, itm := range items {
		blc.applyEntry(itm, now)
	}
	mergeMemory(blc.fleet, nws.Origin(), now)
	blc.applyEvacuations(blc.fleet, items, nws.Origin(), now)
	blc.table.SetRevision(uint64(nws.Position()), now)
	blc.noteFleetChanges(now)
	if !blc.leaving && blc.tracker.State() != nil && !blc.ready.Load() {
		blc.ready.Store(true)
		blc.log.Info("ready", zap.Uint64("version", blc.tracker.State().Version()), zap.Int("upstreams", blc.fleet.Len()))
	}
	if len(items) > 0 {
		blc.heartbeatDueAt = now
		blc.announceState(blc.heartbeat(0, now), blc.fleet.All())
		blc.wakeTicker()
	}
	blc.flush(now)
}

// applyEntry applies a changed or deleted entry of an upstream.
func (blc *balancer) applyEntry(itm mirror.Item, now time.Time) {
	knd, id := platform.KindOf(itm.Key())
	if knd != platform.ServerItem {
		return
	}
	if itm.Deleted() {
		blc.fleet.RemoveEntry(id, now)
		blc.log.Info("upstream unlisted", zap.String("id", id), gossip.LogPosition(itm.Position()))
		return
	}
	lst, err := platform.ParseServer(id, itm.Value())
	if err != nil {
		blc.log.Warn("invalid upstream entry", zap.String("id", id), gossip.LogPosition(itm.Position()), zap.Error(err))
		return
	}
	blc.fleet.PutEntry(upstreamOf(lst, itm, now), now)
	if itm.Mark() == mirror.Doubtful { // Its agent's answer confirms the upstream; in a large fleet its turn may be far off.
		blc.heartbeatTargets = append([][4]byte{lst.Address}, blc.heartbeatTargets...)
	}
	blc.log.Info("upstream listed", zap.String("id", id), zap.String("service", lst.Service), zap.Stringer("vm", netip.AddrFrom4(lst.Address)),
		zap.Bool("draining", lst.Draining), zap.Bool("doubtful", itm.Mark() == mirror.Doubtful), zap.Duration("cold", lst.ColdFor), zap.Bool("serviceNamed", blc.tracker.State() == nil || blc.tracker.State().NamesService(lst.Service)), gossip.LogPosition(itm.Position()))
}

// upstreamOf returns the upstream of an entry.
func upstreamOf(lst fleet.Listing, itm mirror.Item, now time.Time) *fleet.Upstream {
	ups := fleet.NewUpstream(lst, now)
	if itm.Mark() == mirror.Doubtful {
		ups = ups.WithDoubt()
	}
	return ups
}

// mergeMemory merges what a peer remembers of upstreams and agents.
func mergeMemory(flt *fleet.Fleet, org gossip.Origin, now time.Time) {
	if src, ok := org.(gossip.Told); ok {
		flt.MergeMemory(src.Memory(), now)
	}
}

// noteFleetChanges logs what has changed of upstreams without an entry, and resets the
// flows that none can hold any more.
func (blc *balancer) noteFleetChanges(now time.Time) {
	if blc.logFleetChanges(blc.fleet, now) {
		blc.table.ResetDenied(now)
	}
}

// logFleetChanges logs what has changed of upstreams without an entry, and reports
// whether any has ended.
func (bas *base) logFleetChanges(flt *fleet.Fleet, now time.Time) bool {
	ended := false
	for _, chg := range flt.TakeChanges() {
		msg, ups := "upstream departed", chg.Upstream()
		if chg.Cause().Ends() {
			msg, ended = "upstream ended", true
		}
		bas.log.Info(msg, zap.String("id", ups.ID()), zap.String("service", ups.Service()), zap.Stringer("vm", netip.AddrFrom4(ups.Address())),
			zap.Stringer("cause", chg.Cause()), logs.Age("stateAge", bas.replica.ConfirmedAt(), now))
	}
	return ended
}
