package simul

import (
	"time"

	"lagoondrum/core/flow"
)

// Behaviour of callers.
const (
	callerRetries  = 2
	minRetryDelay  = 10 * time.Millisecond // Between a failed attempt and the next one.
	maxRetryDelay  = 110 * time.Millisecond
	openingGivenUp = 1400 * time.Millisecond
	firstRepeat    = 200 * time.Millisecond // First interval between repetitions of data; it doubles.
	maxRepeat      = 1600 * time.Millisecond
)

// openingCopies are the times since the start of an attempt at which copies of the
// opening are sent.
var openingCopies = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// loadCaller is a host with flows that it keeps open.
type loadCaller struct {
	num  int
	idle [][]*callerFlow // By class, flows that carry no request.
}

func newLoadCaller(num, classes int) *loadCaller {
	return &loadCaller{num: num, idle: make([][]*callerFlow, classes)}
}

// callerFlow is a flow as its caller sees it.
type callerFlow struct {
	key      flow.Key
	nextSeq  uint32
	ack      uint32
	open     bool
	ended    bool
	openedAt time.Time
}

// loadRequest is a request with all its attempts.
type loadRequest struct {
	class      LoadClass
	classIndex int
	caller     *loadCaller
	work       time.Duration
	startedAt  time.Time
	answeredAt time.Time // Zero without an answer.
	attempts   int
	flow       *callerFlow // Of the current attempt.
	muted      bool        // An upstream took it and never answers.
	onLostFlow bool        // The first attempt was made on a flow that the outage ended.
	ended      bool
}

// loadAttempt is one attempt of a request.
type loadAttempt struct {
	request    *loadRequest
	flow       *callerFlow
	requestEnd uint32 // The sequence number after the request's data; 0 until it is sent.
	accepted   bool   // An upstream has the request.
	refused    bool   // The upstream refused it without running it.
	failed     bool   // The upstream answered with an error.
	ended      bool
}

// classAddress returns the address of a class's route.
func classAddress(idx int) flow.Endpoint {
	return flow.NewEndpoint([4]byte{198, 18, 0, byte(idx + 1)}, 443)
}

// scheduleArrival schedules the next request of a class.
func (run *loadRun) scheduleArrival(idx int) {
	cls := run.scenario.Classes[idx]
	rate := cls.Rate
	if since := run.Now().Sub(run.start); run.scenario.Surge > 0 && since >= 0 && since < time.Second {
		rate *= run.scenario.Surge
	}
	run.Schedule(time.Duration(run.arrivals.ExpFloat64()/rate*float64(time.Second)), func() {
		req := &loadRequest{class: cls, classIndex: idx, caller: run.callers[run.arrivals.IntN(len(run.callers))], work: run.drawWork(cls), startedAt: run.Now()}
		run.requests = append(run.requests, req)
		run.startAttempt(req)
		run.Schedule(cls.Budget, func() { run.giveUp(req) })
		run.scheduleArrival(idx)
	})
}

// giveUp ends a request without an answer. Its caller closes the flow.
func (run *loadRun) giveUp(req *loadRequest) {
	if req.ended {
		return
	}
	req.ended = true
	if flw := req.flow; flw != nil && flw.open && !flw.ended {
		run.sendFromCaller(flow.NewPacket(flw.key.Client(), flw.key.Service(), flow.Ack|flow.Fin, flw.nextSeq, flw.ack, 0))
	}
}

