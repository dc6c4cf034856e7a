package flows

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/encap"
	"lagoondrum/core/flow"
)

const idleTimeout = 15 * time.Second

var (
	start    = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	service  = encap.ServiceID("plaque-feed")
	client   = flow.NewEndpoint([4]byte{100, 64, 0, 7}, 40001)
	address  = flow.NewEndpoint([4]byte{198, 18, 0, 1}, 443)
	key      = flow.NewKey(client, address)
	balancer = flow.NewEndpoint([4]byte{10, 0, 0, 1}, 7842)
)

func fromClient(flags flow.Flags, ack uint32, size uint16) flow.Packet {
	return flow.NewPacket(client, address, flags, 100, ack, size)
}

func fromUpstream(flags flow.Flags, seq uint32, size uint16) flow.Packet {
	return flow.NewPacket(address, client, flags, seq, 101, size)
}

func newTable(complete bool) *Table { return New(service, idleTimeout, start, complete) }

// newTableWithHalfOpenFlow returns a table with a flow whose opening the upstream
// answered.
func newTableWithHalfOpenFlow(t *testing.T) *Table {
	t.Helper()
	tbl := newTable(true)
	tbl.HandleBalancerPacket(encap.New(encap.Open, service, key), fromClient(flow.Syn, 0, 0), nil, balancer, start)
	tbl.HandleUpstreamPacket(fromUpstream(flow.Syn|flow.Ack, 5000, 0), nil, start)
	tbl.TakeActions()
	return tbl
}

func sendFromClient(tbl *Table, knd encap.Kind, ack uint32, now time.Time) {
	tbl.HandleBalancerPacket(encap.New(knd, service, key), fromClient(flow.Ack, ack, 10), []byte("packet"), balancer, now)
}

// assertNotified checks which kinds of datagrams balancers were sent, in order.
func assertNotified(t *testing.T, acts []Action, want ...encap.Kind) {
	t.Helper()
	var sent []encap.Kind
	for _, act := range acts {
		if act.Kind() == ToBalancer {
			sent = append(sent, act.Header().Kind())
		}
	}
	assert.DeepEqual(t, sent, want)
}

// assertActionCount checks how many actions are of a kind.
func assertActionCount(t *testing.T, acts []Action, knd ActionKind, want int) {
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
	tbl := newTableWithHalfOpenFlow(t)
	sendFromClient(tbl, encap.Data, 5001, start)
	assertActionCount(t, tbl.TakeActions(), ToUpstream, 1)
}

// An upstream that answered a late copy of an opening packet must not get the
// packets of the flow that the client opened at another upstream.
func TestPacketsOfAnotherUpstreamsFlowAreNotDelivered(t *testing.T) {
	for name, ack := range map[string]uint32{"before the initial sequence number": 4000, "far ahead": 5000 + 1<<20, "just beyond what was sent": 5003} {
		t.Run(name, func(t *testing.T) {
			tbl := newTableWithHalfOpenFlow(t)
			sendFromClient(tbl, encap.Data, ack, start)
			acts := tbl.TakeActions()
			assertActionCount(t, acts, ToUpstream, 0)
			assertNotified(t, acts, encap.Absent)
		})
	}
}

// A flow that is half open at this upstream may be open at another one, so it is
// not reset when this upstream ends.
func TestOnlyOpenFlowsAreResetWithTheirUpstream(t *testing.T) {
	for name, tc := range map[string]struct {
		confirmed bool
		resets    int
	}{"half open": {false, 0}, "open": {true, 1}} {
		t.Run(name, func(t *testing.T) {
			tbl := newTableWithHalfOpenFlow(t)
			if tc.confirmed {
				sendFromClient(tbl, encap.Data, 5001, start)
			}
			tbl.TakeActions()
			assert.Assert(t, tbl.HandleProbeResult(NotRunning{}))
			tbl.Tick(start)
			assertActionCount(t, tbl.TakeActions(), Reset, tc.resets)
		})
	}
}

func TestSilentUpstreamIsProbedAndItsOpeningRefused(t *testing.T) {
	tbl := newTable(true)
	tbl.HandleBalancerPacket(encap.New(encap.Open, service, key), fromClient(flow.Syn, 0, 0), nil, balancer, start)
	tbl.TakeActions()
	tbl.Tick(start.Add(openTimeout))
	assertNotified(t, tbl.TakeActions(), encap.Refused)
	tbl.Tick(start.Add(openProbeDelay))
	assertActionCount(t, tbl.TakeActions(), Probe, 1)
	tbl.HandleUpstreamPacket(fromUpstream(flow.Syn|flow.Ack, 5000, 0), nil, start.Add(openProbeDelay))
	assertNotified(t, tbl.TakeActions(), encap.Opened)
}

