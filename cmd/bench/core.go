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

// Design size of a fleet.
const (
	designUpstreams  = 3600
	designAddresses  = 1200
	designBalancers  = 580
	customersNear1MB = 14000 // Their list has 0.92 MB; the limit of a list is 1 MiB.
)

// linkMap holds the link to each agent.
type linkMap map[netip.AddrPort]*health.Link

// Link returns the link to an agent, nil if there is none.
func (lnm linkMap) Link(agent netip.AddrPort) *health.Link { return lnm[agent] }

// measureCore measures the data structures and decisions of core.
func measureCore(rep *report) error {
	measureRouting(rep)
	measureTables(rep)
	if err := measureLists(rep); err != nil {
		return err
	}
	measureLedger(rep)
	return nil
}

// newKeyring returns a keyring with one key.
func newKeyring() *token.Keyring {
	kys, err := lists.ParseKeys(fmt.Appendf(nil, "[key 1]\nsecret = %064x\n[end]\n", 1))
	if err != nil {
		panic(err)
	}
	return token.NewKeyring().With(kys, time.Time{})
}

// newRouter returns a router for a fleet, with a link to every agent.
func newRouter(upstreams, addresses int) *route.Router {
	tab := simul.FleetTable(upstreams, addresses)
	links := make(linkMap)
	for _, agent := range tab.AgentAddresses() {
		links[agent] = &health.Link{}
	}
	return route.New(tab, newKeyring(), links)
}

// openFlowPacket returns a short-header QUIC packet whose connection ID is a token
// of the first agent.
func openFlowPacket() []byte {
	packet := make([]byte, 1200)
	packet[0] = 0x40
	tok := token.New(simul.AgentAddress(0), lists.ServiceIDOf("s0"), 1, [3]byte{1, 2, 3})
	if err := newKeyring().Seal(tok, time.Time{}, packet[1:]); err != nil {
		panic(err)
	}
	return packet
}

// firstFlightPacket returns a QUIC Initial packet whose destination connection ID
// the client chose.
func firstFlightPacket() []byte {
	packet := make([]byte, 1200)
	packet[0], packet[5] = 0xc0, 8
	copy(packet[6:], "8 bytes!")
	return packet
}

// benchmarkDecide measures the decision of a router on a packet.
func benchmarkDecide(rtr *route.Router, packet []byte) testing.BenchmarkResult {
	caller := netip.MustParseAddrPort("198.51.100.7:5000")
	address := simul.GrantAddress(0)
	return testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			_ = rtr.Decide(caller, address, packet)
		}
	})
}

// measureRouting measures the decisions on packets of open flows and on first
// flights.
func measureRouting(rep *report) {
	openByUpstreams := rep.addSeries("Open flow decision by upstreams", "upstreams", "ns")
	firstByUpstreams := rep.addSeries("First flight decision by upstreams of one address", "upstreams", "ns")
	for _, upstreams := range []int{10, 100, 1000, designUpstreams} {
		rtr := newRouter(upstreams, 1)
		openByUpstreams.addPoint(float64(upstreams), float64(benchmarkDecide(rtr, openFlowPacket()).NsPerOp()))
		res := benchmarkDecide(rtr, firstFlightPacket())
		firstByUpstreams.addPoint(float64(upstreams), float64(res.NsPerOp()))
		rep.addRow(fmt.Sprintf("allocations of a first flight at %d upstreams", upstreams), float64(res.AllocsPerOp()), "")
	}
	openByAddresses := rep.addSeries("Open flow decision by addresses", "addresses", "ns")
	firstByAddresses := rep.addSeries("First flight decision by addresses", "addresses", "ns")
	for _, addresses := range []int{4, 40, 400, designAddresses} {
		rtr := newRouter(designUpstreams, addresses)
		res := benchmarkDecide(rtr, openFlowPacket())
		openByAddresses.addPoint(float64(addresses), float64(res.NsPerOp()))
		firstByAddresses.addPoint(float64(addresses), float64(benchmarkDecide(rtr, firstFlightPacket()).NsPerOp()))
		rep.addRow(fmt.Sprintf("allocations of an open flow at %d addresses", addresses), float64(res.AllocsPerOp()), "")
	}
}

