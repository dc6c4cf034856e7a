package carry

import (
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"lagoondrum/core/encap"
	"lagoondrum/core/flow"
	"lagoondrum/core/flows"
	"lagoondrum/platform"
)

// perform carries out the actions of the flow table.
func (agt *agent) perform(now time.Time) {
	for _, act := range agt.table.TakeActions() {
		switch act.Kind() {
		case flows.ToUpstream:
			agt.packetSender.addPacket(act.Packet(), agt.upstream)
		case flows.ToClient:
			agt.packetSender.addPacket(act.Packet(), agt.clientAddr(act.Key()))
		case flows.ToBalancer:
			agt.noteFlowMessage(act)
			payload := act.Packet()
			if act.Header().Kind() == encap.Opened {
				payload = agt.appendEvidence(nil, now)
			}
			agt.peerSender.addDatagram(act.Header().WithRevision(uint64(agt.replica.Position())), payload, endpointAddrPort(act.Balancer()))
		case flows.Reset:
			agt.metrics.resets.Inc(1)
			agt.packetSender.addPacket(platform.NewReset(act.Key(), act.Seq()), agt.clientAddr(act.Key()))
			agt.log.Info("reset", zap.Stringer("flow", act.Key()), zap.String("cause", "upstreamEndedFlow"), zap.Bool("upstreamDown", agt.table.Down()))
		case flows.Probe:
			agt.metrics.probes.Inc(1)
			go agt.probe(agt.upstream)
		case flows.NoteQueued:
			agt.metrics.queued.Inc(1)
			agt.countWaiting(act)
			agt.logWaiting("request queued", act, now)
		case flows.NoteAdmitted:
			agt.metrics.admitted.Inc(1)
			agt.logWaiting("request admitted", act, now)
		case flows.NoteRestarted:
			agt.metrics.scope.Counter("upstreamRestarts").Inc(1)
			agt.log.Info("upstream has restarted: it returned a packet of an open flow", zap.Stringer("flow", act.Key()))
		case flows.NoteRefused:
			agt.countRefused(act)
			agt.logWaiting("opening refused", act, now)
		}
	}
}

// logWaiting logs that a request waits for capacity or has got it, with the inputs of
// the decision.
func (agt *agent) logWaiting(msg string, act flows.Action, now time.Time) {
	if ent := agt.log.Check(zap.InfoLevel, msg); ent != nil {
		ent.Write(zap.Stringer("flow", act.Key()), zap.Duration("objectiveLeft", act.ObjectiveDeadline().Sub(now)),
			zap.Int("queued", agt.table.Queued()), zap.Float64("requests", agt.table.Load(now).Requests()),
			zap.Stringer("prospect", act.Prospect()), zap.Duration("work", agt.table.Work(act.Key().Service())))
	}
}

// noteFlowMessage counts and logs a message about one flow to a balancer. Lists of
// verdicts are left out.
func (agt *agent) noteFlowMessage(act flows.Action) {
	hdr := act.Header()
	if hdr.Kind() == encap.Verdicts {
		return
	}
	agt.metrics.countFlowMessage(hdr)
	if ent := agt.log.Check(zap.InfoLevel, "flow "+hdr.Kind().String()); ent != nil {
		ent.Write(zap.Stringer("flow", hdr.Key()), zap.Stringer("balancer", act.Balancer()), zap.Stringer("reason", hdr.Reason()),
			zap.Float64("requests", hdr.Load().Requests()), zap.Int("queued", agt.table.Queued()), zap.Int("flows", hdr.Load().Flows()), zap.Bool("complete", agt.table.Complete()))
	}
}

func (agt *agent) clientAddr(key flow.Key) netip.AddrPort {
	return addrPort(key.Client().IP(), agt.settings.PacketListen().Port())
}

// probe checks whether a process listens at the upstream's address.
func (agt *agent) probe(upstream netip.AddrPort) {
	con, err := net.DialTimeout("tcp4", upstream.String(), probeTimeout)
	var res flows.ProbeResult
	switch {
	case err == nil:
		_ = con.Close()
		res = flows.Running{}
	case errors.Is(err, syscall.ECONNREFUSED):
		res = flows.NotRunning{}
	default:
		res = flows.NoAnswer{}
	}
	agt.mu.Lock()
	defer agt.mu.Unlock()
	if agt.table.HandleProbeResult(res) {
		agt.log.Info("upstream probed", zap.Bool("down", agt.table.Down()), zap.Int("flows", agt.table.Flows()), zap.Error(err))
	}
	agt.flush()
}