func TestOpeningsAreRefused(t *testing.T) {
	for name, tc := range map[string]struct {
		prepare func(tbl *Table)
		want    encap.Reason
	}{
		"of another service":          {func(tbl *Table) { tbl.SetService(1) }, encap.OtherService},
		"while the upstream leaves":   {func(tbl *Table) { tbl.SetLeaving(true) }, encap.Leaving},
		"while the upstream is down":  {func(tbl *Table) { tbl.HandleProbeResult(NotRunning{}) }, encap.Down},
		"while the zone is evacuated": {func(tbl *Table) { tbl.SetEvacuated(true) }, encap.Evacuated},
	} {
		t.Run(name, func(t *testing.T) {
			tbl := newTable(true)
			tc.prepare(tbl)
			tbl.HandleBalancerPacket(encap.New(encap.Open, service, key), fromClient(flow.Syn, 0, 0), nil, balancer, start)
			acts := tbl.TakeActions()
			assertNotified(t, acts, encap.Refused)
			assert.Equal(t, acts[0].Header().Reason(), tc.want)
		})
	}
}

func TestUnknownFlowAfterARestart(t *testing.T) {
	t.Run("the agent cannot tell", func(t *testing.T) {
		tbl := newTable(false)
		assert.Equal(t, verdictOf(tbl, start), encap.Unsure)
	})
	t.Run("the upstream returns the packet", func(t *testing.T) {
		tbl := newTable(false)
		sendFromClient(tbl, encap.Try, 5001, start)
		assertActionCount(t, tbl.TakeActions(), ToUpstream, 1)
		tbl.HandleUpstreamPacket(fromClient(flow.Ack|flow.Bounced, 5001, 10), []byte("packet"), start)
		acts := tbl.TakeActions()
		assertNotified(t, acts, encap.Absent)
		assertActionCount(t, acts, Reset, 0)
		assert.Equal(t, verdictOf(tbl, start), encap.Absent)
	})
	t.Run("the returned packet is told to every balancer that asks", func(t *testing.T) {
		tbl := newTable(false)
		sendFromClient(tbl, encap.Try, 5001, start)
		tbl.HandleUpstreamPacket(fromClient(flow.Ack|flow.Bounced, 5001, 10), []byte("packet"), start)
		assertTried(t, lastHeader(tbl), 0)
		sendFromClient(tbl, encap.Try, 5001, start.Add(time.Second))
		assertTried(t, lastHeader(tbl), time.Second)
		tbl.HandleQuery(encap.AppendQuery(nil, key, 5001), balancer, start.Add(2*time.Second))
		acts := tbl.TakeActions()
		acts[0].Header().EachVerdict(acts[0].Packet(), func(hdr encap.Header) { assertTried(t, hdr, 2*time.Second) })
	})
	t.Run("a second try waits for the first one", func(t *testing.T) {
		tbl := newTable(false)
		sendFromClient(tbl, encap.Try, 5001, start)
		sendFromClient(tbl, encap.Try, 5001, start)
		assertActionCount(t, tbl.TakeActions(), ToUpstream, 1)
	})
	t.Run("the upstream answers", func(t *testing.T) {
		tbl := newTable(false)
		sendFromClient(tbl, encap.Try, 5001, start)
		tbl.HandleUpstreamPacket(fromUpstream(flow.Ack, 5001, 0), nil, start)
		assertNotified(t, tbl.TakeActions(), encap.Held)
		assert.Equal(t, verdictOf(tbl, start), encap.Held)
	})
	t.Run("idle flows from before the restart have expired", func(t *testing.T) {
		assert.Equal(t, verdictOf(newTable(false), start.Add(idleTimeout)), encap.Absent)
	})
	t.Run("the upstream started with the agent", func(t *testing.T) {
		tbl := newTable(false)
		tbl.SetComplete()
		assert.Equal(t, verdictOf(tbl, start), encap.Absent)
	})
}

