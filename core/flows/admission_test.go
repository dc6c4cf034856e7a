package flows

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/encap"
	"lagoondrum/core/flow"
	"lagoondrum/core/intent"
)

func keyFor(port uint16) flow.Key {
	return flow.NewKey(flow.NewEndpoint(client.IP(), port), address)
}

// requestTimeout is the timeout of the requests of openFlow.
const requestTimeout = 1300 * time.Millisecond

// openFlow sends the opening of a flow from a client's port. With waits set it is
// accepted also when there is no capacity.
func openFlow(tbl *Table, port uint16, waits bool, now time.Time) []Action {
	hdr := encap.New(encap.Open, service, keyFor(port)).WithUrgency(flow.NewUrgency(1, 250*time.Millisecond, requestTimeout))
	if waits {
		hdr = hdr.WithQueueIfFull()
	}
	tbl.HandleBalancerPacket(hdr, flow.NewPacket(keyFor(port).Client(), address, flow.Syn, 100, 0, 0), []byte("opening"), balancer, now)
	return tbl.TakeActions()
}

// newFullTable returns the table of an upstream with one slot and two running
// requests, as many as it is given at once.
func newFullTable(t *testing.T) *Table {
	t.Helper()
	tbl := newTable(true)
	tbl.SetSlots(1)
	for port := range uint16(2) {
		assertActionCount(t, openFlow(tbl, port, true, start), ToUpstream, 1)
		tbl.HandleUpstreamPacket(flow.NewPacket(address, keyFor(port).Client(), flow.Syn|flow.Ack, 5000, 101, 0), nil, start)
		sendRequest(tbl, port, 5001, start)
		tbl.TakeActions()
	}
	return tbl
}

func sendRequest(tbl *Table, port uint16, ack uint32, now time.Time) {
	tbl.HandleBalancerPacket(encap.New(encap.Data, service, keyFor(port)), flow.NewPacket(keyFor(port).Client(), address, flow.Ack, ack, ack, 10), nil, balancer, now)
}

func sendAnswer(tbl *Table, port uint16, now time.Time) {
	tbl.HandleUpstreamPacket(flow.NewPacket(address, keyFor(port).Client(), flow.Ack, 5001, 111, 200), nil, now)
}

// acceptOpening opens a flow from a client's port up to the point where its client
// sends its request.
func acceptOpening(tbl *Table, port uint16, now time.Time) {
	openFlow(tbl, port, true, now)
	tbl.HandleUpstreamPacket(flow.NewPacket(address, keyFor(port).Client(), flow.Syn|flow.Ack, 5000, 101, 0), nil, now)
	tbl.TakeActions()
}

// The opening is answered at once, so that its client does not give up and come
// back; its request waits.
func TestRequestOfANewFlowWaitsForCapacity(t *testing.T) {
	tbl := newFullTable(t)
	assertActionCount(t, openFlow(tbl, 9, true, start), ToUpstream, 1)
	assert.Equal(t, tbl.Load(start).Requests(), 3.0)
	tbl.HandleUpstreamPacket(flow.NewPacket(address, keyFor(9).Client(), flow.Syn|flow.Ack, 5000, 101, 0), nil, start)
	tbl.TakeActions()
	sendRequest(tbl, 9, 5001, start)
	assertActionCount(t, tbl.TakeActions(), ToUpstream, 0)
	assert.Equal(t, tbl.Load(start).Requests(), 3.0)
	sendAnswer(tbl, 0, start.Add(time.Millisecond))
	assertActionCount(t, tbl.TakeActions(), ToUpstream, 1)
}

// The time that a client has needed to open its flow counts for its objective.
func TestAgeOfAnOpeningCounts(t *testing.T) {
	tbl := newFullTable(t)
	for port, copies := range map[uint16]uint32{8: 0, 9: 2} {
		hdr := encap.New(encap.Open, service, keyFor(port)).WithUrgency(flow.NewUrgency(1, 250*time.Millisecond, requestTimeout)).WithQueueIfFull()
		tbl.HandleBalancerPacket(hdr, flow.NewPacket(keyFor(port).Client(), address, flow.Syn, 100, copies, 0), nil, balancer, start)
		tbl.HandleUpstreamPacket(flow.NewPacket(address, keyFor(port).Client(), flow.Syn|flow.Ack, 5000, 101, 0), nil, start)
	}
	sendRequest(tbl, 9, 5001, start)
	sendRequest(tbl, 8, 5001, start)
	tbl.TakeActions()
	sendAnswer(tbl, 0, start.Add(time.Millisecond))
	acts := tbl.TakeActions()
	assert.Equal(t, acts[len(acts)-1].Key(), keyFor(8))
}