// measureTables measures what is built from the lists of a fleet, and the polling
// of links.
func measureTables(rep *report) {
	measureOverlay(rep)
	measureLinkPolls(rep)
	buildTime := rep.addSeries("Table build by upstreams", "upstreams", "ms")
	memory := rep.addSeries("Table and lists memory by upstreams", "upstreams", "MB")
	for _, upstreams := range []int{100, 400, 1200, designUpstreams} {
		addresses := upstreams / 3
		pls, vms := simul.FleetLists(upstreams, addresses)
		loc := table.NewLocality("z0", "r", netip.AddrPort{})
		start := time.Now()
		table.New(pls, vms, loc)
		buildTime.addPoint(float64(upstreams), time.Since(start).Seconds()*1e3)
		memory.addPoint(float64(upstreams), retainedBytes(func() any {
			pls, vms := simul.FleetLists(upstreams, addresses)
			return []any{pls, vms, table.New(pls, vms, loc)}
		})/1e6)
	}
}

// measureOverlay measures how long a process takes to build its gossip overlay.
func measureOverlay(rep *report) {
	buildTime := rep.addSeries("Overlay build by processes", "processes", "ms")
	for _, processes := range []int{50, 400, 1500, designUpstreams + designBalancers} {
		_, vms := simul.FleetLists(processes, 1)
		start := time.Now()
		dissem.NewOverlay(vms, simul.AgentAddress(0), "z0")
		buildTime.addPoint(float64(processes), time.Since(start).Seconds()*1e3)
	}
}

// measureLinkPolls measures how long a balancer takes to poll the links to all
// agents once.
func measureLinkPolls(rep *report) {
	pollTime := rep.addSeries("One look at every link by upstreams", "upstreams", "us")
	for _, upstreams := range []int{10, 100, 1000, designUpstreams} {
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
		pollTime.addPoint(float64(upstreams), float64(res.NsPerOp())/1e3)
	}
}

// retainedBytes returns the heap bytes that the value returned by build keeps
// alive.
func retainedBytes(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// customersText returns a customers list as text.
func customersText(count int) string {
	var sb strings.Builder
	for num := range count {
		fmt.Fprintf(&sb, "[customer customer-%d]\nplan = gold\ncertificate = customer-%d\n", num, num)
	}
	return sb.String() + "[end]\n"
}

// measureLists measures the memory of a customers list, and an edit of one customer
// that reaches a second store as an update.
func measureLists(rep *report) error {
	adoptTime := rep.addSeries("Adopting an edit by patch by customers", "customers", "ms")
	memory := rep.addSeries("Customers in force memory by customers", "customers", "MB")
	patchBytes := rep.addSeries("Bytes of a patch by customers", "customers", "bytes")
	listBytes := rep.addSeries("Bytes of a whole list by customers", "customers", "bytes")
	for _, count := range []int{100, 1000, 5000, customersNear1MB} {
		oldText := customersText(count)
		newText := strings.Replace(oldText, "plan = gold", "plan = silver", 1)
		sender, receiver := dissem.NewStore(), dissem.NewStore()
		memory.addPoint(float64(count), retainedBytes(func() any {
			sender.Offer(lists.CustomersName, 1, []byte(oldText), time.Time{})
			return sender
		})/1e6)
		full, _ := sender.UpdateFor(lists.CustomersName, dissem.Version{})
		receiver.Apply(full, time.Time{})
		sender.Offer(lists.CustomersName, 2, []byte(newText), time.Time{})
		patch, _ := sender.UpdateFor(lists.CustomersName, receiver.Version(lists.CustomersName))
		start := time.Now()
		receiver.Apply(patch, time.Time{})
		adoptTime.addPoint(float64(count), time.Since(start).Seconds()*1e3)
		for _, pair := range []struct {
			ser *series
			upd dissem.Update
		}{{patchBytes, patch}, {listBytes, full}} {
			size, err := peer.UpdateBytes(pair.upd)
			if err != nil {
				return err
			}
			pair.ser.addPoint(float64(count), float64(size))
		}
	}
	plans, vms := simul.FleetTexts(designUpstreams+designBalancers, designAddresses)
	rep.addRow("plans list at full size", float64(len(plans)), "bytes")
	rep.addRow("vms list at full size", float64(len(vms)), "bytes")
	rep.addRow("customers list at 14,000 customers", float64(len(customersText(customersNear1MB))), "bytes")
	return nil
}

// measureLedger measures the memory of a ledger of finished work with answers of
// 256 bytes.
func measureLedger(rep *report) {
	memory := rep.addSeries("Ledger memory by recorded work", "pieces of work", "MB")
	for _, count := range []int{1000, 4000, 16000, ledger.MaxEntries} {
		memory.addPoint(float64(count), retainedBytes(func() any {
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
	rep.addRow("bytes of a datagram header between processes", frame.HeaderBytes, "bytes")
}