// Guards against a flow that is tried at other upstreams, because a balancer asked its
// agent under the service that the VM's address had before, and took the answer for a
// denial.
func TestQueryOfALaggingBalancerIsAnswered(t *testing.T) {
	tbl := newTableWithHalfOpenFlow(t)
	tbl.HandleQuery(encap.AppendQuery(nil, key, 5001), balancer, start)
	acts := tbl.TakeActions()
	assert.Equal(t, acts[0].Header().Service(), service)
	acts[0].Header().EachVerdict(acts[0].Packet(), func(hdr encap.Header) { assert.Equal(t, hdr.Kind(), encap.Held) })
}

// lastHeader returns the header of the table's last action.
func lastHeader(tbl *Table) encap.Header {
	acts := tbl.TakeActions()
	return acts[len(acts)-1].Header()
}

// assertTried checks that a denial tells how long ago the upstream returned a packet.
func assertTried(t *testing.T, hdr encap.Header, want time.Duration) {
	t.Helper()
	age, ok := hdr.Tried()
	assert.Assert(t, ok)
	assert.Equal(t, age, want)
}

// verdictOf returns the answer to a balancer's query about the test flow.
func verdictOf(tbl *Table, now time.Time) encap.Kind {
	tbl.HandleQuery(encap.AppendQuery(nil, key, 5001), balancer, now)
	acts := tbl.TakeActions()
	last := acts[len(acts)-1]
	var knd encap.Kind
	last.Header().EachVerdict(last.Packet(), func(hdr encap.Header) { knd = hdr.Kind() })
	return knd
}

func TestBouncedPacketEndsOpenFlow(t *testing.T) {
	tbl := newTableWithHalfOpenFlow(t)
	sendFromClient(tbl, encap.Data, 5001, start)
	tbl.TakeActions()
	tbl.HandleUpstreamPacket(fromClient(flow.Ack|flow.Bounced, 5001, 10), []byte("packet"), start)
	acts := tbl.TakeActions()
	assertActionCount(t, acts, Reset, 1)
	assertNotified(t, acts, encap.Gone)
	assert.Equal(t, acts[0].Seq(), uint32(5001))
}

// A retransmitted request that arrives in order, but after the answer, is not
// another request.
func TestRepeatedRequestCountsOnce(t *testing.T) {
	tbl := newTableWithHalfOpenFlow(t)
	sendFromClient(tbl, encap.Data, 5001, start)
	tbl.HandleUpstreamPacket(fromUpstream(flow.Ack, 5001, 200), nil, start)
	sendFromClient(tbl, encap.Data, 5001, start)
	assert.Assert(t, tbl.Load(start.Add(time.Second)).Requests() < 0.1)
}

func TestLoadCountsRequestsUnderWay(t *testing.T) {
	tbl := newTableWithHalfOpenFlow(t)
	sendFromClient(tbl, encap.Data, 5001, start)
	assert.Equal(t, tbl.Load(start).Requests(), 1.0)
	tbl.HandleUpstreamPacket(fromUpstream(flow.Ack, 5001, 200), nil, start.Add(40*time.Millisecond))
	assert.Assert(t, tbl.Load(start.Add(time.Second)).Requests() < 0.1)
	assert.Equal(t, tbl.Load(start).Flows(), 1)
}

// An agent that was restarted learns from its upstream's packets which addresses the
// upstream serves.
func TestUnsureAgentTellsWhichAddressesItsUpstreamServes(t *testing.T) {
	for name, tc := range map[string]struct {
		flags   flow.Flags
		service uint64 // After the packet.
		want    bool
	}{
		"after an answer":           {flow.Ack, service, true},
		"after a reset":             {flow.Rst, service, false},
		"after a change of service": {flow.Ack, service + 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			tbl := newTable(false)
			tbl.HandleUpstreamPacket(fromUpstream(tc.flags, 5000, 100), nil, start)
			tbl.SetService(tc.service)
			tbl.TakeActions()
			list := encap.AppendQuery(nil, keyFor(9), 5001)
			tbl.HandleQuery(list, balancer, start.Add(time.Second))
			acts := tbl.TakeActions()
			acts[0].Header().EachVerdict(acts[0].Packet(), func(hdr encap.Header) {
				assert.Equal(t, hdr.Kind(), encap.Unsure)
				assert.Equal(t, hdr.ServesAddress(), tc.want)
				assert.Equal(t, hdr.Uptime(), time.Second)
			})
		})
	}
}
