package carry

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"lagoondrum/core/encap"
	"lagoondrum/core/fleet"
	"lagoondrum/core/flows"
)

// newTestAgent returns an agent of the service feed that has neither sockets nor a
// replica.
func newTestAgent(startedAt time.Time) *agent {
	return &agent{
		base:      &base{log: zap.NewNop(), self: vmAddr(firstUpstream, peerPort)},
		startedAt: startedAt,
		table:     flows.New(encap.ServiceID("feed"), defaultIdleTimeout, startedAt, false),
		fleet:     fleet.New(),
	}
}

// applyListing applies an entry with the address of the agent's VM.
func applyListing(agt *agent, id, service string, draining bool, born, now time.Time) {
	lst := fleet.Listing{ID: id, Service: service, Address: vmIP(firstUpstream), Port: upstreamPort, Slots: 4, Draining: draining, StartMillis: born.UnixMilli()}
	agt.fleet.PutEntry(fleet.NewUpstream(lst, now), now)
	agt.applyOwnEntry()
}

// Guards against flows that are denied, and then reset, because the start of an
// upstream was told by a clock that was ahead, so that its agent takes its own,
// later start for the earlier one.
func TestAgentDistrustsAStartInTheFuture(t *testing.T) {
	start := time.Now()
	for name, tc := range map[string]struct {
		born, read time.Time
		want       bool
	}{
		"with the agent":                 {start, start.Add(time.Second), true},
		"after the agent":                {start.Add(time.Second), start.Add(2 * time.Second), true},
		"before the agent":               {start.Add(-time.Second), start.Add(time.Second), false},
		"after its entry was first read": {start.Add(2 * time.Second), start.Add(time.Second), false},
	} {
		t.Run(name, func(t *testing.T) {
			agt := newTestAgent(start)
			applyListing(agt, "own", "feed", false, tc.born, tc.read)
			applyListing(agt, "own", "feed", false, tc.born, tc.read.Add(time.Minute))
			assert.Equal(t, agt.table.Complete(), tc.want)
		})
	}
}

// Guards against an entry of another writer, or of a former upstream of the VM, that
// an agent takes for that of its own upstream.
func TestAgentIgnoresEntriesOfOtherServices(t *testing.T) {
	now := time.Now()
	agt := newTestAgent(now)
	applyListing(agt, "other", "upload", true, now, now)
	assert.Assert(t, !agt.table.Leaving())
	assert.Assert(t, !agt.table.Complete())
	applyListing(agt, "own", "feed", true, now.Add(time.Millisecond), now.Add(time.Second))
	assert.Assert(t, agt.table.Leaving())
	assert.Assert(t, agt.table.Complete())
}
