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
)

func keyFor(num int) flow.Key {
	return flow.NewKey(flow.NewEndpoint([4]byte{100, 64, 0, 7}, uint16(num)), address)
}

// newOpening returns the opening of a flow that arrives some time after the start.
// copies is how many opening packets the client sent before it.
func newOpening(num, copies int, priority uint8, after time.Duration) Opening {
	pkt := flow.NewPacket(keyFor(num).Client(), address, flow.Syn, 1, uint32(copies), 0)
	return NewOpening(keyFor(num), pkt, nil, priority, objective, start.Add(after))
}

// assertOrder checks in which order the queue serves its openings at a time, and
// that no others are left.
func assertOrder(t *testing.T, que *Queue, at time.Duration, want ...int) {
	t.Helper()
	for _, num := range want {
		assert.Equal(t, que.TakeNext(answerTime, start.Add(at)).Key(), keyFor(num))
	}
	assert.Equal(t, que.Len(), 0)
}

func TestOrder(t *testing.T) {
	for name, tc := range map[string]struct {
		openings []Opening
		at       time.Duration
		want     []int
	}{
		"arrival":                          {[]Opening{newOpening(1, 0, 2, 0), newOpening(2, 0, 2, 0)}, 0, []int{1, 2}},
		"priority":                         {[]Opening{newOpening(1, 0, 2, 0), newOpening(2, 0, 1, 0)}, 0, []int{2, 1}},
		"arrival when all are late":        {[]Opening{newOpening(1, 0, 2, 0), newOpening(2, 0, 2, 50)}, time.Second, []int{1, 2}},
		"within the objective before late": {[]Opening{newOpening(1, 0, 1, 0), newOpening(2, 0, 2, 100*time.Millisecond)}, 151 * time.Millisecond, []int{2, 1}},
		"first opening before an older retransmission": {[]Opening{newOpening(1, 1, 2, 0), newOpening(2, 0, 2, 0)}, 0, []int{2, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			que := &Queue{}
			for _, opn := range tc.openings {
				que.Add(opn)
			}
			assertOrder(t, que, tc.at, tc.want...)
		})
	}
}

func TestExpired(t *testing.T) {
	for name, tc := range map[string]struct {
		copies int
		at     time.Duration
		want   bool
	}{
		"the client still waits":          {0, openingTimeout - 1, false},
		"the client has given up":         {0, openingTimeout, true},
		"a retransmission counts its age": {2, openingTimeout - 600*time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			que := &Queue{}
			que.Add(newOpening(1, tc.copies, 2, 0))
			_, expired := que.TakeExpired(start.Add(tc.at))
			assert.Equal(t, expired, tc.want)
		})
	}
}

func TestRemovedOpeningsAreNotServed(t *testing.T) {
	que := &Queue{}
	que.Add(newOpening(1, 0, 2, 0))
	que.Add(newOpening(2, 0, 2, 0))
	que.Remove(keyFor(1))
	assertOrder(t, que, 0, 2)
}

func TestWouldExpire(t *testing.T) {
	que := &Queue{}
	for num := range 10 {
		que.Add(newOpening(num, 0, 2, 0))
	}
	assert.Assert(t, !que.WouldExpire(openingTimeout/11))
	assert.Assert(t, que.WouldExpire(openingTimeout/10))
}
