package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/flow"
	"lagoondrum/core/hop"
)

const testIdle = 15 * time.Second

var (
	start    = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	service  = hop.ServiceID("plaque-feed")
	client   = flow.NewEnd([4]byte{100, 64, 0, 7}, 40001)
	address  = flow.NewEnd([4]byte{198, 18, 0, 1}, 443)
	key      = flow.NewKey(client, address)
	balancer = flow.NewEnd([4]byte{10, 0, 0, 1}, 7842)
)

func fromClient(flags flow.Flags, ack uint32, size uint16) flow.Packet {
	return flow.NewPacket(client, address, flags, 100, ack, size)
}

func fromUpstream(flags flow.Flags, seq uint32, size uint16) flow.Packet {
	return flow.NewPacket(address, client, flags, seq, 101, size)
}

func newBook(complete bool) *Book { return New(service, testIdle, start, complete) }

// opened returns a record with a flow that the upstream answered.
func opened(t *testing.T) *Book {
	t.Helper()
	bok := newBook(true)
	bok.FromBalancer(hop.New(hop.Open, service, key), fromClient(flow.Syn, 0, 0), nil, balancer, start)
	bok.FromUpstream(fromUpstream(flow.Syn|flow.Ack, 5000, 0), nil, start)
	bok.Take()
	return bok
}

func send(bok *Book, knd hop.Kind, ack uint32, now time.Time) {
	bok.FromBalancer(hop.New(knd, service, key), fromClient(flow.Ack, ack, 10), []byte("packet"), balancer, now)
}

// assertTold checks that balancers were told exactly this.
func assertTold(t *testing.T, acts []Action, want ...hop.Kind) {
	t.Helper()
	var told []hop.Kind
	for _, act := range acts {
		if act.Kind() == Tell {
			told = append(told, act.Header().Kind())
		}
	}
	assert.DeepEqual(t, told, want)
}

// assertDone checks how often something was done.
func assertDone(t *testing.T, acts []Action, knd ActionKind, want int) {
	t.Helper()
	count := 0
	for _, act := range acts {
		if act.Kind() == knd {
			count++
		}
	}
	assert.Equal(t, count, want)
}

func TestFlowIsDeliveredOnceItsClientChoseTheUpstream(t *testing.T) {
	bok := opened(t)
	send(bok, hop.Data, 5001, start)
	assertDone(t, bok.Take(), Deliver, 1)
}

// An upstream that answered a late copy of an opening does not get the packets
// of the flow that its client opened at another one.
func TestPacketsOfAnotherUpstreamsFlowAreNotDelivered(t *testing.T) {
	for name, ack := range map[string]uint32{"before": 4000, "far ahead": 5000 + 1<<20, "just beyond what was sent": 5003} {
		t.Run(name, func(t *testing.T) {
			bok := opened(t)
			send(bok, hop.Data, ack, start)
			acts := bok.Take()
			assertDone(t, acts, Deliver, 0)
			assertTold(t, acts, hop.Absent)
		})
	}
}

// A flow that is only half open here may be open at another upstream, so its end
// here is no reason to reset it.
func TestOnlyOpenFlowsAreResetWithTheirUpstream(t *testing.T) {
	for name, tc := range map[string]struct {
		chosen bool
		resets int
	}{"half open": {false, 0}, "open": {true, 1}} {
		t.Run(name, func(t *testing.T) {
			bok := opened(t)
			if tc.chosen {
				send(bok, hop.Data, 5001, start)
			}
			bok.Take()
			assert.Assert(t, bok.Probed(NotRunning{}))
			bok.Tick(start)
			assertDone(t, bok.Take(), Reset, tc.resets)
		})
	}
}

func TestSilentUpstreamIsProbedAndItsOpeningGoesElsewhere(t *testing.T) {
	bok := newBook(true)
	bok.FromBalancer(hop.New(hop.Open, service, key), fromClient(flow.Syn, 0, 0), nil, balancer, start)
	bok.Take()
	bok.Tick(start.Add(answerTime))
	assertTold(t, bok.Take(), hop.Refused)
	bok.Tick(start.Add(openSilence))
	assertDone(t, bok.Take(), Probe, 1)
	bok.FromUpstream(fromUpstream(flow.Syn|flow.Ack, 5000, 0), nil, start.Add(openSilence))
	assertTold(t, bok.Take(), hop.Opened)
}

