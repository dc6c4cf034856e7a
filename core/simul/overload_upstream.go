package simul

import (
	"fmt"
	"time"

	"lagoondrum/core/encap"
	"lagoondrum/core/fleet"
	"lagoondrum/core/flow"
	"lagoondrum/core/flows"
)

// serviceName returns the name of a service.
func serviceName(num int) string { return fmt.Sprintf("service%d", num) }

// loadUpstream is an upstream with its agent.
type loadUpstream struct {
	num         int
	service     int
	incarnation int
	lost        bool
	table       *flows.Table // Of the agent; nil while it is down.
	running     int
	queue       []*upstreamRequest
	flows       map[flow.Key]uint32 // Flows that it holds, with its initial sequence number; nil while it is down.
	coldUntil   time.Time
}

// upstreamRequest is a request at an upstream.
type upstreamRequest struct {
	key  flow.Key
	end  uint32 // The sequence number after its data.
	work time.Duration
}

func (ups *loadUpstream) ip() [4]byte { return [4]byte{10, 0, 1, byte(ups.num + 1)} }

func (ups *loadUpstream) id() string { return fmt.Sprintf("u%d-%d", ups.num, ups.incarnation) }

func (run *loadRun) upstreamAt(ip [4]byte) *loadUpstream { return run.upstreams[ip[3]-1] }

// listing returns the platform's entry of an upstream.
func (run *loadRun) listing(ups *loadUpstream) fleet.Listing {
	zone := loadZone
	if run.scenario.Remote {
		zone = "other"
	}
	return fleet.Listing{
		ID: ups.id(), Service: serviceName(ups.service), Address: ups.ip(), Port: 8080, Zone: zone, Slots: run.scenario.Slots,
		StartMillis: int64(ups.incarnation), ColdFor: max(ups.coldUntil.Sub(run.Now()), 0),
	}
}

func (run *loadRun) startUpstream(num int, cold time.Duration) {
	ups := run.upstreams[num]
	ups.incarnation++
	ups.flows = make(map[flow.Key]uint32)
	ups.queue, ups.running = nil, 0
	ups.coldUntil = run.Now().Add(cold)
}

func (run *loadRun) startAgent(num int) {
	ups := run.upstreams[num]
	complete := !run.scenario.Restarted || run.Now().Before(run.start)
	ups.table = flows.New(encap.ServiceID(serviceName(ups.service)), loadIdleTimeout, run.Now(), complete)
	ups.table.ShareByCost(run.scenario.ByCost)
	if run.scenario.Judged {
		ups.table.CollectEvidence()
	}
	if !run.scenario.Unqueued {
		ups.table.SetSlots(run.scenario.Slots)
	}
}

// stopUpstream ends an upstream and its agent.
func (run *loadRun) stopUpstream(ups *loadUpstream) {
	ups.incarnation++
	ups.flows, ups.table = nil, nil
	ups.lost = ups.num < run.scenario.Lost
}

// handleAtAgent handles a datagram of a balancer.
func (run *loadRun) handleAtAgent(ups *loadUpstream, hdr encap.Header, payload []byte, balancer int) {
	if ups.table == nil {
		return
	}
	from := flow.NewEndpoint([4]byte{10, 0, 0, byte(balancer + 1)}, loadBalancerPort)
	if hdr.Kind() == encap.Seek {
		ups.table.HandleQuery(payload, from, run.Now())
	} else {
		ups.table.HandleBalancerPacket(hdr, run.decode(payload), payload, from, run.Now())
	}
	run.performAgent(ups)
}

// performAgent carries out the actions of an agent.
func (run *loadRun) performAgent(ups *loadUpstream) {
	for acts := ups.table.TakeActions(); len(acts) > 0; acts = ups.table.TakeActions() {
		for _, act := range append([]flows.Action(nil), acts...) {
			run.performAgentAction(ups, act)
		}
	}
}

