package flows

import (
	"runtime"
	"testing"

	"lagoondrum/core/flow"
)

// BenchmarkMemoryPerFlow reports the memory that the table takes per flow.
func BenchmarkMemoryPerFlow(b *testing.B) {
	const flows = 1e5
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	tbl := newTable(true)
	for num := range int(flows) {
		from := flow.NewEndpoint([4]byte{100, byte(num >> 16), byte(num >> 8), byte(num)}, 20000)
		tbl.HandleUpstreamPacket(flow.NewPacket(address, from, flow.Syn|flow.Ack, 5000, 101, 0), nil, start)
		tbl.TakeActions()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		tbl.Flows()
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/flows, "B/flow")
}
