package table_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lagoondrum/core/lists"
	"lagoondrum/core/table"
)

const plansText = "[service feed]\n[plan gold]\n[grant gold feed]\naddress = 192.0.2.1\nupstreams = %d\nshare = 1\n[end]\n"

// entryOf returns the table entry of an address whose grant allows 5 upstreams.
// slots gives the slots of each upstream; leaving lists the upstreams that leave.
func entryOf(t *testing.T, upstreams int, slots func(int) int, leaving ...int) *table.Entry {
	t.Helper()
	pls, err := lists.ParsePlans(fmt.Appendf(nil, plansText, 5))
	assert.NilError(t, err)
	var sb strings.Builder
	for index := range upstreams {
		fmt.Fprintf(&sb, "[vm u%d]\naddress = 10.0.0.%d:7842\nzone = z\nservice = feed\nslots = %d\n", index, index+1, slots(index))
		for _, left := range leaving {
			if left == index {
				sb.WriteString("state = leaving\n")
			}
		}
	}
	vms, err := lists.ParseVMs([]byte(sb.String() + "[end]\n"))
	assert.NilError(t, err)
	ent, ok := table.New(pls, vms, table.NewLocality("z", "", netip.AddrPort{})).Lookup(netip.MustParseAddr("192.0.2.1"))
	assert.Assert(t, ok)
	return ent
}

func anyAgent(netip.AddrPort) bool { return true }

func fourSlots(int) int { return 4 }

func TestSubsetIsLimitedToGrantedUpstreams(t *testing.T) {
	assert.Equal(t, len(entryOf(t, 20, fourSlots).Candidates()), 5)
	assert.Equal(t, len(entryOf(t, 3, fourSlots).Candidates()), 3)
}

func TestLeavingUpstreamChangesOneCandidate(t *testing.T) {
	before := entryOf(t, 20, fourSlots)
	left := before.Candidates()[0].Agent()
	after := entryOf(t, 20, fourSlots, int(left.Addr().As4()[3])-1)
	shared := 0
	for _, old := range before.Candidates() {
		for _, candidate := range after.Candidates() {
			if old.Agent() == candidate.Agent() {
				shared++
			}
		}
	}
	assert.Equal(t, shared, 4)
}

func TestUnusableAgentIsNotChosen(t *testing.T) {
	ent := entryOf(t, 5, fourSlots)
	for key := range uint64(200) {
		first, second := ent.Choose(key, anyAgent)
		assert.Assert(t, first != second)
		next, _ := ent.Choose(key, func(agent netip.AddrPort) bool { return agent != first })
		assert.Equal(t, next, second)
	}
}

func TestFlowsFollowWeights(t *testing.T) {
	ent := entryOf(t, 3, func(index int) int { return []int{1, 1, 2}[index] })
	counts := make(map[netip.AddrPort]int)
	const keys = 8000
	for key := range uint64(keys) {
		first, _ := ent.Choose(key*0x9e3779b97f4a7c15, anyAgent)
		counts[first]++
	}
	heaviest := counts[netip.MustParseAddrPort("10.0.0.3:7842")]
	assert.Assert(t, heaviest > keys*45/100 && heaviest < keys*55/100, "the agent with half of the weight got %d of %d keys", heaviest, keys)
}
