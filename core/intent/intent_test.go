package intent

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

func state(version uint64, services ...string) *State {
	routes := map[flow.Endpoint]*Route{}
	for _, name := range services {
		routes[address] = NewRoute("r", []Share{NewShare(name, 1)})
	}
	return NewState(version, routes, time.Second)
}

func TestPickFollowsWeights(t *testing.T) {
	rte := NewRoute("r", []Share{NewShare("a", 90), NewShare("b", 10), NewShare("c", 0)})
	got := map[string]int{}
	for hash := range uint64(1000) {
		got[rte.Pick(hash)]++
	}
	assert.DeepEqual(t, got, map[string]int{"a": 900, "b": 100})
	assert.Equal(t, NewRoute("r", nil).Pick(1), "")
}