func TestOpeningsWithoutCapacityAreRefused(t *testing.T) {
	for name, tc := range map[string]struct {
		waits      bool
		answerTime time.Duration // The average duration of requests.
	}{
		"while other agents may have capacity":   {false, 0},
		"when their clients would give up first": {true, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			tbl := newFullTable(t)
			tbl.admission.answerTime = tc.answerTime
			acts := openFlow(tbl, 9, tc.waits, start)
			assertNotified(t, acts, encap.Refused)
			assert.Equal(t, acts[0].Header().Reason(), encap.Full)
		})
	}
}

// A request that waits is reset with its flow when the upstream ends, so that its
// client learns of it at once.
func TestWaitingRequestsEndWithTheUpstream(t *testing.T) {
	tbl := newFullTable(t)
	acceptOpening(tbl, 9, start)
	sendRequest(tbl, 9, 5001, start)
	tbl.TakeActions()
	tbl.HandleProbeResult(NotRunning{})
	tbl.Tick(start)
	acts := tbl.TakeActions()
	assertActionCount(t, acts, ToUpstream, 0)
	assertActionCount(t, acts, Reset, 3)
	assert.Equal(t, tbl.Queued(), 0)
}

// A request whose client has closed the flow is not run after its timeout.
func TestAbandonedRequestIsNotDelivered(t *testing.T) {
	tbl := newFullTable(t)
	acceptOpening(tbl, 9, start)
	sendRequest(tbl, 9, 5001, start)
	fin := flow.NewPacket(keyFor(9).Client(), address, flow.Ack|flow.Fin, 5011, 5001, 0)
	tbl.HandleBalancerPacket(encap.New(encap.Data, service, keyFor(9)), fin, nil, balancer, start.Add(requestTimeout))
	tbl.Tick(start.Add(requestTimeout + time.Second))
	assertActionCount(t, tbl.TakeActions(), ToUpstream, 0)
	assert.Equal(t, tbl.Queued(), 0)
	list := encap.AppendQuery(nil, keyFor(9), 5001)
	tbl.HandleQuery(list, balancer, start) // The upstream still holds the flow.
	acts := tbl.TakeActions()
	acts[0].Header().EachVerdict(acts[0].Packet(), func(hdr encap.Header) { assert.Equal(t, hdr.Kind(), encap.Held) })
}

// Guards against a flow that is removed with the request that waits for it, because what
// its client repeats meanwhile did not count as its activity.
func TestHeldRequestOutlivesTheIdleTimeout(t *testing.T) {
	const timeout = 3 * time.Second
	newHeld := func(t *testing.T) *Table {
		tbl := newFullTable(t)
		setIdleTimeout(tbl, 1, timeout)
		hdr := encap.New(encap.Open, service, keyFor(9)).WithUrgency(flow.NewUrgency(1, 250*time.Millisecond, 8*time.Second)).WithQueueIfFull()
		tbl.HandleBalancerPacket(hdr, flow.NewPacket(keyFor(9).Client(), address, flow.Syn, 100, 0, 0), nil, balancer, start)
		tbl.HandleUpstreamPacket(flow.NewPacket(address, keyFor(9).Client(), flow.Syn|flow.Ack, 5000, 101, 0), nil, start)
		sendRequest(tbl, 9, 5001, start)
		assert.Equal(t, tbl.Queued(), 1)
		return tbl
	}
	repeatRequests := func(tbl *Table, now time.Time) {
		for _, port := range []uint16{0, 1, 9} {
			sendRequest(tbl, port, 5001, now)
		}
	}
	t.Run("its flow stays", func(t *testing.T) {
		tbl := newHeld(t)
		for wait := time.Duration(0); wait < 2*timeout; wait += 1600 * time.Millisecond {
			repeatRequests(tbl, start.Add(wait))
			tbl.Tick(start.Add(wait + time.Second))
		}
		assert.Assert(t, tbl.records[keyFor(9)] != nil)
		list := encap.AppendQuery(nil, keyFor(9), 5001)
		tbl.TakeActions()
		tbl.HandleQuery(list, balancer, start.Add(2*timeout))
		acts := tbl.TakeActions()
		acts[0].Header().EachVerdict(acts[0].Packet(), func(hdr encap.Header) { assert.Equal(t, hdr.Kind(), encap.Held) })
	})
	t.Run("its upstream gets it before the flow has been idle there for as long", func(t *testing.T) {
		tbl := newHeld(t)
		repeatRequests(tbl, start.Add(timeout/2))
		tbl.TakeActions()
		tbl.Tick(start.Add(timeout - idleMargin - time.Millisecond))
		assertActionCount(t, tbl.TakeActions(), ToUpstream, 0)
		tbl.Tick(start.Add(timeout - idleMargin))
		assertActionCount(t, tbl.TakeActions(), ToUpstream, 1)
	})
}

