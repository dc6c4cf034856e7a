package track

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"lagoondrum/core/fleet"
	"lagoondrum/core/flow"
	"lagoondrum/core/hop"
	"lagoondrum/core/intent"
)

// hinted returns a table that holds flows, each at its agent.
func hinted(flows, agents int) *bench {
	bch := newBench(agents)
	for num := range flows {
		key := flow.NewKey(flow.NewEnd([4]byte{100, byte(num >> 16), byte(num >> 8), byte(num)}, 20000), address)
		bch.put(key, &entry{phase: open, id: feed, holders: []holder{{ip: vm(1 + num%agents), seq: 5000}}})
	}
	return bch
}

func BenchmarkPacketOfAHintedFlow(b *testing.B) {
	for _, flows := range []int{1e3, 1e4, 1e5} {
		b.Run(fmt.Sprint(flows), func(b *testing.B) {
			bch := hinted(flows, 10)
			raw := make([]byte, 1232)
			b.ReportAllocs()
			for num := 0; b.Loop(); num++ {
				at := num % flows
				from := flow.NewEnd([4]byte{100, byte(at >> 16), byte(at >> 8), byte(at)}, 20000)
				bch.FromClient(flow.NewPacket(from, address, flow.Ack, 101, 5001, 1200), raw, start)
				bch.Take()
			}
		})
	}
}

func BenchmarkOpening(b *testing.B) {
	for _, agents := range []int{10, 100, 3600} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) {
			bch := newBench(1)
			for num := range agents {
				bch.listAt([4]byte{10, 1, byte(num >> 8), byte(num)})
			}
			b.ReportAllocs()
			for num := 0; b.Loop(); num++ {
				from := flow.NewEnd([4]byte{100, byte(num >> 16), byte(num >> 8), byte(num)}, 20000)
				bch.FromClient(flow.NewPacket(from, address, flow.Syn, 100, 0, 0), nil, start)
				for _, act := range sends(bch.Take()) {
					bch.FromAgent(hop.New(hop.Opened, feed, act.Key()), nil, act.Agent(), start.Add(time.Millisecond))
				}
				bch.remove(flow.NewKey(from, address))
				bch.Take()
			}
		})
	}
}

// BenchmarkMemoryOfAHint reports the bytes that a balancer keeps for a flow.
func BenchmarkMemoryOfAHint(b *testing.B) {
	const flows = 1e5
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	bch := hinted(flows, 10)
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		bch.Hints()
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/flows, "B/flow")
}

// TestPacketOfAHintedFlowAllocatesNothing keeps the garbage collector out of the
// packet path.
func TestPacketOfAHintedFlowAllocatesNothing(t *testing.T) {
	bch := hinted(1, 1)
	from := flow.NewEnd([4]byte{100, 0, 0, 0}, 20000)
	raw := make([]byte, 1232)
	got := testing.AllocsPerRun(1000, func() {
		bch.FromClient(flow.NewPacket(from, address, flow.Ack, 101, 5001, 1200), raw, start)
		bch.Take()
	})
	if got != 0 {
		t.Fatalf("%v allocations a packet", got)
	}
}

// BenchmarkResetOfAGoneFlow reports the questions and the rounds of them before a
// flow that no upstream holds is reset, by a balancer that knows where its route
// has led and by one that has just started.
func BenchmarkResetOfAGoneFlow(b *testing.B) {
	for _, fleets := range []struct{ own, others int }{{7, 4}, {42, 10}} {
		for name, since := range map[string]time.Time{"known": {}, "young": start} {
			b.Run(fmt.Sprintf("%s/%d", name, fleets.own+fleets.others), func(b *testing.B) {
				var questions, rounds int
				for b.Loop() {
					asked, turns := playGone(since, fleets.own, fleets.others)
					questions, rounds = questions+asked, rounds+turns
				}
				b.ReportMetric(float64(questions)/float64(b.N), "questions")
				b.ReportMetric(float64(rounds)/float64(b.N), "rounds")
			})
		}
	}
}

// playGone has every agent deny a flow until it is reset.
func playGone(since time.Time, own, others int) (questions, rounds int) {
	bch := &bench{fleet: fleet.New(), board: intent.NewBoard(since)}
	bch.adopt(1, "feed")
	for num := range own + others {
		service := "feed"
		if num >= own {
			service = "upload"
		}
		bch.list(num+1, service, 1)
	}
	bch.Table = New("z", narrowLink, bch.board, bch.fleet)
	now := start
	acts := bch.data(1, now)
	bch.board.Confirm(now.Add(time.Nanosecond))
	for {
		asked := sends(acts)
		if len(asked) == 0 {
			return questions, rounds
		}
		questions, rounds = questions+len(asked), rounds+1
		now = now.Add(time.Millisecond)
		acts = nil
		for _, act := range asked {
			acts = append(acts, bch.tell(hop.New(hop.Absent, act.Header().Service(), keyOf(1)), act.Agent(), now)...)
		}
		if len(sends(acts)) == 0 { // The rest of a large service is asked in the next wave.
			now = now.Add(maxAnswer)
			bch.Tick(now)
			bch.Ask(now)
			acts = bch.Take()
		}
	}
}