func TestOpeningsAreRefused(t *testing.T) {
	for name, tc := range map[string]struct {
		spoil func(bok *Book)
		want  hop.Reason
	}{
		"of another service":         {func(bok *Book) { bok.SetService(1) }, hop.OtherService},
		"while the upstream leaves":  {func(bok *Book) { bok.SetLeaving(true) }, hop.Leaving},
		"while the upstream is down": {func(bok *Book) { bok.Probed(NotRunning{}) }, hop.Down},
	} {
		t.Run(name, func(t *testing.T) {
			bok := newBook(true)
			tc.spoil(bok)
			bok.FromBalancer(hop.New(hop.Open, service, key), fromClient(flow.Syn, 0, 0), nil, balancer, start)
			acts := bok.Take()
			assertTold(t, acts, hop.Refused)
			assert.Equal(t, acts[0].Header().Reason(), tc.want)
		})
	}
}

func TestUnknownFlowAfterARestart(t *testing.T) {
	t.Run("the agent cannot tell", func(t *testing.T) {
		bok := newBook(false)
		assert.Equal(t, verdictOf(bok, start), hop.Unsure)
	})
	t.Run("the upstream returns the packet", func(t *testing.T) {
		bok := newBook(false)
		send(bok, hop.Try, 5001, start)
		assertDone(t, bok.Take(), Deliver, 1)
		bok.FromUpstream(fromClient(flow.Ack|flow.Bounced, 5001, 10), []byte("packet"), start)
		acts := bok.Take()
		assertTold(t, acts, hop.Absent)
		assertDone(t, acts, Reset, 0)
		assert.Equal(t, verdictOf(bok, start), hop.Absent)
	})
	t.Run("the upstream answers", func(t *testing.T) {
		bok := newBook(false)
		send(bok, hop.Try, 5001, start)
		bok.FromUpstream(fromUpstream(flow.Ack, 5001, 0), nil, start)
		assertTold(t, bok.Take(), hop.Held)
		assert.Equal(t, verdictOf(bok, start), hop.Held)
	})
	t.Run("idle flows of before have expired", func(t *testing.T) {
		assert.Equal(t, verdictOf(newBook(false), start.Add(testIdle)), hop.Absent)
	})
	t.Run("the upstream started with the agent", func(t *testing.T) {
		bok := newBook(false)
		bok.SetComplete()
		assert.Equal(t, verdictOf(bok, start), hop.Absent)
	})
}

func verdictOf(bok *Book, now time.Time) hop.Kind {
	bok.Asked(hop.New(hop.Seek, service, flow.Key{}), hop.AppendQuestion(nil, key, 5001), balancer, now)
	acts := bok.Take()
	last := acts[len(acts)-1]
	var knd hop.Kind
	last.Header().EachVerdict(last.Packet(), func(hdr hop.Header) { knd = hdr.Kind() })
	return knd
}

func TestReturnedPacketOfAnOpenFlowEndsIt(t *testing.T) {
	bok := opened(t)
	send(bok, hop.Data, 5001, start)
	bok.Take()
	bok.FromUpstream(fromClient(flow.Ack|flow.Bounced, 5001, 10), []byte("packet"), start)
	acts := bok.Take()
	assertDone(t, acts, Reset, 1)
	assertTold(t, acts, hop.Gone)
	assert.Equal(t, acts[0].Seq(), uint32(5001))
}

// A repeat of a request that overtakes nothing and comes after the answer is not
// another request.
func TestRepeatedRequestCountsOnce(t *testing.T) {
	bok := opened(t)
	send(bok, hop.Data, 5001, start)
	bok.FromUpstream(fromUpstream(flow.Ack, 5001, 200), nil, start)
	send(bok, hop.Data, 5001, start)
	assert.Assert(t, bok.Load(start.Add(time.Second)).Requests() < 0.1)
}

func TestLoadCountsRequestsUnderWay(t *testing.T) {
	bok := opened(t)
	send(bok, hop.Data, 5001, start)
	assert.Equal(t, bok.Load(start).Requests(), 1.0)
	bok.FromUpstream(fromUpstream(flow.Ack, 5001, 200), nil, start.Add(40*time.Millisecond))
	assert.Assert(t, bok.Load(start.Add(time.Second)).Requests() < 0.1)
	assert.Equal(t, bok.Load(start).Flows(), 1)
}
