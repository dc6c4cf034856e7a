package track

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/encap"
	"lagoondrum/core/intent"

	"lagoondrum/core/flow"
)

var uploadID = encap.ServiceID("upload")

// newSplitFixture returns a table whose route leads to "feed", at VM 1, and for
// next to no flow to "upload", at VM 2.
func newSplitFixture() *fixture {
	fix := newFixture(1)
	fix.listUpstream(2, "upload", 1)
	shares := []intent.Share{intent.NewShare("feed", 1_000_000_000), intent.NewShare("upload", 1)}
	routes := map[flow.Endpoint]*intent.Route{serviceAddr: intent.NewRoute("r", shares)}
	fix.tracker.Adopt(intent.NewState(2, routes, 15*time.Second), start)
	return fix
}

// setLoad has an agent report its requests, in sixteenths.
func (fix *fixture) setLoad(num, requests int, now time.Time) {
	agt := fix.fleet.Agent(vmIP(num))
	agt.NoteHeard(encap.NewHeartbeat(agt.ServiceID(), 1, 1).WithLoad(encap.NewLoad(requests, 0)), now)
}

// The load: one service of a route gets more openings than its upstreams serve in
// time, while another one has free slots.
func TestOpeningOverflowsToAnotherServiceOfTheRoute(t *testing.T) {
	for name, tc := range map[string]struct {
		feedLoad, uploadLoad int
		silent               bool // The first agent reports that its upstream did not answer.
		agent                [4]byte
		service              uint64
	}{
		"that has free slots":            {160, 0, false, vmIP(2), uploadID},
		"unless that is fuller":          {160, 320, false, vmIP(1), feedID},
		"unless an agent may still open": {160, 0, true, vmIP(1), feedID},
	} {
		t.Run(name, func(t *testing.T) {
			fix := newSplitFixture()
			fix.setLoad(2, tc.uploadLoad, start)
			fix.sendOpeningPacket(1, 0, start)
			fix.setLoad(1, tc.feedLoad, start)
			if tc.silent {
				fix.recent[flowKey(1)].unanswered = true
			}
			refusal := encap.New(encap.Refused, feedID, flowKey(1)).WithReason(encap.Full)
			asked := sendActions(fix.receive(refusal, vmIP(1), start))
			assert.Equal(t, len(asked), 1)
			assert.Equal(t, asked[0].Agent(), tc.agent)
			assert.Equal(t, asked[0].Header().Service(), tc.service)
			assert.Assert(t, asked[0].Header().QueueIfFull())
		})
	}
}

// Packets of a flow that overflowed go to the service that opened it.
func TestOverflowedFlowKeepsItsService(t *testing.T) {
	fix := newSplitFixture()
	fix.sendOpeningPacket(1, 0, start)
	fix.setLoad(1, 160, start)
	fix.receive(encap.New(encap.Refused, feedID, flowKey(1)).WithReason(encap.Full), vmIP(1), start)
	fix.receive(encap.New(encap.Opened, uploadID, flowKey(1)).WithSeq(5000), vmIP(2), start)
	sent := sendActions(fix.sendData(1, start))
	assert.Equal(t, sent[0].Agent(), vmIP(2))
	assert.Equal(t, sent[0].Header().Service(), uploadID)
}