// Flows from before a restart of the agent have no opening; the route of their
// address tells how urgent their requests are.
func TestUrgencyOfFlowsFromBeforeARestart(t *testing.T) {
	urgency := flow.NewUrgency(2, 250*time.Millisecond, requestTimeout)
	for name, tc := range map[string]struct {
		routed flow.Endpoint
		want   flow.Urgency
	}{
		"with a route":    {address, urgency},
		"without a route": {client, flow.Urgency{}},
	} {
		t.Run(name, func(t *testing.T) {
			tbl := newTable(false)
			routes := map[flow.Endpoint]*intent.Route{tc.routed: intent.NewRoute("r", nil).WithUrgency(urgency)}
			tbl.SetState(intent.NewState(1, routes, idleTimeout))
			tbl.HandleUpstreamPacket(fromUpstream(flow.Ack, 5000, 100), nil, start)
			assert.Equal(t, tbl.urgencyOf(key, tbl.records[key]), tc.want)
		})
	}
}

// A request stops counting when its client leaves before the answer or the
// upstream loses it, so that it does not take capacity for ever.
func TestStalledRequestsTakeNoCapacity(t *testing.T) {
	tbl := newFullTable(t)
	tbl.Tick(start)
	tbl.TakeActions()
	tbl.Tick(start.Add(stallTimeout + sweepInterval))
	assertActionCount(t, openFlow(tbl, 9, true, start.Add(stallTimeout+sweepInterval)), ToUpstream, 1)
}

// newTableWithOpenFlows returns the table of an upstream whose flows from the given
// number of ports have each had an answer.
func newTableWithOpenFlows(slots, ports int) *Table {
	tbl := newTable(true)
	tbl.SetSlots(slots)
	for port := range uint16(ports) {
		openFlow(tbl, port, true, start)
		tbl.HandleUpstreamPacket(flow.NewPacket(address, keyFor(port).Client(), flow.Syn|flow.Ack, 5000, 101, 0), nil, start)
		sendRequest(tbl, port, 5001, start)
		sendAnswer(tbl, port, start)
	}
	tbl.TakeActions()
	return tbl
}

// Requests on open flows wait as openings do: in the upstream they would delay each
// other, and nothing could go before them.
func TestRequestsOnOpenFlowsWaitForCapacity(t *testing.T) {
	tbl := newTableWithOpenFlows(2, 6)
	limit := tbl.admission.requestLimit()
	for port := range uint16(6) {
		sendRequest(tbl, port, 5201, start)
	}
	assertActionCount(t, tbl.TakeActions(), ToUpstream, limit)
	assert.Equal(t, tbl.Queued(), 6-limit)
	sendAnswer(tbl, 0, start)
	assertActionCount(t, tbl.TakeActions(), ToUpstream, 1)
}

// Requests on open flows that keep the upstream busy do not keep new flows from
// being served.
func TestNewFlowsGetAShareOfTheCapacity(t *testing.T) {
	const ports = 64
	tbl := newTableWithOpenFlows(2, ports)
	for port := range uint16(ports) {
		sendRequest(tbl, port, 5201, start)
	}
	acceptOpening(tbl, ports, start)
	sendRequest(tbl, ports, 5001, start)
	for port := range uint16(ports / 2) { // Half of the requests are answered, and the new flow has had its turn.
		sendAnswer(tbl, port, start)
	}
	assert.Assert(t, tbl.records[keyFor(ports)].requestPending)
}

// The queue neither loses nor repeats a packet of a request: its retransmissions
// are dropped, and what follows it is delivered after it.
func TestPacketsOfAWaitingRequestAreDeliveredOnce(t *testing.T) {
	tbl := newTableWithOpenFlows(1, 3)
	for port := range uint16(3) {
		sendRequest(tbl, port, 5201, start)
	}
	tbl.TakeActions()
	sendRequest(tbl, 2, 5201, start.Add(200*time.Millisecond)) // A retransmission.
	assertActionCount(t, tbl.TakeActions(), ToUpstream, 0)
	sendAnswer(tbl, 0, start)
	assertActionCount(t, tbl.TakeActions(), ToUpstream, 1)
	assert.Equal(t, tbl.Queued(), 0)
}

