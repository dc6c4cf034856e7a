package reply_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/reply"
)

var (
	now            = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	balancerA      = netip.MustParseAddrPort("10.0.9.1:7842")
	balancerB      = netip.MustParseAddrPort("10.0.9.2:7842")
	listedBalancer = netip.MustParseAddrPort("10.0.9.3:7842")
)

// assertPicks checks that the answers at a time go to exactly these balancers.
func assertPicks(t *testing.T, rps *reply.ReturnPaths, at time.Time, want ...netip.AddrPort) {
	t.Helper()
	got := make(map[netip.AddrPort]bool)
	for number := range uint64(20) {
		got[rps.Pick(number, at)] = true
	}
	assert.Equal(t, len(got), len(want), "%v", got)
	for _, balancer := range want {
		assert.Assert(t, got[balancer], "%s is not among %v", balancer, got)
	}
}

func TestAnswersUseFreshBalancers(t *testing.T) {
	rps := reply.New()
	assertPicks(t, rps, now, netip.AddrPort{})
	rps.SetListed([]netip.AddrPort{listedBalancer})
	assertPicks(t, rps, now, listedBalancer)
	rps.NoteHeard(balancerA, now)
	rps.NoteHeard(balancerB, now)
	assertPicks(t, rps, now, balancerA, balancerB)
}

func TestStaleBalancerIsNotPicked(t *testing.T) {
	rps := reply.New()
	rps.SetListed([]netip.AddrPort{listedBalancer})
	rps.NoteHeard(balancerA, now)
	later := now.Add(reply.FreshWindow)
	rps.NoteHeard(balancerB, later)
	assertPicks(t, rps, later.Add(reply.FreshWindow/2), balancerB)
}

func TestIdleAgentUsesLatestHeardBalancer(t *testing.T) {
	rps := reply.New()
	rps.SetListed([]netip.AddrPort{listedBalancer})
	rps.NoteHeard(balancerA, now)
	rps.NoteHeard(balancerB, now.Add(time.Millisecond))
	assertPicks(t, rps, now.Add(reply.FreshWindow*2), balancerB)
	assertPicks(t, rps, now.Add(reply.RecentWindow*2), listedBalancer)
}
