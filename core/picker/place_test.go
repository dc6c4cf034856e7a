package picker

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/encap"
	"lagoondrum/core/fleet"
	"lagoondrum/core/flow"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func noneTried([4]byte) bool { return false }

// newFleet returns a fleet with one upstream for each zone, numbered from 0, whose
// agents have all reported no load.
func newFleet(zones ...string) *fleet.Fleet {
	flt := newUnheardFleet(zones...)
	for num := range zones {
		reportLoad(flt, num, 0)
	}
	return flt
}

// newUnheardFleet returns a fleet with one upstream for each zone, whose agents
// have not been heard from.
func newUnheardFleet(zones ...string) *fleet.Fleet {
	flt := fleet.New()
	for num, zone := range zones {
		flt.PutEntry(fleet.NewUpstream(fleet.Listing{ID: fmt.Sprint(num), Service: "feed", Address: [4]byte{10, 0, 0, byte(num)}, Zone: zone, Slots: 4}, start), start)
	}
	return flt
}

// reportLoad delivers a heartbeat of an agent with requests in progress.
func reportLoad(flt *fleet.Fleet, num, requests int) {
	flt.Agent([4]byte{10, 0, 0, byte(num)}).NoteHeard(encap.NewHeartbeat(1, 1, 1).WithLoad(encap.NewLoad(16*requests, 0)), start)
}

func choose(flt *fleet.Fleet, hash uint64, tried func([4]byte) bool) *fleet.Agent {
	return New("near").Choose(flt.Service("feed"), tried, hash, start)
}

func TestChoose(t *testing.T) {
	for name, tc := range map[string]struct {
		setup func(flt *fleet.Fleet)
		want  byte
	}{
		"near agent when all are idle":    {func(*fleet.Fleet) {}, 0},
		"far agent when near one is busy": {func(flt *fleet.Fleet) { reportLoad(flt, 0, 3) }, 1},
		"far agent after missed opening":  {func(flt *fleet.Fleet) { flt.Agent([4]byte{10, 0, 0, 0}).NoteOpeningUnanswered(start) }, 1},
		"far agent when near upstream is down": {func(flt *fleet.Fleet) {
			flt.Agent([4]byte{10, 0, 0, 0}).NoteHeard(encap.NewHeartbeat(1, 1, 1).WithUpstreamDown(), start)
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			flt := newFleet("near", "far")
			tc.setup(flt)
			for hash := range uint64(20) {
				assert.Equal(t, choose(flt, hash, noneTried).IP()[3], tc.want)
			}
		})
	}
}

func TestAgentsWithHeartbeatArePreferred(t *testing.T) {
	flt := newUnheardFleet("near", "far")
	reportLoad(flt, 1, 3)
	assert.Equal(t, choose(flt, 1, noneTried).IP()[3], byte(1))
}

func TestOnlySuspectAgentIsStillChosen(t *testing.T) {
	flt := newFleet("near")
	flt.Agent([4]byte{10, 0, 0, 0}).NoteOpeningUnanswered(start)
	assert.Assert(t, choose(flt, 1, noneTried) != nil)
	assert.Assert(t, choose(flt, 1, func([4]byte) bool { return true }) == nil)
}

// A burst of flows arrives before the next load report: the balancer counts the
// openings that it sent since the last one.
func TestBurstIsSpread(t *testing.T) {
	flt := newFleet("near", "near", "near", "near")
	got := make(map[byte]int)
	for num := range 400 {
		agt := choose(flt, FlowHash(flow.NewKey(flow.NewEndpoint([4]byte{100, 64, 0, 1}, uint16(num)), flow.Endpoint{})), noneTried)
		agt.NoteOpeningSent(start)
		got[agt.IP()[3]]++
	}
	for vm, count := range got {
		assert.Assert(t, count >= 95 && count <= 105, "upstream %d got %d of 400", vm, count)
	}
}

func TestEveryAgentOfLargeServiceIsTried(t *testing.T) {
	zones := make([]string, 40)
	flt := newFleet(zones...)
	tried := make(map[[4]byte]bool)
	for range zones {
		agt := choose(flt, 7, func(ip [4]byte) bool { return tried[ip] })
		assert.Assert(t, agt != nil)
		tried[agt.IP()] = true
	}
	assert.Equal(t, len(tried), len(zones))
}
