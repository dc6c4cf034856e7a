package main

import (
	"fmt"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"lagoondrum/core/dissem"
	"lagoondrum/core/frame"
	"lagoondrum/core/health"
	"lagoondrum/core/ledger"
	"lagoondrum/core/lists"
	"lagoondrum/core/relay"
	"lagoondrum/core/route"
	"lagoondrum/core/simul"
	"lagoondrum/core/table"
	"lagoondrum/core/token"
	"lagoondrum/io/peer"
)

// The size to design for.
const (
	fullUpstreams = 3600
	fullAddresses = 1200
	fullNodes     = 580
	customers1MB  = 14000
)

type linkMap map[netip.AddrPort]*health.Link

func (lnm linkMap) Link(agent netip.AddrPort) *health.Link { return lnm[agent] }

func measureCore(rep *report) error {
	measureRouting(rep)
	measureTables(rep)
	if err := measureLists(rep); err != nil {
		return err
	}
	measureLedger(rep)
	return nil
}

func newKeyring() *token.Keyring {
	kys, err := lists.ParseKeys(fmt.Appendf(nil, "[key 1]\nsecret = %064x\n[end]\n", 1))
	if err != nil {
		panic(err)
	}
	return token.NewKeyring().With(kys, time.Time{})
}

func routerOf(upstreams, addresses int) *route.Router {
	tab := simul.FleetTable(upstreams, addresses)
	links := make(linkMap)
	for _, agent := range tab.AgentAddresses() {
		links[agent] = &health.Link{}
	}
	return route.New(tab, newKeyring(), links)
}

func openPacket() []byte {
	packet := make([]byte, 1200)
	packet[0] = 0x40
	tok := token.New(simul.AgentAddress(0), lists.ServiceIDOf("s0"), 1, [3]byte{1, 2, 3})
	if err := newKeyring().Seal(tok, time.Time{}, packet[1:]); err != nil {
		panic(err)
	}
	return packet
}

func firstPacket() []byte {
	packet := make([]byte, 1200)
	packet[0], packet[5] = 0xc0, 8
	copy(packet[6:], "8 bytes!")
	return packet
}

func decideTime(rtr *route.Router, packet []byte) testing.BenchmarkResult {
	caller := netip.MustParseAddrPort("198.51.100.7:5000")
	address := simul.GrantAddress(0)
	return testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			_ = rtr.Decide(caller, address, packet)
		}
	})
}

func measureRouting(rep *report) {
	open := rep.slope("Open flow decision by upstreams", "upstreams", "ns")
	first := rep.slope("First flight decision by upstreams of one address", "upstreams", "ns")
	for _, upstreams := range []int{10, 100, 1000, fullUpstreams} {
		rtr := routerOf(upstreams, 1)
		open.add(float64(upstreams), float64(decideTime(rtr, openPacket()).NsPerOp()))
		res := decideTime(rtr, firstPacket())
		first.add(float64(upstreams), float64(res.NsPerOp()))
		rep.figure(fmt.Sprintf("allocations of a first flight at %d upstreams", upstreams), float64(res.AllocsPerOp()), "")
	}
	byAddress := rep.slope("Open flow decision by addresses", "addresses", "ns")
	firstBy := rep.slope("First flight decision by addresses", "addresses", "ns")
	for _, addresses := range []int{4, 40, 400, fullAddresses} {
		rtr := routerOf(fullUpstreams, addresses)
		res := decideTime(rtr, openPacket())
		byAddress.add(float64(addresses), float64(res.NsPerOp()))
		firstBy.add(float64(addresses), float64(decideTime(rtr, firstPacket()).NsPerOp()))
		rep.figure(fmt.Sprintf("allocations of an open flow at %d addresses", addresses), float64(res.AllocsPerOp()), "")
	}
}

func measureTables(rep *report) {
	measureOverlay(rep)
	measureLinks(rep)
	build := rep.slope("Table build by upstreams", "upstreams", "ms")
	memory := rep.slope("Table and lists memory by upstreams", "upstreams", "MB")
	for _, upstreams := range []int{100, 400, 1200, fullUpstreams} {
		addresses := upstreams / 3
		pls, vms := simul.FleetLists(upstreams, addresses)
		loc := table.NewLocality("z0", "r", netip.AddrPort{})
		start := time.Now()
		table.New(pls, vms, loc)
		build.add(float64(upstreams), time.Since(start).Seconds()*1e3)
		memory.add(float64(upstreams), heapOf(func() any {
			pls, vms := simul.FleetLists(upstreams, addresses)
			return []any{pls, vms, table.New(pls, vms, loc)}
		})/1e6)
	}
}

