package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/flow"
	"lagoondrum/core/hop"
)

func keyAt(port uint16) flow.Key {
	return flow.NewKey(flow.NewEnd(client.IP(), port), address)
}

// openAt has a client ask to open a flow, which waits for room if there is none.
func openAt(bok *Book, port uint16, waits bool, now time.Time) []Action {
	hdr := hop.New(hop.Open, service, keyAt(port)).WithUrgency(1, 250*time.Millisecond)
	if waits {
		hdr = hdr.WithWaits()
	}
	bok.FromBalancer(hdr, flow.NewPacket(keyAt(port).Client(), address, flow.Syn, 100, 0, 0), []byte("opening"), balancer, now)
	return bok.Take()
}

// fullBook returns the record of an upstream with one slot that has two requests
// under way.
func fullBook(t *testing.T) *Book {
	t.Helper()
	bok := newBook(true)
	bok.SetSlots(1)
	for port := range uint16(2) {
		assertDone(t, openAt(bok, port, true, start), Deliver, 1)
		bok.FromUpstream(flow.NewPacket(address, keyAt(port).Client(), flow.Syn|flow.Ack, 5000, 101, 0), nil, start)
		requestAt(bok, port, 5001, start)
		bok.Take()
	}
	return bok
}

func requestAt(bok *Book, port uint16, ack uint32, now time.Time) {
	bok.FromBalancer(hop.New(hop.Data, service, keyAt(port)), flow.NewPacket(keyAt(port).Client(), address, flow.Ack, ack, ack, 10), nil, balancer, now)
}

func answerAt(bok *Book, port uint16, now time.Time) {
	bok.FromUpstream(flow.NewPacket(address, keyAt(port).Client(), flow.Ack, 5001, 111, 200), nil, now)
}

func TestOpeningWaitsForRoom(t *testing.T) {
	bok := fullBook(t)
	acts := openAt(bok, 9, true, start)
	assertTold(t, acts, hop.Queued)
	assertDone(t, acts, Deliver, 0)
	assert.Equal(t, bok.Load(start).Requests(), 3.0)
	answerAt(bok, 0, start.Add(time.Millisecond))
	assertDone(t, bok.Take(), Deliver, 1)
}

func TestCopyOfAWaitingOpeningKeepsItsPlace(t *testing.T) {
	bok := fullBook(t)
	openAt(bok, 9, true, start)
	assertTold(t, openAt(bok, 9, true, start), hop.Queued)
	assert.Equal(t, bok.Queued(), 1)
}

func TestOpeningsWithoutRoomAreRefused(t *testing.T) {
	for name, tc := range map[string]struct {
		waits  bool
		answer time.Duration // How long requests take.
	}{
		"while other agents may have room":    {false, 0},
		"when their turn would come too late": {true, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			bok := fullBook(t)
			bok.room.answer = tc.answer
			acts := openAt(bok, 9, tc.waits, start)
			assertTold(t, acts, hop.Refused)
			assert.Equal(t, acts[0].Header().Reason(), hop.Full)
		})
	}
}

func TestWaitingOpeningsAreRefused(t *testing.T) {
	for name, tc := range map[string]struct {
		spoil func(bok *Book)
		after time.Duration
		want  hop.Reason
	}{
		"when the upstream leaves":       {func(bok *Book) { bok.SetLeaving(true) }, 0, hop.Leaving},
		"when the upstream ends":         {func(bok *Book) { bok.Probed(NotRunning{}) }, 0, hop.Down},
		"when their clients give up":     {func(*Book) {}, 1300 * time.Millisecond, hop.Full},
		"when it leaves before its next": {func(bok *Book) { bok.SetLeaving(true); answerAt(bok, 0, start) }, 0, hop.Leaving},
	} {
		t.Run(name, func(t *testing.T) {
			bok := fullBook(t)
			openAt(bok, 9, true, start)
			tc.spoil(bok)
			bok.Tick(start.Add(tc.after))
			acts := bok.Take()
			assertDone(t, acts, Deliver, 0)
			var reasons []hop.Reason
			for _, act := range acts {
				if act.Header().Kind() == hop.Refused {
					reasons = append(reasons, act.Header().Reason())
				}
			}
			assert.DeepEqual(t, reasons, []hop.Reason{tc.want})
		})
	}
}

// A client that leaves half way through its request, or an upstream that loses
// it, does not take room for ever.
func TestStalledRequestsTakeNoRoom(t *testing.T) {
	bok := fullBook(t)
	bok.Tick(start)
	bok.Take()
	bok.Tick(start.Add(stalledTime + sweepEvery))
	assertDone(t, openAt(bok, 9, true, start.Add(stalledTime+sweepEvery)), Deliver, 1)
}

// Requests on open flows do not keep new flows out.
func TestNewFlowsGetHalfOfTheRoom(t *testing.T) {
	bok := newBook(true)
	bok.SetSlots(2)
	for port := range uint16(4) { // Each has had an answer, and asks again.
		openAt(bok, port, true, start)
		bok.FromUpstream(flow.NewPacket(address, keyAt(port).Client(), flow.Syn|flow.Ack, 5000, 101, 0), nil, start)
		requestAt(bok, port, 5001, start)
		answerAt(bok, port, start)
	}
	for port := range uint16(4) {
		requestAt(bok, port, 5201, start)
	}
	bok.Take()
	assertDone(t, openAt(bok, 9, true, start), Deliver, 1)
	assertTold(t, openAt(bok, 10, true, start), hop.Queued)
}

// Room is kept for the request that follows an opening, but not for ever: a client
// that has given up sends none.
func TestRoomIsKeptForTheRequestOfANewFlow(t *testing.T) {
	bok := newBook(true)
	bok.SetSlots(1)
	for port := range uint16(2) {
		openAt(bok, port, true, start)
	}
	assertTold(t, openAt(bok, 9, true, start), hop.Queued)
	bok.Tick(start.Add(maxReserve))
	assertDone(t, bok.Take(), Deliver, 1)
}

// An agent that ends hands on what waits: the next agent takes it at once, and not
// when its client has given up.
func TestLeavingAgentRefusesWhatWaits(t *testing.T) {
	bok := fullBook(t)
	for port := range uint16(3) {
		openAt(bok, 9+port, true, start)
	}
	bok.Leave(start)
	acts := bok.Take()
	assertTold(t, acts, hop.Refused, hop.Refused, hop.Refused)
	for _, act := range acts {
		assert.Equal(t, act.Header().Reason(), hop.Leaving)
	}
	assert.Equal(t, bok.Queued(), 0)
	assertTold(t, openAt(bok, 20, true, start), hop.Refused)
}
