package reply_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/reply"
)

var (
	now  = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	one  = netip.MustParseAddrPort("10.0.9.1:7842")
	two  = netip.MustParseAddrPort("10.0.9.2:7842")
	last = netip.MustParseAddrPort("10.0.9.3:7842")
)

// assertPicks checks which balancers get the answers at a time.
func assertPicks(t *testing.T, pth *reply.Paths, at time.Time, want ...netip.AddrPort) {
	t.Helper()
	got := make(map[netip.AddrPort]bool)
	for number := range uint64(20) {
		got[pth.Pick(number, at)] = true
	}
	assert.Equal(t, len(got), len(want), "%v", got)
	for _, balancer := range want {
		assert.Assert(t, got[balancer], "%s is not among %v", balancer, got)
	}
}

func TestAnswersFollowWhoWasHeard(t *testing.T) {
	pth := reply.New()
	assertPicks(t, pth, now, netip.AddrPort{})
	pth.SetListed([]netip.AddrPort{last})
	assertPicks(t, pth, now, last)
	pth.NoteHeard(one, now)
	pth.NoteHeard(two, now)
	assertPicks(t, pth, now, one, two)
}

func TestDeadBalancerFallsOut(t *testing.T) {
	pth := reply.New()
	pth.SetListed([]netip.AddrPort{last})
	pth.NoteHeard(one, now)
	later := now.Add(reply.FreshFor)
	pth.NoteHeard(two, later)
	assertPicks(t, pth, later.Add(reply.FreshFor/2), two)
}

func TestQuietFlowKeepsItsLatestBalancer(t *testing.T) {
	pth := reply.New()
	pth.SetListed([]netip.AddrPort{last})
	pth.NoteHeard(one, now)
	pth.NoteHeard(two, now.Add(time.Millisecond))
	assertPicks(t, pth, now.Add(reply.FreshFor*2), two)
	assertPicks(t, pth, now.Add(reply.RecentFor*2), last)
}