func measureOverlay(rep *report) {
	build := rep.slope("Overlay build by processes", "processes", "ms")
	for _, processes := range []int{50, 400, 1500, fullUpstreams + fullNodes} {
		_, vms := simul.FleetLists(processes, 1)
		start := time.Now()
		dissem.NewOverlay(vms, simul.AgentAddress(0), "z0")
		build.add(float64(processes), time.Since(start).Seconds()*1e3)
	}
}

// measureLinks times one look at every link of a balancer.
func measureLinks(rep *report) {
	look := rep.slope("One look at every link by upstreams", "upstreams", "us")
	for _, upstreams := range []int{10, 100, 1000, fullUpstreams} {
		links := make(linkMap)
		for num := range upstreams {
			links[simul.AgentAddress(num)] = &health.Link{}
		}
		now := time.Now()
		res := testing.Benchmark(func(b *testing.B) {
			for range b.N {
				for _, lnk := range links {
					lnk.Poll(now)
				}
			}
		})
		look.add(float64(upstreams), float64(res.NsPerOp())/1e3)
	}
}

// heapOf returns the bytes that a value keeps alive.
func heapOf(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func customersText(count int) string {
	var sb strings.Builder
	for num := range count {
		fmt.Fprintf(&sb, "[customer customer-%d]\nplan = gold\ncertificate = customer-%d\n", num, num)
	}
	return sb.String() + "[end]\n"
}

func measureLists(rep *report) error {
	adopt := rep.slope("Adopting an edit by patch by customers", "customers", "ms")
	memory := rep.slope("Customers in force memory by customers", "customers", "MB")
	patch := rep.slope("Bytes of a patch by customers", "customers", "bytes")
	whole := rep.slope("Bytes of a whole list by customers", "customers", "bytes")
	for _, count := range []int{100, 1000, 5000, customers1MB} {
		before := customersText(count)
		after := strings.Replace(before, "plan = gold", "plan = silver", 1)
		from, to := dissem.NewStore(), dissem.NewStore()
		memory.add(float64(count), heapOf(func() any {
			from.Offer(lists.CustomersName, 1, []byte(before), time.Time{})
			return from
		})/1e6)
		full, _ := from.UpdateFor(lists.CustomersName, dissem.Version{})
		to.Apply(full, time.Time{})
		from.Offer(lists.CustomersName, 2, []byte(after), time.Time{})
		upd, _ := from.UpdateFor(lists.CustomersName, to.Version(lists.CustomersName))
		start := time.Now()
		to.Apply(upd, time.Time{})
		adopt.add(float64(count), time.Since(start).Seconds()*1e3)
		for _, pair := range []struct {
			ser *series
			upd dissem.Update
		}{{patch, upd}, {whole, full}} {
			size, err := peer.UpdateBytes(pair.upd)
			if err != nil {
				return err
			}
			pair.ser.add(float64(count), float64(size))
		}
	}
	plans, vms := simul.FleetTexts(fullUpstreams+fullNodes, fullAddresses)
	rep.figure("plans list at full size", float64(len(plans)), "bytes")
	rep.figure("vms list at full size", float64(len(vms)), "bytes")
	rep.figure("customers list at 14,000 customers", float64(len(customersText(customers1MB))), "bytes")
	return nil
}

func measureLedger(rep *report) {
	memory := rep.slope("Ledger memory by recorded work", "pieces of work", "MB")
	for _, count := range []int{1000, 4000, 16000, ledger.MaxEntries} {
		memory.add(float64(count), heapOf(func() any {
			ldg := ledger.New(ledger.NewOwner(simul.AgentAddress(0), 1))
			ses, _ := ldg.Open()
			for num := range count {
				id := ledger.NewID(ses, uint32(num+1))
				ldg.Begin(id, time.Time{}.Add(time.Hour))
				ldg.Finish(id, relay.Done, ledger.NewAnswer(200, nil, make([]byte, 256)))
			}
			return ldg
		})/1e6)
	}
	rep.figure("bytes of a datagram header between processes", frame.HeaderBytes, "bytes")
}