func (run *loadRun) performAgentAction(ups *loadUpstream, act flows.Action) {
	key := act.Key()
	switch act.Kind() {
	case flows.ToUpstream:
		run.handleAtUpstream(ups, run.decode(act.Packet()))
	case flows.ToClient:
		pkt := run.decode(act.Packet())
		run.Schedule(callerDelay, func() { run.handleAnswer(key, pkt) })
	case flows.ToBalancer:
		run.sendToBalancer(int(act.Balancer().IP()[3])-1, act.Header(), append([]byte(nil), act.Packet()...), ups)
	case flows.Reset:
		run.Schedule(callerDelay, func() { run.handleReset(key) })
	case flows.NoteQueued, flows.NoteAdmitted, flows.NoteRefused:
	case flows.Probe:
		if ups.flows != nil {
			ups.table.HandleProbeResult(flows.Running{})
		} else {
			ups.table.HandleProbeResult(flows.NotRunning{})
		}
	}
}

// handleAtUpstream handles a packet that an upstream gets.
func (run *loadRun) handleAtUpstream(ups *loadUpstream, pkt flow.Packet) {
	key := pkt.KeyFromClient()
	isn, held := ups.flows[key]
	switch {
	case ups.flows == nil:
	case pkt.Opening():
		if !held {
			run.lastISN += 100_000
			isn = run.lastISN
			ups.flows[key] = isn
		}
		run.sendFromUpstream(ups, key, flow.Syn|flow.Ack, isn, pkt.Seq()+1, 0)
	case !held:
		bounced := flow.NewPacket(pkt.From(), pkt.To(), flow.Ack|flow.Bounced, pkt.Seq(), pkt.Ack(), uint16(pkt.DataBytes()))
		ups.table.HandleUpstreamPacket(bounced, run.encode(bounced), run.Now())
	case pkt.DataBytes() > 0:
		run.acceptRequest(ups, key, pkt)
	}
}

// acceptRequest starts a request, queues it while all slots are taken, or refuses
// it when the queue is full too.
func (run *loadRun) acceptRequest(ups *loadUpstream, key flow.Key, pkt flow.Packet) {
	att := run.attempts[key]
	if att == nil || att.accepted || att.requestEnd != pkt.EndSeq() {
		return // A retransmission.
	}
	att.accepted = true
	if ups.num == 0 && !run.Now().Before(run.start) && run.rnd.Float64() < run.scenario.Mute {
		att.request.muted = true
		return
	}
	if run.fails(ups, att, key) {
		return
	}
	req := &upstreamRequest{key: key, end: pkt.EndSeq(), work: att.request.work}
	switch {
	case ups.running < run.scenario.Slots:
		run.runRequest(ups, req)
	case len(ups.queue) < run.scenario.Queue:
		ups.queue = append(ups.queue, req)
	default:
		att.refused = true
		run.sendFromUpstream(ups, key, flow.Ack, ups.flows[key]+1, req.end, requestBytes)
	}
}

func (run *loadRun) runRequest(ups *loadUpstream, req *upstreamRequest) {
	ups.running++
	took, incarnation := time.Duration(float64(req.work)*run.slowness(ups)), ups.incarnation
	if run.Now().Before(ups.coldUntil) {
		took = time.Duration(float64(took) * run.scenario.ColdFactor)
	}
	run.Schedule(took, func() {
		if ups.incarnation != incarnation {
			return
		}
		ups.running--
		if len(ups.queue) > 0 {
			next := ups.queue[0]
			ups.queue = ups.queue[1:]
			run.runRequest(ups, next)
		}
		run.sendFromUpstream(ups, req.key, flow.Ack, ups.flows[req.key]+1, req.end, requestBytes)
	})
}

// sendFromUpstream has an upstream send a packet, which its agent handles.
func (run *loadRun) sendFromUpstream(ups *loadUpstream, key flow.Key, flags flow.Flags, seq, ack uint32, size uint16) {
	if ups.table == nil {
		return
	}
	pkt := flow.NewPacket(key.Service(), key.Client(), flags, seq, ack, size)
	ups.table.HandleUpstreamPacket(pkt, run.encode(pkt), run.Now())
	run.performAgent(ups)
}
