package track

import (
	"testing"

	"gotest.tools/v3/assert"

	"lagoondrum/core/encap"
	"lagoondrum/core/evac"
	"lagoondrum/core/fleet"
	"lagoondrum/core/flow"
)

// newZonesFixture returns a table and a fleet with the given number of upstreams of the
// service "feed" in each of the zones. Those of zone k are on the VMs from 10*k on.
func newZonesFixture(each int, zones ...string) *fixture {
	fix := newFixture(0)
	for at, zone := range zones {
		for num := range each {
			ip := vmIP(10*at + num)
			lst := fleet.Listing{ID: string(ip[:]), Service: "feed", Address: ip, Port: 80, Zone: zone, Slots: 4}
			fix.fleet.PutEntry(fleet.NewUpstream(lst, start), start)
			fix.fleet.Agent(ip).NoteHeard(encap.NewHeartbeat(feedID, 1, 1), start)
		}
	}
	return fix
}

func (fix *fixture) evacuate(zones ...string) {
	for _, zone := range zones {
		fix.fleet.Evacuate(evac.NewOrder(zone, 7, evac.Platform, start))
	}
}

// zoneOf returns the zone of the agent that an action asks.
func (fix *fixture) zoneOf(act Action) string {
	return fix.fleet.Agent(act.Agent()).Upstream().Zone()
}

// refuse has an agent refuse the first test flow because its zone is evacuated.
func (fix *fixture) refuse(from [4]byte) []Action {
	return fix.receive(encap.New(encap.Refused, feedID, flowKey(1)).WithReason(encap.Evacuated), from, start)
}

// The load: the callers of an evacuated zone, whose balancer prefers its upstreams.
func TestNoFlowIsOpenedInAnEvacuatedZone(t *testing.T) {
	fix := newZonesFixture(4, "z", "y", "x")
	opened := map[string]int{}
	open := func(from, to int) {
		for num := from; num < to; num++ {
			asked := fix.sendOpeningPacket(num, 0, start)[0]
			opened[fix.zoneOf(asked)]++
			fix.fleet.Agent(asked.Agent()).NoteHeard(encap.NewHeartbeat(feedID, 1, 1), start)
		}
	}
	open(0, 12)
	assert.Equal(t, opened["z"], 12)
	fix.evacuate("z")
	open(12, 212)
	assert.Equal(t, opened["z"], 12)
	assert.Assert(t, opened["y"] > 80 && opened["x"] > 80, "opened %v", opened)
	fix.fleet.TakeBack("z")
	open(212, 312)
	assert.Assert(t, opened["z"] > 80, "opened %v", opened)
}

func TestOpeningGoesOnInAnotherZone(t *testing.T) {
	t.Run("when an agent was asked just before the order and does not answer", func(t *testing.T) {
		fix := newZonesFixture(2, "z", "y")
		first := fix.sendOpeningPacket(1, 0, start)
		fix.evacuate("z")
		now := start.Add(fix.answers.timeout())
		fix.Tick(now)
		next := sendActions(fix.TakeActions())
		assert.Equal(t, fix.zoneOf(first[0]), "z")
		assert.Equal(t, fix.zoneOf(next[0]), "y")
	})
	t.Run("when the agent knows the order and the balancer does not", func(t *testing.T) {
		fix := newZonesFixture(1, "z", "y")
		asked := fix.sendOpeningPacket(1, 0, start)[0].Agent()
		next := sendActions(fix.refuse(asked))
		assert.Equal(t, fix.zoneOf(next[0]), "y")
		assert.Assert(t, fix.fleet.Agent(asked).Healthy(start), "a refusal does not make an agent suspect")
	})
}

func TestOpeningIsResetWhenEveryZoneIsEvacuated(t *testing.T) {
	t.Run("as the balancer knows", func(t *testing.T) {
		fix := newZonesFixture(1, "z", "y")
		fix.evacuate("z", "y")
		fix.HandleClientPacket(flow.NewPacket(clientAt(1), serviceAddr, flow.Syn, 100, 0, 0), []byte("opening"), start)
		assertResets(t, fix.TakeActions(), AllEvacuated)
	})
	t.Run("as the agents tell", func(t *testing.T) {
		fix := newZonesFixture(1, "z", "y")
		asked := fix.sendOpeningPacket(1, 0, start)
		next := sendActions(fix.refuse(asked[0].Agent()))
		assertResets(t, fix.refuse(next[0].Agent()), AllEvacuated)
	})
}

func TestOpenFlowStaysInAnEvacuatedZone(t *testing.T) {
	fix := newZonesFixture(1, "z", "y")
	holder := fix.sendOpeningPacket(1, 0, start)[0].Agent()
	fix.receive(encap.New(encap.Opened, feedID, flowKey(1)).WithSeq(5000), holder, start)
	fix.evacuate("z")
	assert.Equal(t, sendActions(fix.sendData(1, start))[0].Agent(), holder)
}
