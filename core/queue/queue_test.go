package queue

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/flow"
)

var (
	start   = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	address = flow.NewEndpoint([4]byte{198, 18, 0, 1}, 443)
)

const (
	objective  = 250 * time.Millisecond
	answerTime = 100 * time.Millisecond
	timeout    = 1300 * time.Millisecond
)

func keyFor(num int) flow.Key {
	return flow.NewKey(flow.NewEndpoint([4]byte{100, 64, 0, 7}, uint16(num)), address)
}

// newFirst returns the first request of a flow, which its client began to open some
// time after the start.
func newFirst(num int, priority uint8, after time.Duration) Request {
	return New(keyFor(num), true, flow.NewUrgency(priority, objective, timeout), start.Add(after))
}

// newLater returns a later request of a flow, sent some time after the start.
func newLater(num int, priority uint8, after time.Duration) Request {
	return New(keyFor(num), false, flow.NewUrgency(priority, objective, timeout), start.Add(after))
}

func dataPacket(num int, seq uint32) Packet {
	return NewPacket(flow.NewPacket(keyFor(num).Client(), address, flow.Ack, seq, 1, 100), nil)
}

// pace is that of an upstream with four slots.
var pace = NewPace(answerTime, answerTime/4)

// assertOrder checks in which order the queue serves its requests at a time, and that
// no others are left.
func assertOrder(t *testing.T, que *Queue, at time.Duration, want ...int) {
	t.Helper()
	for _, num := range want {
		assert.Equal(t, que.TakeNext(pace, start.Add(at)).Key(), keyFor(num))
	}
	assert.Equal(t, que.Len(), 0)
}

func newQueue(reqs ...Request) *Queue {
	que := &Queue{}
	for num, req := range reqs {
		que.Add(req, dataPacket(num, 1))
	}
	return que
}

func TestOrder(t *testing.T) {
	const ms = time.Millisecond
	for name, tc := range map[string]struct {
		requests []Request
		at       time.Duration
		want     []int
	}{
		"arrival":                          {[]Request{newFirst(1, 2, 0), newFirst(2, 2, 0)}, 0, []int{1, 2}},
		"priority":                         {[]Request{newFirst(1, 2, 0), newFirst(2, 1, 0)}, 0, []int{2, 1}},
		"arrival when all are late":        {[]Request{newFirst(1, 2, 0), newLater(2, 2, 50)}, time.Second, []int{1, 2}},
		"within the objective before late": {[]Request{newFirst(1, 1, 0), newFirst(2, 2, 100*ms)}, 151 * ms, []int{2, 1}},
		"the time to open the flow counts": {[]Request{newFirst(1, 2, -200*ms), newFirst(2, 2, 0)}, 0, []int{2, 1}},
		"later request before a first one": {[]Request{newFirst(1, 2, 0), newLater(2, 2, 0)}, 0, []int{2, 1}},
		"urgent first before a later one":  {[]Request{newLater(1, 2, 0), newFirst(2, 1, 0)}, 0, []int{2, 1}},
		"first before a late later one":    {[]Request{newLater(1, 2, 0), newFirst(2, 2, 100*ms)}, 151 * ms, []int{2, 1}},
	} {
		t.Run(name, func(t *testing.T) { assertOrder(t, newQueue(tc.requests...), tc.at, tc.want...) })
	}
}

// While later requests of flows keep coming, a first one still gets its turn.
func TestFirstRequestsAreNotStarved(t *testing.T) {
	que := newQueue(newFirst(0, 2, 0))
	for num := 1; num <= 2*firstTurn; num++ {
		que.Add(newLater(num, 2, 0), dataPacket(num, 1))
	}
	for range firstTurn {
		if que.TakeNext(pace, start).Key() == keyFor(0) {
			return
		}
	}
	t.Fatalf("the first request of a flow is not among %d", firstTurn)
}

// A client that closes its flow has probably given up, so the others go first, late
// ones too.
func TestClosedRequestsComeLast(t *testing.T) {
	for name, fin := range map[string]Packet{
		"after its data":                    NewPacket(flow.NewPacket(keyFor(1).Client(), address, flow.Ack|flow.Fin, 101, 1, 0), nil),
		"with a retransmission of its data": NewPacket(flow.NewPacket(keyFor(1).Client(), address, flow.Ack|flow.Fin, 1, 1, 100), nil),
	} {
		t.Run(name, func(t *testing.T) {
			que := newQueue(newFirst(1, 2, 0), newFirst(2, 2, 0))
			que.AddPacket(keyFor(1), fin)
			assertOrder(t, que, time.Second, 2, 1)
		})
	}
}

func TestExpired(t *testing.T) {
	for name, tc := range map[string]struct {
		request Request
		at      time.Duration
		want    bool
	}{
		"its client still waits":            {newLater(1, 2, 0), timeout + closeDelay - 1, false},
		"its client has given up":           {newLater(1, 2, 0), timeout + closeDelay, true},
		"the time to open the flow counts":  {newFirst(1, 2, -time.Second), timeout + closeDelay - time.Second, true},
		"without a timeout it waits before": {New(keyFor(1), true, flow.NewUrgency(2, objective, 0), start), defaultTimeout, false},
		"without a timeout it waits":        {New(keyFor(1), true, flow.NewUrgency(2, objective, 0), start), defaultTimeout + closeDelay, true},
	} {
		t.Run(name, func(t *testing.T) {
			_, expired := newQueue(tc.request).TakeExpired(start.Add(tc.at))
			assert.Equal(t, expired, tc.want)
		})
	}
}

func TestRemovedRequestsAreNotServed(t *testing.T) {
	que := newQueue(newFirst(1, 2, 0), newFirst(2, 2, 0))
	que.Remove(keyFor(1))
	assertOrder(t, que, 0, 2)
}

// The packets of a request stay in order, and retransmissions are dropped.
func TestPacketsOfARequest(t *testing.T) {
	que := newQueue(newLater(1, 2, 0))
	for _, seq := range []uint32{101, 1, 201} {
		que.AddPacket(keyFor(1), dataPacket(1, seq))
	}
	var seqs []uint32
	for _, pkt := range que.TakeNext(pace, start).Packets() {
		seqs = append(seqs, pkt.Packet().Seq())
	}
	assert.DeepEqual(t, seqs, []uint32{1, 101, 201})
}

// An opening is refused at once only for what goes before its request: it does not
// wait for a backlog of late ones.
func TestWouldExpire(t *testing.T) {
	que := &Queue{}
	for num := range 10 {
		que.Add(newFirst(num, 2, 0), dataPacket(num, 1))
	}
	for name, tc := range map[string]struct {
		interval time.Duration
		at       time.Duration
		want     bool
	}{
		"its turn is the last in time":         {timeout / 11, 0, false},
		"its turn comes too late":              {timeout / 10, 0, true},
		"everything else that waits is late":   {timeout / 10, 200 * time.Millisecond, false},
		"the upstream is too slow for any one": {timeout + 1, 200 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			got := que.WouldExpire(newFirst(10, 2, tc.at), NewPace(answerTime, tc.interval), start.Add(tc.at))
			assert.Equal(t, got, tc.want)
		})
	}
}

func TestAllLate(t *testing.T) {
	que := newQueue(newFirst(1, 2, 0), newLater(2, 2, 100*time.Millisecond))
	assert.Assert(t, !que.AllLate(pace, start.Add(250*time.Millisecond)))
	assert.Assert(t, que.AllLate(pace, start.Add(251*time.Millisecond)))
}
