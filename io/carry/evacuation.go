package carry

import (
	"time"

	"go.uber.org/zap"

	"lagoondrum/core/evac"
	"lagoondrum/core/fleet"
	"lagoondrum/core/mirror"
	"lagoondrum/io/gossip"
	"lagoondrum/platform"
)

// applyEvacuations applies orders to evacuate availability zones, and their removals,
// after the entries of the same changes, so that the logged numbers of upstreams hold.
func (bas *base) applyEvacuations(flt *fleet.Fleet, items []mirror.Item, org gossip.Origin, now time.Time) {
	src := sourceOf(org)
	for _, itm := range items {
		knd, zone := platform.KindOf(itm.Key())
		switch {
		case knd != platform.EvacuationItem:
		case itm.Deleted():
			bas.takeBack(flt, zone, itm, src, now)
		default:
			bas.evacuate(flt, evac.NewOrder(zone, itm.Position(), src, now), itm.Value())
		}
	}
}

// sourceOf returns the source of orders that come with changes of an origin.
func sourceOf(org gossip.Origin) evac.Source {
	switch org.(type) {
	case gossip.Told:
		return evac.Peer
	default:
		return evac.Platform
	}
}

func (bas *base) evacuate(flt *fleet.Fleet, ord evac.Order, value []byte) {
	if err := platform.CheckEvacuation(value); err != nil {
		bas.log.Warn("value of an evacuation is not used", zap.String("zone", ord.Zone()), gossip.LogPosition(ord.Position()), zap.Error(err))
	}
	fresh, upstreams := flt.Evacuate(ord), flt.InZone(ord.Zone())
	fields := []zap.Field{zap.String("zone", ord.Zone()), gossip.LogPosition(ord.Position()), zap.Int("upstreams", upstreams), zap.Stringer("source", ord.Source())}
	switch {
	case fresh && upstreams == 0:
		bas.log.Warn("zone evacuated in which no upstream is listed", fields...)
	case fresh:
		bas.log.Info("zone evacuated", fields...)
	}
}

func (bas *base) takeBack(flt *fleet.Fleet, zone string, itm mirror.Item, src evac.Source, now time.Time) {
	if ord, evacuated := flt.TakeBack(zone); evacuated {
		bas.log.Info("zone taken back", zap.String("zone", zone), gossip.LogPosition(itm.Position()), zap.Int("upstreams", flt.InZone(zone)), zap.Stringer("source", src),
			zap.Uint64("orderRevision", ord.Position().Revision()), zap.Stringer("orderSource", ord.Source()), zap.Duration("evacuatedFor", now.Sub(ord.Since())))
	}
}

// applyOwnZone has the flow table refuse openings while the zone of the agent's own
// upstream is evacuated. The zone is that of the upstream's entry; while the entry is
// missing or another service's, it is that of the process.
func (agt *agent) applyOwnZone() {
	zone := agt.settings.Place().Zone()
	if own := agt.fleet.Agent(agt.self.Addr().As4()); own != nil && own.ServiceID() == agt.table.Service() {
		zone = own.Upstream().Zone()
	}
	evacuated := agt.fleet.Evacuations().InForce(zone)
	if evacuated != agt.table.Evacuated() {
		agt.log.Info("own zone", zap.String("zone", zone), zap.Bool("evacuated", evacuated), zap.Int("flows", agt.table.Flows()))
	}
	agt.table.SetEvacuated(evacuated)
}

// setEvacuated sets the gauge of the upstreams that get no new flows because their
// availability zones are evacuated.
func (ggs gauges) setEvacuated(flt *fleet.Fleet) {
	ggs.set("upstreamsEvacuated", float64(flt.Evacuated()))
}
