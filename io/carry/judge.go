package carry

import (
	"net/netip"
	"time"

	tally "github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"lagoondrum/core/encap"
	"lagoondrum/core/fleet"
	"lagoondrum/core/judge"
	"lagoondrum/core/picker"
	"lagoondrum/core/track"
	"lagoondrum/io/conf"
	"lagoondrum/io/logs"
	"lagoondrum/io/stats"
	"lagoondrum/platform"
)

// Timing and limits of the judgement of upstreams.
const (
	reviewInterval = 250 * time.Millisecond // Between two comparisons of the upstreams of each service.
	maxNewsTargets = 32                     // Balancers that are told news at once; the others learn it from answers and heartbeats.
	balancerRecent = 5 * time.Second        // A balancer that was heard within this time is told.
)

// judgesUpstreams reports whether the settings ask for upstreams to be judged by what
// callers get from them.
func judgesUpstreams(set *conf.Settings) bool {
	return set.JudgesUpstreams(platform.NewTerms(set.Contracts()).Health())
}

// appendEvidence appends what callers got from the upstream to a payload for balancers.
func (agt *agent) appendEvidence(payload []byte, now time.Time) []byte {
	if !agt.judges {
		return payload
	}
	return encap.AppendField(payload, encap.EvidenceField, agt.table.Evidence(now).Append(nil))
}

// tellNews tells balancers what callers got when that has changed much.
func (agt *agent) tellNews(now time.Time) {
	if !agt.judges || !agt.table.EvidenceIsNews(now) {
		return
	}
	hdr, payload, told := agt.agentHeartbeat(now), agt.heartbeatFields(now), 0
	for blc, heardAt := range agt.balancerHeardAt { // In random order, so that in a large fleet it is not always the same ones that learn it first.
		if now.Sub(heardAt) < balancerRecent && told < maxNewsTargets {
			agt.peerSender.addDatagram(hdr, payload, blc)
			told++
		}
	}
	evd := agt.table.Evidence(now)
	agt.metrics.scope.Counter("evidenceNews").Inc(1)
	agt.log.Info("evidence told", zap.Int("balancers", told), zap.Object("evidence", evidenceFields(evd)))
}

// upstreamJudge judges the upstreams of a balancer's fleet.
type upstreamJudge struct {
	fleet       *fleet.Fleet
	log         *zap.Logger
	scope       *stats.Scope
	verdicts    [judge.ReasonCount]tally.Counter
	trials      tally.Counter
	lastResorts tally.Counter
	spared      map[string]int // By service, at the last review.
	reviewDueAt time.Time
}

// newUpstreamJudge returns the judge of a balancer, or nil if the settings ask for none.
func newUpstreamJudge(set *conf.Settings, flt *fleet.Fleet, log *zap.Logger, scope *stats.Scope) *upstreamJudge {
	if !judgesUpstreams(set) {
		return nil
	}
	return newJudgeOf(flt, log, scope)
}

func newJudgeOf(flt *fleet.Fleet, log *zap.Logger, scope *stats.Scope) *upstreamJudge {
	ujg := &upstreamJudge{fleet: flt, log: log, scope: scope, spared: make(map[string]int),
		trials: scope.Counter("suspectFlows", "cause", "trial"), lastResorts: scope.Counter("suspectFlows", "cause", "othersFull")}
	for rsn := range judge.ReasonCount {
		ujg.verdicts[rsn] = scope.Counter("verdicts", "reason", rsn.String())
	}
	return ujg
}

// hear records the evidence of an agent. It reports false when the evidence is
// malformed.
func (ujg *upstreamJudge) hear(agt *fleet.Agent, data []byte, now time.Time) bool {
	if ujg == nil {
		return true
	}
	evd, ok := judge.Parse(data)
	if ok {
		agt.Judged().Hear(evd, agt.Upstream().Cold(now), now)
	}
	return ok
}

// review compares the upstreams of each service if that is due.
func (ujg *upstreamJudge) review(now time.Time) {
	if ujg == nil || now.Before(ujg.reviewDueAt) {
		return
	}
	ujg.reviewDueAt = now.Add(reviewInterval)
	suspects, spared := 0, 0
	ujg.fleet.EachService(func(name string, agts []*fleet.Agent) {
		sbjs := make([]*judge.Subject, len(agts))
		for i, agt := range agts {
			sbjs[i] = agt.Judged()
		}
		rev := judge.Compare(sbjs, now)
		for _, chg := range rev.Changes() {
			ujg.noteChange(agts[chg.Index()], chg, rev, now)
		}
		ujg.noteSpared(name, rev.Spared(), len(agts))
		spared += rev.Spared()
		for _, sbj := range sbjs {
			if sbj.Suspect() {
				suspects++
			}
		}
	})
	ujg.scope.Gauge("upstreamsSuspect").Update(float64(suspects))
	ujg.scope.Gauge("upstreamsSpared").Update(float64(spared))
}

// noteChange counts and logs a verdict with the evidence for it and what is usual at the
// service's other upstreams.
func (ujg *upstreamJudge) noteChange(agt *fleet.Agent, chg judge.Change, rev judge.Review, now time.Time) {
	ujg.verdicts[chg.Reason()].Inc(1)
	sbj, ups := agt.Judged(), agt.Upstream()
	ujg.log.Info("upstream judged", zap.String("upstream", ups.ID()), zap.String("service", ups.Service()), zap.Bool("suspect", chg.Suspect()),
		zap.Stringer("reason", chg.Reason()), logs.Age("suspectFor", chg.Since(), now), zap.Any("score", sbj.Score()),
		zap.Object("evidence", evidenceFields(sbj.Evidence())), zap.Stringer("agent", netip.AddrFrom4(agt.IP())), logs.Age("evidenceAge", sbj.HeardAt(), now),
		zap.Float64("usualFailureShare", rev.Usual().FailureShare()), zap.Duration("usualTime", rev.Usual().MeanTime()))
}

// noteSpared logs how many upstreams of a service would be suspect if not enough others
// were.
func (ujg *upstreamJudge) noteSpared(service string, count, of int) {
	if ujg.spared[service] == count {
		return
	}
	ujg.spared[service] = count
	if count == 0 {
		delete(ujg.spared, service)
	}
	ujg.log.Warn("upstreams spared, as too large a part of the service is bad", zap.String("service", service), zap.Int("spared", count), zap.Int("upstreams", of))
}

// noteAsked counts the flows that suspect upstreams get nevertheless.
func (ujg *upstreamJudge) noteAsked(act track.Action, agt *fleet.Agent) {
	switch {
	case ujg == nil || agt == nil || act.Cause() != track.Asked || !agt.Judged().Suspect():
	case picker.Trial(picker.FlowHash(act.Key()), agt.IP()):
		ujg.trials.Inc(1)
	default:
		ujg.lastResorts.Inc(1)
	}
}

// evidenceFields writes evidence to a log.
type evidenceFields judge.Evidence

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (fds evidenceFields) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	evd := judge.Evidence(fds)
	enc.AddFloat64("answered", evd.Answered())
	enc.AddFloat64("resets", evd.Resets())
	enc.AddFloat64("unanswered", evd.Unanswered())
	enc.AddDuration("meanTime", evd.MeanTime())
	return nil
}
