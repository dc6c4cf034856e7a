package carry

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"lagoondrum/core/fleet"
	"lagoondrum/core/intent"
	"lagoondrum/core/mirror"
	"lagoondrum/io/gossip"
	"lagoondrum/platform"
)

// parseStates decodes the desired states among items, in the order of their
// versions. A large one takes milliseconds, so it is called outside of locks.
func (bas *base) parseStates(items []mirror.Item) []*intent.State {
	var states []*intent.State
	for _, itm := range items {
		if knd, _ := platform.KindOf(itm.Key()); knd != platform.StateItem || itm.Deleted() {
			continue
		}
		stt, err := platform.ParseState(itm.Value())
		if err != nil {
			bas.log.Error("desired state cannot be used", zap.Uint64("revision", itm.Revision()), zap.Error(err))
			continue
		}
		states = append(states, stt)
	}
	return states
}

// adoptStates puts desired states in force, and takes over what the source of the
// news knows of those before them.
func (bas *base) adoptStates(trk *intent.Tracker, states []*intent.State, org gossip.Origin, now time.Time) {
	switch src := org.(type) {
	case gossip.Read:
		if trk.State() != nil {
			trk.NoteGap(now)
		}
	case gossip.Told:
		trk.MergeHistory(src.History(), src.Covered())
	case gossip.Watched:
	}
	for _, stt := range states {
		taken := trk.Adopt(stt, now)
		bas.log.Info("desired state", zap.Uint64("version", stt.Version()), zap.Int("routes", stt.RouteCount()), zap.Bool("inForce", taken), zap.Bool("historyComplete", trk.Complete(now)))
	}
}

// History returns what is known of former routes.
func (blc *balancer) History(now time.Time) intent.History {
	blc.mu.Lock()
	defer blc.mu.Unlock()
	return blc.tracker.History(now)
}

// changed takes news of the platform into use.
func (blc *balancer) changed(nws gossip.News, now time.Time) {
	items := nws.Items()
	states := blc.parseStates(items)
	blc.mu.Lock()
	defer blc.mu.Unlock()
	blc.adoptStates(blc.tracker, states, nws.Origin(), now)
	for _, itm := range items {
		blc.list(itm, now)
	}
	if !blc.leaving && blc.tracker.State() != nil && !blc.ready.Load() {
		blc.ready.Store(true)
		blc.log.Info("ready", zap.Uint64("version", blc.tracker.State().Version()), zap.Int("upstreams", blc.fleet.Len()))
	}
	if len(items) > 0 {
		blc.heartbeatAt = now
		blc.spread(blc.heartbeat(0, now), blc.fleet.All())
		blc.post.flush()
		blc.awake()
	}
}

func (blc *balancer) list(itm mirror.Item, now time.Time) {
	knd, id := platform.KindOf(itm.Key())
	if knd != platform.ServerItem {
		return
	}
	if itm.Deleted() {
		blc.fleet.RemoveEntry(id, now)
		blc.log.Info("upstream unlisted", zap.String("id", id), zap.Uint64("revision", itm.Revision()))
		return
	}
	lst, err := platform.ParseServer(id, itm.Value())
	if err != nil {
		blc.log.Warn("entry of an upstream cannot be used", zap.String("id", id), zap.Uint64("revision", itm.Revision()), zap.Error(err))
		return
	}
	blc.fleet.PutEntry(fleet.NewUpstream(lst, now), now)
	blc.log.Info("upstream listed", zap.String("id", id), zap.String("service", lst.Service), zap.Stringer("vm", netip.AddrFrom4(lst.Address)),
		zap.Bool("draining", lst.Draining), zap.Duration("cold", lst.ColdFor), zap.Uint64("revision", itm.Revision()))
}