// startAttempt sends a request on an idle flow, or opens one.
func (run *loadRun) startAttempt(req *loadRequest) {
	if req.ended {
		return
	}
	req.attempts++
	idle := &req.caller.idle[req.classIndex]
	if len(*idle) > 0 && req.attempts == 1 {
		flw := (*idle)[len(*idle)-1]
		*idle = (*idle)[:len(*idle)-1]
		att := &loadAttempt{request: req, flow: flw}
		run.attempts[flw.key], req.flow = att, flw
		req.onLostFlow = flw.openedAt.Before(run.start) && run.scenario.Outage > 0 && !req.startedAt.Before(run.start)
		run.sendRequest(att)
		return
	}
	run.lastPort[req.caller.num]++
	client := flow.NewEndpoint([4]byte{100, 64, 0, byte(req.caller.num + 1)}, 1024+run.lastPort[req.caller.num])
	flw := &callerFlow{key: flow.NewKey(client, classAddress(req.classIndex)), nextSeq: 101}
	att := &loadAttempt{request: req, flow: flw}
	run.attempts[flw.key], req.flow = att, flw
	for copies, wait := range openingCopies {
		run.Schedule(wait, func() { run.sendOpening(att, uint32(copies)) })
	}
	run.Schedule(openingGivenUp, func() {
		if !flw.open {
			run.failAttempt(att, true)
		}
	})
}

func (run *loadRun) sendOpening(att *loadAttempt, copies uint32) {
	if !att.flow.open && !att.ended && !att.request.ended {
		run.sendFromCaller(flow.NewPacket(att.flow.key.Client(), att.flow.key.Service(), flow.Syn, 100, copies, 0))
	}
}

// sendRequest sends the request of an attempt on its open flow, and repeats it
// while nothing comes back.
func (run *loadRun) sendRequest(att *loadAttempt) {
	flw := att.flow
	pkt := flow.NewPacket(flw.key.Client(), flw.key.Service(), flow.Ack, flw.nextSeq, flw.ack, requestBytes)
	flw.nextSeq = pkt.EndSeq()
	att.requestEnd = pkt.EndSeq()
	run.repeatRequest(att, pkt, firstRepeat)
}

func (run *loadRun) repeatRequest(att *loadAttempt, pkt flow.Packet, wait time.Duration) {
	if att.ended || att.request.ended || att.accepted {
		return
	}
	run.sendFromCaller(pkt)
	run.Schedule(wait, func() { run.repeatRequest(att, pkt, min(2*wait, maxRepeat)) })
}

// handleAnswer handles a packet of an upstream at a caller.
func (run *loadRun) handleAnswer(key flow.Key, pkt flow.Packet) {
	att := run.attempts[key]
	if att == nil || att.ended || att.request.ended {
		return
	}
	if pkt.Has(flow.Rst) {
		run.handleReset(key)
		return
	}
	flw := att.flow
	if pkt.Has(flow.Syn) {
		if !flw.open {
			flw.open, flw.ack, flw.openedAt = true, pkt.Seq()+1, run.Now()
			run.sendRequest(att)
		}
		return
	}
	if pkt.DataBytes() == 0 || pkt.Ack() != att.requestEnd {
		return
	}
	att.ended = true
	if att.request.class.KeepsFlow {
		att.request.caller.idle[att.request.classIndex] = append(att.request.caller.idle[att.request.classIndex], flw)
	}
	if att.refused {
		run.retry(att.request)
		return
	}
	if att.failed {
		if att.request.class.Idempotent {
			run.retry(att.request)
		} else {
			att.request.ended = true
		}
		return
	}
	att.request.answeredAt = run.Now()
	att.request.ended = true
}

// handleReset handles a reset of a flow at a caller.
func (run *loadRun) handleReset(key flow.Key) {
	if att := run.attempts[key]; att != nil && !att.ended && !att.flow.ended {
		att.flow.ended = true
		run.failAttempt(att, !att.flow.open)
	}
}

// failAttempt ends an attempt without an answer. A request that may have run is
// tried again only if it is idempotent.
func (run *loadRun) failAttempt(att *loadAttempt, neverRan bool) {
	if att.ended || att.request.ended {
		return
	}
	att.ended = true
	if neverRan || att.request.class.Idempotent {
		run.retry(att.request)
	}
}

func (run *loadRun) retry(req *loadRequest) {
	if req.attempts <= callerRetries {
		run.Schedule(minRetryDelay+time.Duration(run.rnd.Int64N(int64(maxRetryDelay-minRetryDelay))), func() { run.startAttempt(req) })
	}
}
