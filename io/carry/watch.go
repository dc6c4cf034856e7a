package carry

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"lagoondrum/core/encap"
	"lagoondrum/core/fleet"
	"lagoondrum/core/intent"
	"lagoondrum/core/yield"
	"lagoondrum/io/mmsg"
	"lagoondrum/platform"
)

// maxAnnounced is how many balancers of its zone a weak balancer sends a heartbeat to
// in an interval.
const maxAnnounced = 16

// watch is what a balancer sees of itself, and the policy by which it leaves the
// rotation. A nil watch sees nothing.
type watch struct {
	policy    *yield.Policy
	sample    yield.Sample
	tickDueAt time.Time
	asked     [][4]byte // Agents that owed no answer before the last heartbeat to them, in this interval.
	decideAt  time.Time
	decidedAt time.Time
	sentBytes uint64 // Until decidedAt.
}

// startWatch starts watching if the settings call for it.
func (blc *balancer) startWatch(now time.Time) {
	trm := platform.NewTerms(blc.settings.Contracts())
	if blc.settings.YieldsWhenWeak(trm.Pressure()) {
		blc.watch = &watch{policy: yield.New(blc.self.Addr().As4()), decidedAt: now, decideAt: now.Add(heartbeatInterval)}
	}
}

func (wtc *watch) noteRead(count int) {
	if wtc != nil {
		wtc.sample.NoteRead(count == mmsg.BatchSize)
	}
}

func (wtc *watch) noteAnswer(agt *fleet.Agent, now time.Time) {
	if wtc == nil {
		return
	}
	if took, answers := agt.AnswerTime(now); answers {
		wtc.sample.NoteAnswer(took >= wtc.policy.Limit())
	}
}

// noteAsked records that an agent is about to get a heartbeat. An agent that owes an
// answer already may be down, so whether it answers tells nothing about the link.
func (wtc *watch) noteAsked(agt *fleet.Agent, now time.Time) {
	if wtc == nil {
		return
	}
	if _, owes := agt.AnswerTime(now); !owes {
		wtc.asked = append(wtc.asked, agt.IP())
	}
}

// noteUnanswered takes the heartbeats into account that are still unanswered.
func (wtc *watch) noteUnanswered(flt *fleet.Fleet, now time.Time) {
	for _, ip := range wtc.asked {
		if agt := flt.Agent(ip); agt != nil {
			if took, owes := agt.AnswerTime(now); owes && took >= wtc.policy.Limit() {
				wtc.sample.NoteAnswer(true)
			}
		}
	}
	wtc.asked = wtc.asked[:0]
}

func (wtc *watch) expectTick(dueAt time.Time) {
	if wtc != nil {
		wtc.tickDueAt = dueAt
	}
}

func (wtc *watch) setState(stt *intent.State) {
	if wtc != nil && stt != nil {
		wtc.policy.SetObjective(stt.TightestObjective())
	}
}

// watchSelf takes the lateness of a tick into account and, once an interval, decides
// whether the balancer is in the rotation.
func (blc *balancer) watchSelf(now time.Time) {
	wtc := blc.watch
	if wtc == nil {
		return
	}
	wtc.sample.NoteTick(wtc.tickDueAt, now)
	if now.Before(wtc.decideAt) {
		return
	}
	wtc.noteUnanswered(blc.fleet, now)
	sent := float64(blc.peerSender.bytes - wtc.sentBytes)
	wtc.sample.NoteLink(sent / (blc.settings.LinkBytes() * now.Sub(wtc.decidedAt).Seconds()))
	changed := wtc.policy.Decide(wtc.sample, now)
	if changed {
		blc.noteStandingChange(wtc)
	}
	if wtc.policy.Standing() != encap.Sound || changed {
		blc.announceStanding(now)
	}
	wtc.sample, wtc.sentBytes = yield.Sample{}, blc.peerSender.bytes
	wtc.decidedAt, wtc.decideAt = now, now.Add(heartbeatInterval)
}

// noteStandingChange has the readiness check answer as the new standing asks, and logs
// the change with what decided.
func (blc *balancer) noteStandingChange(wtc *watch) {
	std := wtc.policy.Standing()
	known, weak, ahead := wtc.policy.Zone()
	blc.yields.Store(std == encap.Out)
	blc.gauges.set("standing", float64(std))
	blc.scope.Counter("standingChanges", "standing", std.String()).Inc(1)
	blc.log.Info("standing", zap.Stringer("standing", std), zap.Duration("lateness", wtc.sample.Lateness()), zap.Duration("limit", wtc.policy.Limit()),
		zap.Float64("fullReads", wtc.sample.FullReads()), zap.Float64("slowAnswers", wtc.sample.SlowAnswers()), zap.Float64("linkShare", wtc.sample.LinkShare()), zap.Int("known", known), zap.Int("weak", weak), zap.Int("ahead", ahead))
}

// announceStanding tells some balancers of the zone the standing.
func (blc *balancer) announceStanding(now time.Time) {
	peers := blc.watch.policy.Peers()
	hdr := blc.withStanding(blc.heartbeat(0, now))
	for _, at := range rand.Perm(len(peers))[:min(len(peers), maxAnnounced)] {
		blc.peerSender.addDatagram(hdr, nil, addrPort(peers[at], blc.self.Port()))
	}
}

// withStanding returns the header of a heartbeat to a balancer with the standing.
func (blc *balancer) withStanding(hdr encap.Header) encap.Header {
	if blc.watch == nil {
		return hdr
	}
	return hdr.WithStanding(blc.settings.Place().Zone(), blc.watch.policy.Standing())
}

// noteStanding records the standing that a balancer's heartbeat tells.
func (blc *balancer) noteStanding(hdr encap.Header, from netip.AddrPort, now time.Time) {
	if blc.watch != nil {
		blc.watch.policy.NotePeer(from.Addr().As4(), hdr.StandingIn(blc.settings.Place().Zone()), now)
	}
}