// A request on an open flow is never refused: it is delivered after its timeout, when
// the agent ends, and while the upstream drains.
func TestWaitingRequestsAreDelivered(t *testing.T) {
	for name, release := range map[string]func(tbl *Table){
		"when they have waited too long": func(tbl *Table) { tbl.Tick(start.Add(2 * time.Second)) },
		"when the agent ends":            func(tbl *Table) { tbl.StopAccepting(start) },
		"while the upstream drains":      func(tbl *Table) { tbl.SetLeaving(true); sendAnswer(tbl, 0, start) },
	} {
		t.Run(name, func(t *testing.T) {
			tbl := newTableWithOpenFlows(1, 3)
			for port := range uint16(3) {
				sendRequest(tbl, port, 5201, start)
			}
			tbl.TakeActions()
			release(tbl)
			assertActionCount(t, tbl.TakeActions(), ToUpstream, 1)
		})
	}
}

// An upstream that never answers some requests still gets others: those without an
// answer for much longer than usual take no capacity. When it has become slow, its
// answers show it.
func TestOverdueRequestsTakeNoCapacity(t *testing.T) {
	tbl := newTableWithOpenFlows(1, 4)
	tbl.admission.answerTime = 50 * time.Millisecond
	for port := range uint16(4) {
		sendRequest(tbl, port, 5201, start)
	}
	tbl.TakeActions()
	tbl.Tick(start.Add(overdueFactor*50*time.Millisecond - 1))
	assertActionCount(t, tbl.TakeActions(), ToUpstream, 0)
	tbl.Tick(start.Add(overdueFactor * 50 * time.Millisecond))
	assertActionCount(t, tbl.TakeActions(), ToUpstream, 2)
	sendAnswer(tbl, 0, start.Add(time.Second))
	assert.Assert(t, tbl.admission.answerTime > 100*time.Millisecond)
}

// The farther the clients are away, the more requests are on the way while a slot
// is free.
func TestLimitFollowsTheTimeToClients(t *testing.T) {
	for name, tc := range map[string]struct {
		requestDelay, answerTime time.Duration
		want                     int
	}{
		"next to them":           {time.Millisecond, 100 * time.Millisecond, 9},
		"a quarter of an answer": {25 * time.Millisecond, 100 * time.Millisecond, 10},
		"far away":               {time.Second, 100 * time.Millisecond, 16},
		"not known yet":          {time.Second, 0, 9},
	} {
		t.Run(name, func(t *testing.T) {
			adm := admission{slots: 8, requestDelay: tc.requestDelay, answerTime: tc.answerTime}
			assert.Equal(t, adm.requestLimit(), tc.want)
		})
	}
}

// Late requests only get free slots, so that they do not delay later ones that can
// still be in time.
func TestLateRequestsOnlyGetFreeSlots(t *testing.T) {
	tbl := newTableWithOpenFlows(1, 4)
	for port := range uint16(4) {
		sendRequest(tbl, port, 5201, start)
	}
	tbl.TakeActions()
	late := start.Add(time.Second)
	sendAnswer(tbl, 0, late)
	assertActionCount(t, tbl.TakeActions(), ToUpstream, 0)
	sendAnswer(tbl, 1, late)
	assertActionCount(t, tbl.TakeActions(), ToUpstream, 1)
}

// Capacity is reserved for the request that follows an opening, but only for a
// limited time: a client that has given up sends none.
func TestCapacityIsReservedForTheRequestOfANewFlow(t *testing.T) {
	tbl := newTable(true)
	tbl.SetSlots(1)
	for port := range uint16(2) {
		openFlow(tbl, port, true, start)
	}
	assertNotified(t, openFlow(tbl, 9, false, start), encap.Refused)
	tbl.Tick(start.Add(maxReserveTime))
	tbl.TakeActions()
	assertActionCount(t, openFlow(tbl, 9, false, start.Add(maxReserveTime)), ToUpstream, 1)
}

// An agent that ends delivers what waits and refuses openings, so that another agent
// takes them at once.
func TestLeavingAgentRefusesOpenings(t *testing.T) {
	tbl := newFullTable(t)
	for port := uint16(9); port < 12; port++ {
		acceptOpening(tbl, port, start)
		sendRequest(tbl, port, 5001, start)
	}
	tbl.TakeActions()
	tbl.StopAccepting(start)
	assertActionCount(t, tbl.TakeActions(), ToUpstream, 3)
	assert.Equal(t, tbl.Queued(), 0)
	acts := openFlow(tbl, 20, true, start)
	assertNotified(t, acts, encap.Refused)
	assert.Equal(t, acts[0].Header().Reason(), encap.Leaving)
}
