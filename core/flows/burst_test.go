package flows

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/encap"
	"lagoondrum/core/flow"
)

// Parameters of a simulated burst: a cold upstream gets more clients at once than
// it and its queue hold, while further clients keep arriving.
const (
	burstSlots       = 7
	burstQueue       = 28 // Requests that the upstream queues; it refuses further ones.
	burstServiceTime = 95 * time.Millisecond
	burstObjective   = 250 * time.Millisecond
	burstDeadline    = 2500 * time.Millisecond
	burstBacklog     = 80
	burstInterval    = 25 * time.Millisecond // Between the arrivals of later clients.
	burstDuration    = 2 * time.Second
	burstRetries     = 2
	burstRetryDelay  = 150 * time.Millisecond // Between a failed attempt and its retry.
)

// burstClient is a client with one request.
type burstClient struct {
	ip          [4]byte
	requestedAt time.Time // When its request began; for the backlog before the simulation starts.
	attemptedAt time.Time // When the current attempt began.
	copies      uint32    // Retransmissions of the opening packet in the current attempt.
	attempts    int
	retryAt     time.Time
	delivered   bool          // The opening packet of the current attempt reached the upstream.
	latency     time.Duration // From the request to its answer; 0 without an answer.
}

// burst simulates one upstream, its agent's table and the clients.
type burst struct {
	table         *Table
	now           time.Time
	clients       []*burstClient
	byPort        map[uint16]*burstClient // Each attempt has its own port.
	lastPort      uint16
	clientIPs     map[uint16][4]byte
	retrying      []*burstClient
	upstreamQueue []flow.Key
	finishAt      map[uint16]time.Time // When the running requests finish, by port.
}

// outcome counts the clients, those that got an answer, and those that got it within
// the latency objective.
type outcome struct{ inObjective, answered, clients int }

// simulateBurst returns the outcomes of the backlog and of later clients. The agent
// queues openings unless slots is 0.
func simulateBurst(slots int) (backlog, later outcome) {
	bst := &burst{table: newTable(true), now: start, byPort: make(map[uint16]*burstClient), clientIPs: make(map[uint16][4]byte), finishAt: make(map[uint16]time.Time)}
	bst.table.SetSlots(slots)
	for num := range burstBacklog {
		bst.addClient(start.Add(-time.Duration(num) * burstInterval))
	}
	nextAt := start
	for bst.now.Before(start.Add(burstDuration + burstDeadline)) {
		bst.now = bst.now.Add(time.Millisecond)
		if bst.now.After(nextAt) && bst.now.Before(start.Add(burstDuration)) {
			nextAt = nextAt.Add(burstInterval)
			bst.addClient(bst.now)
		}
		bst.step()
	}
	return bst.summarize(bst.clients[:burstBacklog]), bst.summarize(bst.clients[burstBacklog:])
}

func (bst *burst) summarize(clients []*burstClient) outcome {
	out := outcome{clients: len(clients)}
	for _, cln := range clients {
		if cln.latency > 0 {
			out.answered++
		}
		if cln.latency > 0 && cln.latency <= burstObjective {
			out.inObjective++
		}
	}
	return out
}

func (bst *burst) addClient(since time.Time) {
	cln := &burstClient{ip: [4]byte{100, 64, 0, byte(len(bst.clients))}, requestedAt: since}
	bst.clients = append(bst.clients, cln)
	bst.startAttempt(cln)
}

func (bst *burst) startAttempt(cln *burstClient) {
	bst.lastPort++
	bst.byPort[bst.lastPort] = cln
	bst.clientIPs[bst.lastPort] = cln.ip
	cln.attemptedAt, cln.copies, cln.delivered = bst.now, 0, false
	cln.attempts++
	bst.sendOpening(bst.lastPort, cln)
}

func (bst *burst) sendOpening(port uint16, cln *burstClient) {
	key := bst.key(port)
	hdr := encap.New(encap.Open, service, key).WithUrgency(flow.NewUrgency(1, burstObjective, burstDeadline)).WithQueueIfFull()
	bst.table.HandleBalancerPacket(hdr, flow.NewPacket(key.Client(), address, flow.Syn, 100, cln.copies, 0), nil, balancer, bst.now)
	bst.perform()
}

func (bst *burst) key(port uint16) flow.Key {
	return flow.NewKey(flow.NewEndpoint(bst.clientIPs[port], port), address)
}

