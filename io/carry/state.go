package carry

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"lagoondrum/core/fleet"
	"lagoondrum/core/intent"
	"lagoondrum/core/mirror"
	"lagoondrum/platform"
)

// changed takes new items of the platform into use.
func (blc *balancer) changed(items []mirror.Item, now time.Time) {
	states := make([]*intent.State, 0, 1)
	for _, itm := range items {
		if knd, _ := platform.KindOf(itm.Key()); knd == platform.StateItem && !itm.Deleted() {
			stt, err := platform.ParseState(itm.Value()) // Outside the lock: a large state takes milliseconds.
			if err != nil {
				blc.log.Error("desired state cannot be used", zap.Uint64("revision", itm.Revision()), zap.Error(err))
				continue
			}
			states = append(states, stt)
		}
	}
	blc.mu.Lock()
	defer blc.mu.Unlock()
	for _, stt := range states {
		taken := blc.board.Adopt(stt, now)
		blc.log.Info("desired state", zap.Uint64("version", stt.Version()), zap.Int("routes", stt.Routes()), zap.Bool("inForce", taken))
	}
	for _, itm := range items {
		blc.list(itm, now)
	}
	if !blc.leaving && blc.board.State() != nil && !blc.ready.Load() {
		blc.ready.Store(true)
		blc.log.Info("ready", zap.Uint64("version", blc.board.State().Version()), zap.Int("upstreams", blc.fleet.Len()))
	}
	if len(items) > 0 {
		blc.roundAt, blc.beatAt = now, now
		blc.spread(blc.beat(0, now), blc.fleet.All())
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
		blc.fleet.Unlist(id, now)
		blc.log.Info("upstream unlisted", zap.String("id", id), zap.Uint64("revision", itm.Revision()))
		return
	}
	lst, err := platform.ParseServer(id, itm.Value())
	if err != nil {
		blc.log.Warn("entry of an upstream cannot be used", zap.String("id", id), zap.Uint64("revision", itm.Revision()), zap.Error(err))
		return
	}
	blc.fleet.List(fleet.NewServer(lst, now), now)
	blc.log.Info("upstream listed", zap.String("id", id), zap.String("service", lst.Service), zap.Stringer("vm", netip.AddrFrom4(lst.Address)),
		zap.Bool("draining", lst.Draining), zap.Duration("cold", lst.Cold), zap.Uint64("revision", itm.Revision()))
}
