package carry

import (
	"time"

	"go.uber.org/zap"

	"lagoondrum/core/encap"
	"lagoondrum/core/fleet"
	"lagoondrum/core/warm"
)

// openerTimeout is how long a balancer counts among those that share the room of a cold
// upstream after its last heartbeat.
const openerTimeout = 10 * time.Second

// setColdLimit applies the rate of the desired state and the bounds of the settings to
// the limit of the agent's upstream.
func (agt *agent) setColdLimit(now time.Time) {
	if stt := agt.tracker.State(); stt != nil {
		limit, ok := warm.NewBounds(agt.settings.ColdAllowance()).Limit(stt.ColdRate(agt.settings.Service()))
		agt.table.Cold().SetLimit(limit, ok, now)
	}
}

// coldLimitInForce returns the limit in force, 0 when there is none.
func (agt *agent) coldLimitInForce(now time.Time) int {
	if agt.table.Cold().Source(now) == warm.NotCold {
		return 0
	}
	return agt.table.Cold().Limit()
}

// logColdLimit logs when the limit of a cold upstream comes into force or ends.
func (agt *agent) logColdLimit(now time.Time) {
	gat := agt.table.Cold()
	src := gat.Source(now)
	if src == agt.coldSource {
		return
	}
	msg := "cold limit in force"
	if src == warm.NotCold {
		msg = "cold limit ended"
	}
	fields := []zap.Field{zap.Int("limit", gat.Limit()), zap.Float64("rate", agt.coldRate()), zap.Stringer("source", src),
		zap.Stringer("formerSource", agt.coldSource), zap.Int("refused", gat.TakeRefused())}
	if until := gat.EntryUntil(); !until.IsZero() {
		fields = append(fields, zap.Time("entrySaysUntil", until))
	}
	agt.log.Info(msg, fields...)
	agt.coldSource = src
}

// coldRate returns the rate that the desired state sets for the upstream's service.
func (agt *agent) coldRate() float64 {
	if stt := agt.tracker.State(); stt != nil {
		return stt.ColdRate(agt.settings.Service())
	}
	return 0
}

// appendColdRoom appends the room of an upstream that is cold to a heartbeat.
func (agt *agent) appendColdRoom(payload []byte, now time.Time) []byte {
	limit := agt.coldLimitInForce(now)
	if limit == 0 {
		return payload
	}
	balancers := 0
	for _, at := range agt.balancerHeardAt {
		if now.Sub(at) < openerTimeout {
			balancers++
		}
	}
	return encap.AppendField(payload, encap.ColdRoomField, warm.NewReport(agt.table.Cold().Room(now), limit, balancers).Append(nil))
}

// noteColdRoom handles an agent's report of its cold upstream's room.
func (blc *balancer) noteColdRoom(agt *fleet.Agent, value []byte, now time.Time) {
	rep, ok := warm.ParseReport(value)
	if !ok {
		blc.metrics.malformed.Inc(1)
		return
	}
	agt.NoteColdReport(rep, now)
}
