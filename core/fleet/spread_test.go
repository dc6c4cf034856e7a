package fleet

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Agents of a zone that fails, or one without agents, must not keep a state from the
// other zones.
func TestSpreadTargets(t *testing.T) {
	agents := func(zones ...string) []*Agent {
		var agts []*Agent
		for num, zone := range zones {
			agts = append(agts, &Agent{upstream: NewUpstream(Listing{ID: fmt.Sprint(num), Zone: zone, Slots: 1}, start)})
		}
		return agts
	}
	for name, tc := range map[string]struct {
		zones []string
		want  map[string]int
	}{
		"mostly the own zone":         {[]string{"b", "a", "a", "b", "a", "a", "a", "b"}, map[string]int{"a": 4, "b": 1}},
		"few in the own zone":         {[]string{"b", "a", "b", "c", "b", "b", "b"}, map[string]int{"a": 1, "b": 3, "c": 1}},
		"none in the own zone":        {[]string{"b", "b", "b", "b", "b", "b"}, map[string]int{"b": 5}},
		"one zone":                    {[]string{"a", "a", "a", "a", "a", "a"}, map[string]int{"a": 5}},
		"fewer agents than are asked": {[]string{"a", "b"}, map[string]int{"a": 1, "b": 1}},
		"no agents":                   {nil, map[string]int{}},
	} {
		t.Run(name, func(t *testing.T) {
			got := map[string]int{}
			for _, agt := range SpreadTargets(agents(tc.zones...), "a", 5) {
				got[agt.Upstream().Zone()]++
			}
			assert.DeepEqual(t, got, tc.want)
		})
	}
}
