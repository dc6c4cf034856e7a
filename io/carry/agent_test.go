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

// Guards against an entry of another writer, or of a former upstream of the VM, that
// an agent takes for that of its own upstream.
func TestAgentIgnoresEntriesOfOtherServices(t *testing.T) {
	now := time.Now()
	agt := newTestAgent(now)
	applyListing(agt, "other", "upload", true, now, now)
	assert.Assert(t, !agt.table.Leaving())
	assert.Assert(t, !agt.table.Complete())
	applyListing(agt, "own", "feed", true, now.Add(time.Millisecond), now)
	assert.Assert(t, agt.table.Leaving())
	assert.Assert(t, agt.table.Complete())
}