// step simulates one millisecond.
func (bst *burst) step() {
	for _, port := range slices.Sorted(maps.Keys(bst.finishAt)) {
		if key := bst.key(port); !bst.now.Before(bst.finishAt[port]) {
			delete(bst.finishAt, port)
			bst.finishRequest(key, true)
		}
	}
	for len(bst.upstreamQueue) > 0 && len(bst.finishAt) < burstSlots {
		bst.finishAt[bst.upstreamQueue[0].Client().Port()] = bst.now.Add(burstServiceTime)
		bst.upstreamQueue = bst.upstreamQueue[1:]
	}
	for _, port := range slices.Sorted(maps.Keys(bst.byPort)) {
		bst.checkTimers(port, bst.byPort[port])
	}
	for len(bst.retrying) > 0 && !bst.now.Before(bst.retrying[0].retryAt) {
		cln := bst.retrying[0]
		bst.retrying = bst.retrying[1:]
		bst.startAttempt(cln)
	}
	bst.table.Tick(bst.now)
	bst.perform()
}

// checkTimers retransmits a client's opening packet after 200 and 600 ms, fails the
// attempt after 1.4 s, and gives the request up at its deadline, when the client
// closes its flow.
func (bst *burst) checkTimers(port uint16, cln *burstClient) {
	waited := bst.now.Sub(cln.attemptedAt)
	switch {
	case bst.now.Sub(cln.requestedAt) > burstDeadline:
		delete(bst.byPort, port)
		if cln.delivered {
			key := bst.key(port)
			bst.table.HandleBalancerPacket(encap.New(encap.Data, service, key), flow.NewPacket(key.Client(), address, flow.Ack|flow.Fin, 1001, 5001, 0), nil, balancer, bst.now)
			bst.perform()
		}
	case cln.delivered:
	case waited >= 1400*time.Millisecond:
		bst.failAttempt(port, cln)
	case cln.copies == 0 && waited >= 200*time.Millisecond, cln.copies == 1 && waited >= 600*time.Millisecond:
		cln.copies++
		bst.sendOpening(port, cln)
	}
}

func (bst *burst) failAttempt(port uint16, cln *burstClient) {
	delete(bst.byPort, port)
	if cln.attempts <= burstRetries {
		cln.retryAt = bst.now.Add(burstRetryDelay)
		bst.retrying = append(bst.retrying, cln)
	}
}

// perform carries out the actions of the agent's table.
func (bst *burst) perform() {
	for _, act := range append([]Action(nil), bst.table.TakeActions()...) {
		port := act.Key().Client().Port()
		cln := bst.byPort[port]
		switch {
		case act.Kind() == ToUpstream && cln != nil && !cln.delivered:
			cln.delivered = true
			bst.sendFromUpstream(act.Key(), flow.Syn|flow.Ack, 0)
			bst.table.HandleBalancerPacket(encap.New(encap.Data, service, act.Key()), flow.NewPacket(act.Key().Client(), address, flow.Ack, 101, 5001, 900), nil, balancer, bst.now)
			bst.perform()
		case act.Kind() == ToUpstream && cln != nil:
			bst.acceptRequest(act.Key())
		case act.Kind() == ToBalancer && act.Header().Kind() == encap.Refused && act.Header().Reason() == encap.Full && cln != nil:
			bst.failAttempt(port, cln)
		}
	}
}

func (bst *burst) sendFromUpstream(key flow.Key, flags flow.Flags, size uint16) {
	bst.table.HandleUpstreamPacket(flow.NewPacket(address, key.Client(), flags, 5000, 101, size), nil, bst.now)
}

// acceptRequest queues a request at the upstream, which refuses it when its queue
// is full.
func (bst *burst) acceptRequest(key flow.Key) {
	if len(bst.upstreamQueue) >= burstQueue {
		bst.finishRequest(key, false)
		return
	}
	bst.upstreamQueue = append(bst.upstreamQueue, key)
}

// finishRequest sends the upstream's response: the answer, or a refusal.
func (bst *burst) finishRequest(key flow.Key, served bool) {
	port := key.Client().Port()
	cln := bst.byPort[port]
	if cln != nil && served {
		cln.latency = bst.now.Sub(cln.requestedAt)
		delete(bst.byPort, port)
	}
	bst.sendFromUpstream(key, flow.Ack, 500)
	if cln != nil && !served {
		bst.failAttempt(port, cln)
	}
}

// With a queue at the agent, clients that arrive while a backlog lasts are served
// within their latency objective, and no fewer clients get an answer in total.
func TestBurstIsServedWithinObjective(t *testing.T) {
	plainBacklog, plainLater := simulateBurst(0)
	backlog, later := simulateBurst(burstSlots)
	t.Logf("in order of arrival: backlog %+v, later %+v", plainBacklog, plainLater)
	t.Logf("queued at the agent: backlog %+v, later %+v", backlog, later)
	assert.Assert(t, later.inObjective > plainLater.inObjective)
	assert.Assert(t, later.inObjective*10 >= later.clients*9)
	assert.Assert(t, backlog.answered+later.answered >= plainBacklog.answered+plainLater.answered)
}
