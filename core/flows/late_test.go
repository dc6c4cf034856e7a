package flows

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/encap"
	"lagoondrum/core/flow"
)

// lateAck is the client's acknowledgement on a flow that its upstream has sent data on.
const lateAck = 5001 + 2000

// lateBalancer is a balancer that sends packets from long before.
var lateBalancer = flow.NewEndpoint([4]byte{10, 0, 0, 2}, 7842)

// repeatOpening has a balancer send a copy of the opening of the test flow.
func repeatOpening(tbl *Table, now time.Time) {
	hdr := encap.New(encap.Open, service, key).WithQueueIfFull()
	tbl.HandleBalancerPacket(hdr, fromClient(flow.Syn, 0, 0), []byte("opening"), lateBalancer, now)
}

// answerOpening has the upstream answer the opening of the test flow.
func answerOpening(tbl *Table, now time.Time) {
	tbl.HandleUpstreamPacket(fromUpstream(flow.Syn|flow.Ack, 5000, 0), nil, now)
}

// bounceOpening has the upstream return a copy of the opening of the test flow.
func bounceOpening(tbl *Table, now time.Time) {
	tbl.HandleUpstreamPacket(fromClient(flow.Syn|flow.Bounced, 0, 0), []byte("opening"), now)
}

// verdictAt returns the answer to a query with an acknowledgement.
func verdictAt(tbl *Table, ack uint32, now time.Time) encap.Kind {
	tbl.TakeActions()
	tbl.HandleQuery(encap.AppendQuery(nil, key, ack), balancer, now)
	acts := tbl.TakeActions()
	var knd encap.Kind
	acts[0].Header().EachVerdict(acts[0].Packet(), func(hdr encap.Header) { knd = hdr.Kind() })
	return knd
}

// assertFoundByTry checks that a packet on trial is delivered and that the upstream's
// answer to it makes the flow known as open.
func assertFoundByTry(t *testing.T, tbl *Table, now time.Time) {
	t.Helper()
	tbl.TakeActions()
	sendFromClient(tbl, encap.Try, lateAck, now)
	assertActionCount(t, tbl.TakeActions(), ToUpstream, 1)
	tbl.HandleUpstreamPacket(fromUpstream(flow.Ack, lateAck, 10), nil, now)
	assertNotified(t, tbl.TakeActions(), encap.Held)
	assert.Equal(t, verdictAt(tbl, lateAck, now), encap.Held)
}

// Guards against a reset of an open flow: a copy of its opening that reached a
// restarted agent late was taken for a new flow, and the open one was denied.
func TestLateCopyOfAnOpeningHidesNoOpenFlow(t *testing.T) {
	later := start.Add(2 * time.Second)
	for name, late := range map[string]func(tbl *Table){
		"delivered":                  func(tbl *Table) { repeatOpening(tbl, later) },
		"answered":                   func(tbl *Table) { repeatOpening(tbl, later); answerOpening(tbl, later) },
		"answered after the restart": func(tbl *Table) { answerOpening(tbl, later) },
		"answered after its timeout": func(tbl *Table) {
			repeatOpening(tbl, later)
			tbl.Tick(later.Add(openTimeout))
			answerOpening(tbl, later)
		},
		"returned": func(tbl *Table) { repeatOpening(tbl, later); bounceOpening(tbl, later) },
	} {
		t.Run(name, func(t *testing.T) {
			tbl := newTable(false)
			late(tbl)
			assert.Equal(t, verdictAt(tbl, lateAck, later), encap.Unsure)
			assertFoundByTry(t, tbl, later)
		})
		t.Run(name+", then a packet of the upstream", func(t *testing.T) {
			tbl := newTable(false)
			late(tbl)
			tbl.HandleUpstreamPacket(fromUpstream(flow.Ack, lateAck, 10), nil, later)
			assert.Equal(t, verdictAt(tbl, lateAck, later), encap.Held)
		})
		t.Run(name+", of a flow that another upstream holds", func(t *testing.T) {
			tbl := newTable(false)
			late(tbl)
			sendFromClient(tbl, encap.Try, lateAck, later)
			tbl.HandleUpstreamPacket(fromClient(flow.Ack|flow.Bounced, lateAck, 10), []byte("packet"), later)
			acts := tbl.TakeActions()
			assertActionCount(t, acts, Reset, 0)
			assert.Equal(t, verdictAt(tbl, lateAck, later), encap.Absent)
		})
		t.Run(name+", of a flow that was tried here", func(t *testing.T) {
			tbl := newTable(false)
			sendFromClient(tbl, encap.Try, lateAck, start)
			tbl.HandleUpstreamPacket(fromClient(flow.Ack|flow.Bounced, lateAck, 10), []byte("packet"), start)
			late(tbl)
			tbl.TakeActions()
			sendFromClient(tbl, encap.Try, lateAck, later)
			assertTried(t, lastHeader(tbl), 2*time.Second)
		})
		t.Run(name+", where no flow can be older than the agent", func(t *testing.T) {
			tbl := newTable(true)
			late(tbl)
			assert.Equal(t, verdictAt(tbl, lateAck, later), encap.Absent)
		})
	}
}

