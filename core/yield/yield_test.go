package yield

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/encap"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

const interval = 250 * time.Millisecond

func sampleOf(lateness time.Duration) Sample {
	var smp Sample
	smp.NoteTick(start, start.Add(lateness))
	return smp
}

// zone is the balancers of a zone, of which those named in late lag by half a second
// while they are in the rotation.
type zone struct {
	policies []*Policy
	late     map[int]bool
	narrow   bool // The late ones lag also while they are out.
	deaf     bool // Heartbeats between the balancers are lost.
	now      time.Time
	maxOut   int
}

func newZone(size int, late ...int) *zone {
	zon := &zone{late: make(map[int]bool), now: start}
	for num := range size {
		zon.policies = append(zon.policies, New(ipOf(num)))
	}
	for _, num := range late {
		zon.late[num] = true
	}
	zon.tell()
	return zon
}

func ipOf(num int) [4]byte { return [4]byte{10, 0, 0, byte(num + 1)} }

// tell has every balancer hear the others.
func (zon *zone) tell() {
	for num, pol := range zon.policies {
		for _, other := range zon.policies {
			other.NotePeer(ipOf(num), pol.Standing(), zon.now)
		}
	}
}

func (zon *zone) run(span time.Duration) {
	for until := zon.now.Add(span); zon.now.Before(until); {
		zon.now = zon.now.Add(interval)
		out := 0
		for num, pol := range zon.policies {
			lateness := time.Millisecond
			if zon.late[num] && (pol.Standing() != encap.Out || zon.narrow) {
				lateness = 500 * time.Millisecond
			}
			pol.Decide(sampleOf(lateness), zon.now)
			if pol.Standing() == encap.Out {
				out++
			}
		}
		zon.maxOut = max(zon.maxOut, out)
		if !zon.deaf {
			zon.tell()
		}
	}
}

// assertOut checks which balancers are out of the rotation.
func assertOut(t *testing.T, zon *zone, want ...int) {
	t.Helper()
	var out []int
	for num, pol := range zon.policies {
		if pol.Standing() == encap.Out {
			out = append(out, num)
		}
	}
	assert.DeepEqual(t, out, want)
}

// The load: some balancers of a zone pass packets on late.
func TestWeakBalancersLeaveTheRotation(t *testing.T) {
	for name, tc := range map[string]struct {
		size int
		late []int
		want []int
	}{
		"one of eight":                        {8, []int{5}, []int{5}},
		"three of eight, of whom two may":     {8, []int{2, 4, 6}, []int{2, 4}},
		"none of three":                       {3, []int{1}, nil},
		"none when the zone is short":         {8, []int{0, 1, 2, 3, 4}, nil},
		"none when all carry their part well": {8, nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			zon := newZone(tc.size, tc.late...)
			zon.run(3 * time.Second)
			assertOut(t, zon, tc.want...)
			assert.Assert(t, zon.maxOut <= tc.size/quotaShare)
		})
	}
}

func TestWeakBalancerIsNotRidOfByASinglePause(t *testing.T) {
	pol := newZone(8).policies[0]
	for step := range 40 {
		lateness := time.Millisecond
		if step%turnAfter == 0 {
			lateness = time.Second
		}
		assert.Assert(t, !pol.Decide(sampleOf(lateness), start.Add(time.Duration(step)*interval)))
	}
}

// A balancer that stays weak cannot know so while it is out.
func TestStaysGrowWhileABalancerRelapses(t *testing.T) {
	zon := newZone(8, 3)
	returns := 0
	for was, end := encap.Sound, start.Add(60*time.Second); zon.now.Before(end); was = zon.policies[3].Standing() {
		zon.run(interval)
		if was == encap.Out && zon.policies[3].Standing() == encap.Sound {
			returns++
		}
	}
	assert.Equal(t, returns, 3, "after 5, 10 and 20 s")
}

// Heartbeats that are slow tell that a link is narrow, also without load.
func TestBalancerStaysOutWhileItLags(t *testing.T) {
	zon := newZone(8, 3)
	zon.narrow = true
	zon.run(3*time.Second + 2*shortestStay)
	assertOut(t, zon, 3)
	zon.late[3] = false
	zon.run(interval)
	assertOut(t, zon)
}

func TestBalancerReturnsOnceItIsStrong(t *testing.T) {
	zon := newZone(8, 3)
	zon.run(3 * time.Second)
	assertOut(t, zon, 3)
	zon.late[3] = false
	zon.run(shortestStay)
	assertOut(t, zon)
}

// The failure: a zone whose balancers no longer hear each other.
func TestNobodyLeavesOnOldClaims(t *testing.T) {
	zon := newZone(8)
	zon.deaf = true
	zon.run(peerMemory)
	zon.late[1] = true
	zon.run(5 * time.Second)
	assertOut(t, zon)
}

func TestSampleIsWeak(t *testing.T) {
	reads := func(full, all int) (smp Sample) {
		for num := range all {
			smp.NoteRead(num < full)
		}
		return smp
	}
	answers := func(slow, all int) (smp Sample) {
		for num := range all {
			smp.NoteAnswer(num < slow)
		}
		return smp
	}
	var link Sample
	link.NoteLink(0.95)
	for name, tc := range map[string]struct {
		smp  Sample
		want bool
	}{
		"in time":          {sampleOf(19 * time.Millisecond), false},
		"late":             {sampleOf(20 * time.Millisecond), true},
		"half of reads":    {reads(10, 20), true},
		"some reads":       {reads(9, 20), false},
		"too few to judge": {reads(10, 10), false},
		"half of answers":  {answers(4, 8), true},
		"some answers":     {answers(3, 8), false},
		"too few answers":  {answers(4, 4), false},
		"full link":        {link, true},
	} {
		t.Run(name, func(t *testing.T) {
			pol := New(ipOf(0))
			pol.SetObjective(200 * time.Millisecond)
			assert.Equal(t, tc.smp.weak(pol.Limit()), tc.want)
		})
	}
}

// The cost of a decision in a zone of 580 balancers in seven zones.
func BenchmarkDecide(b *testing.B) {
	pol := newZone(83).policies[0]
	for range b.N {
		pol.Decide(sampleOf(time.Millisecond), start)
	}
}
