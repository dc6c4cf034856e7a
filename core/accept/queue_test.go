package accept

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/flow"
)

var (
	start   = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	address = flow.NewEnd([4]byte{198, 18, 0, 1}, 443)
)

const (
	objective = 250 * time.Millisecond
	answer    = 100 * time.Millisecond
)

func keyOf(num int) flow.Key {
	return flow.NewKey(flow.NewEnd([4]byte{100, 64, 0, 7}, uint16(num)), address)
}

// opening is the opening of a flow, or a copy of it, that comes some time after
// the start.
func opening(num, copies int, priority uint8, after time.Duration) Opening {
	pkt := flow.NewPacket(keyOf(num).Client(), address, flow.Syn, 1, uint32(copies), 0)
	return NewOpening(keyOf(num), pkt, nil, priority, objective, start.Add(after))
}

// assertOrder checks in which order openings get their turn at a time.
func assertOrder(t *testing.T, que *Queue, at time.Duration, want ...int) {
	t.Helper()
	for _, num := range want {
		assert.Equal(t, que.Next(answer, start.Add(at)).Key(), keyOf(num))
	}
	assert.Equal(t, que.Len(), 0)
}

func TestOrder(t *testing.T) {
	for name, tc := range map[string]struct {
		openings []Opening
		at       time.Duration
		want     []int
	}{
		"of arrival":                         {[]Opening{opening(1, 0, 2, 0), opening(2, 0, 2, 0)}, 0, []int{1, 2}},
		"of priority":                        {[]Opening{opening(1, 0, 2, 0), opening(2, 0, 1, 0)}, 0, []int{2, 1}},
		"of arrival when all are late":       {[]Opening{opening(1, 0, 2, 0), opening(2, 0, 2, 50)}, time.Second, []int{1, 2}},
		"within the objective before late":   {[]Opening{opening(1, 0, 1, 0), opening(2, 0, 2, 100*time.Millisecond)}, 151 * time.Millisecond, []int{2, 1}},
		"a first opening before a late copy": {[]Opening{opening(1, 1, 2, 0), opening(2, 0, 2, 0)}, 0, []int{2, 1}},
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
		"its client still waits":      {0, patience - 1, false},
		"its client has given up":     {0, patience, true},
		"the last copy came long ago": {2, patience - 600*time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			que := &Queue{}
			que.Add(opening(1, tc.copies, 2, 0))
			_, expired := que.Expired(start.Add(tc.at))
			assert.Equal(t, expired, tc.want)
		})
	}
}

func TestRemovedOpeningsGetNoTurn(t *testing.T) {
	que := &Queue{}
	que.Add(opening(1, 0, 2, 0))
	que.Add(opening(2, 0, 2, 0))
	que.Remove(keyOf(1))
	assertOrder(t, que, 0, 2)
}

func TestHopeless(t *testing.T) {
	que := &Queue{}
	for num := range 10 {
		que.Add(opening(num, 0, 2, 0))
	}
	assert.Assert(t, !que.Hopeless(patience/11))
	assert.Assert(t, que.Hopeless(patience/10))
}
