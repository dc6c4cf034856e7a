package flows

import (
	"testing"

	"lagoondrum/core/encap"
	"lagoondrum/core/flow"
)

func sendOpening(tbl *Table) []Action {
	tbl.HandleBalancerPacket(encap.New(encap.Open, service, key), fromClient(flow.Syn, 0, 0), nil, balancer, start)
	return tbl.TakeActions()
}

// The zone is evacuated between an opening and its copy.
func TestCopyOfAnOpeningInAnEvacuatedZone(t *testing.T) {
	t.Run("is refused while the upstream has not accepted the flow", func(t *testing.T) {
		tbl := newTable(true)
		sendOpening(tbl)
		tbl.SetEvacuated(true)
		acts := sendOpening(tbl)
		assertActionCount(t, acts, ToUpstream, 0)
		assertNotified(t, acts, encap.Refused)
	})
	t.Run("is delivered once it has", func(t *testing.T) {
		tbl := newTableWithHalfOpenFlow(t)
		tbl.SetEvacuated(true)
		acts := sendOpening(tbl)
		assertActionCount(t, acts, ToUpstream, 1)
		assertNotified(t, acts, encap.Opened)
	})
}

func TestOpenFlowOfAnEvacuatedZoneGoesOn(t *testing.T) {
	tbl := newTableWithHalfOpenFlow(t)
	tbl.SetEvacuated(true)
	sendFromClient(tbl, encap.Data, 5001, start)
	assertActionCount(t, tbl.TakeActions(), ToUpstream, 1)
}
