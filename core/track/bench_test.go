package track

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"lagoondrum/core/encap"
	"lagoondrum/core/fleet"
	"lagoondrum/core/flow"
	"lagoondrum/core/intent"
)

// newHintedFixture returns a table that remembers open flows, spread over agents.
func newHintedFixture(flows, agents int) *fixture {
	fix := newFixture(agents)
	for num := range flows {
		key := flow.NewKey(flow.NewEndpoint([4]byte{100, byte(num >> 16), byte(num >> 8), byte(num)}, 20000), serviceAddr)
		fix.put(key, &entry{phase: open, serviceID: feedID, holders: []holder{{ip: vmIP(1 + num%agents), firstSeq: 5000}}})
	}
	return fix
}

func BenchmarkPacketOfARememberedFlow(b *testing.B) {
	for _, flows := range []int{1e3, 1e4, 1e5} {
		b.Run(fmt.Sprint(flows), func(b *testing.B) {
			fix := newHintedFixture(flows, 10)
			raw := make([]byte, 1232)
			b.ReportAllocs()
			for num := 0; b.Loop(); num++ {
				at := num % flows
				from := flow.NewEndpoint([4]byte{100, byte(at >> 16), byte(at >> 8), byte(at)}, 20000)
				fix.HandleClientPacket(flow.NewPacket(from, serviceAddr, flow.Ack, 101, 5001, 1200), raw, start)
				fix.TakeActions()
			}
		})
	}
}

func BenchmarkOpening(b *testing.B) {
	for _, agents := range []int{10, 100, 3600} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) {
			fix := newFixture(1)
			for num := range agents {
				fix.listUnheard([4]byte{10, 1, byte(num >> 8), byte(num)})
			}
			b.ReportAllocs()
			for num := 0; b.Loop(); num++ {
				from := flow.NewEndpoint([4]byte{100, byte(num >> 16), byte(num >> 8), byte(num)}, 20000)
				fix.HandleClientPacket(flow.NewPacket(from, serviceAddr, flow.Syn, 100, 0, 0), nil, start)
				for _, act := range sendActions(fix.TakeActions()) {
					fix.HandleAgentDatagram(encap.New(encap.Opened, feedID, act.Key()), nil, act.Agent(), start.Add(time.Millisecond))
				}
				fix.remove(flow.NewKey(from, serviceAddr))
				fix.TakeActions()
			}
		})
	}
}

// BenchmarkMemoryOfAHint reports the bytes of memory that a remembered flow takes.
func BenchmarkMemoryOfAHint(b *testing.B) {
	const flows = 1e5
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	fix := newHintedFixture(flows, 10)
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		fix.Hints()
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/flows, "B/flow")
}

// TestPacketOfARememberedFlowAllocatesNothing guards against garbage collection
// caused by forwarding packets.
func TestPacketOfARememberedFlowAllocatesNothing(t *testing.T) {
	fix := newHintedFixture(1, 1)
	from := flow.NewEndpoint([4]byte{100, 0, 0, 0}, 20000)
	raw := make([]byte, 1232)
	got := testing.AllocsPerRun(1000, func() {
		fix.HandleClientPacket(flow.NewPacket(from, serviceAddr, flow.Ack, 101, 5001, 1200), raw, start)
		fix.TakeActions()
	})
	if got != 0 {
		t.Fatalf("%v allocations per packet, want 0", got)
	}
}

// BenchmarkResetOfALostFlow reports the query datagrams and the rounds before a
// flow that no upstream holds is reset, by a balancer that knows where its
// route has led and by one that has just started.
func BenchmarkResetOfALostFlow(b *testing.B) {
	for _, size := range []struct{ own, others int }{{7, 4}, {42, 10}} {
		for name, since := range map[string]time.Time{"known": {}, "new": start} {
			b.Run(fmt.Sprintf("%s/%d", name, size.own+size.others), func(b *testing.B) {
				var queries, rounds int
				for b.Loop() {
					sent, more := searchGoneFlow(since, size.own, size.others)
					queries, rounds = queries+sent, rounds+more
				}
				b.ReportMetric(float64(queries)/float64(b.N), "queries")
				b.ReportMetric(float64(rounds)/float64(b.N), "rounds")
			})
		}
	}
}

// searchGoneFlow has every queried agent deny a flow until the flow is reset. It
// returns the numbers of query datagrams and of rounds.
func searchGoneFlow(since time.Time, own, others int) (queries, rounds int) {
	fix := &fixture{fleet: fleet.New(), tracker: intent.NewTracker(since)}
	fix.adoptRoute(1, "feed")
	for num := range own + others {
		service := "feed"
		if num >= own {
			service = "upload"
		}
		fix.listUpstream(num+1, service, 1)
	}
	fix.Table = New("z", narrowLink, fix.tracker, fix.fleet)
	now := start
	acts := fix.sendData(1, now)
	fix.tracker.Confirm(now.Add(time.Nanosecond))
	for {
		asked := sendActions(acts)
		if len(asked) == 0 {
			return queries, rounds
		}
		queries, rounds = queries+len(asked), rounds+1
		now = now.Add(time.Millisecond)
		acts = nil
		for _, act := range asked {
			acts = append(acts, fix.receive(encap.New(encap.Absent, act.Header().Service(), flowKey(1)), act.Agent(), now)...)
		}
		if len(sendActions(acts)) == 0 { // The rest of a large service is queried in the next round.
			now = now.Add(maxAnswerTimeout)
			fix.Tick(now)
			fix.SendQueries(now)
			acts = fix.TakeActions()
		}
	}
}