// Guards against the same where the agent knows the flow from a packet of its upstream,
// or has a packet of it on trial.
func TestLateCopyOfAnOpeningReplacesNoRecord(t *testing.T) {
	for name, tc := range map[string]struct{ prepare, late func(tbl *Table) }{
		"the copy is delivered": {func(*Table) {}, func(tbl *Table) { repeatOpening(tbl, start) }},
		"the copy is answered":  {func(*Table) {}, func(tbl *Table) { repeatOpening(tbl, start); answerOpening(tbl, start) }},
		"the copy is returned":  {func(*Table) {}, func(tbl *Table) { repeatOpening(tbl, start); bounceOpening(tbl, start) }},
		"the upstream is full": {func(tbl *Table) { tbl.SetSlots(1) }, func(tbl *Table) {
			for port := range uint16(3) {
				openFlow(tbl, 10+port, true, start)
			}
			hdr := encap.New(encap.Open, service, key)
			tbl.HandleBalancerPacket(hdr, fromClient(flow.Syn, 0, 0), nil, lateBalancer, start)
		}},
	} {
		t.Run(name+", rebuilt record", func(t *testing.T) {
			tbl := newTable(false)
			tc.prepare(tbl)
			tbl.HandleUpstreamPacket(fromUpstream(flow.Ack, 5001, 2000), nil, start)
			tc.late(tbl)
			assertActionCount(t, tbl.TakeActions(), Reset, 0)
			assert.Equal(t, verdictAt(tbl, lateAck, start), encap.Held)
		})
		t.Run(name+", packet on trial", func(t *testing.T) {
			tbl := newTable(false)
			tc.prepare(tbl)
			sendFromClient(tbl, encap.Try, lateAck, start)
			tc.late(tbl)
			tbl.TakeActions()
			tbl.HandleUpstreamPacket(fromUpstream(flow.Ack, lateAck, 10), nil, start)
			acts := tbl.TakeActions()
			assertNotified(t, acts, encap.Held)
			assert.Equal(t, acts[len(acts)-1].Balancer(), balancer)
		})
		t.Run(name+", packet on trial that gets no answer", func(t *testing.T) {
			tbl := newTable(false)
			tc.prepare(tbl)
			sendFromClient(tbl, encap.Try, lateAck, start)
			tc.late(tbl)
			tbl.Tick(start.Add(trialTimeout))
			assertFoundByTry(t, tbl, start.Add(trialTimeout))
		})
	}
}

// Guards against a refusal, on which the balancer asks other upstreams to open the flow.
func TestCopyOfTheOpeningOfAnOpenFlowIsNotRefused(t *testing.T) {
	for name, tc := range map[string]struct {
		prepare   func(tbl *Table)
		delivered int
	}{
		"while the upstream leaves":   {func(tbl *Table) { tbl.SetLeaving(true) }, 0},
		"while the zone is evacuated": {func(tbl *Table) { tbl.SetEvacuated(true) }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			tbl := newTable(false)
			tbl.HandleUpstreamPacket(fromUpstream(flow.Ack, 5001, 2000), nil, start)
			tc.prepare(tbl)
			tbl.TakeActions()
			repeatOpening(tbl, start)
			acts := tbl.TakeActions()
			assertNotified(t, acts, encap.Opened)
			assertActionCount(t, acts, ToUpstream, tc.delivered)
			assert.Equal(t, acts[len(acts)-1].Balancer(), lateBalancer)
		})
	}
}

// Guards against an open flow that ends because its upstream returned a copy of the
// opening.
func TestReturnedOpeningLeavesTheFlowOpen(t *testing.T) {
	tbl := newTableWithOpenFlow(t)
	repeatOpening(tbl, start)
	tbl.TakeActions()
	bounceOpening(tbl, start)
	assertActionCount(t, tbl.TakeActions(), Reset, 0)
	assert.Equal(t, verdictAt(tbl, lateAck, start), encap.Held)
}
