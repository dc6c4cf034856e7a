package share_test

import (
	"fmt"
	"time"

	"lagoondrum/core/flow"
	"lagoondrum/core/share"
)

// One slot is free. While both requests can be answered in time, the one with the
// earlier deadline goes first, though the other one's route has the higher priority.
// When one must be late, it is that of the lower priority.
func ExampleOrder() {
	start := time.Date(2026, 12, 6, 8, 0, 0, 0, time.UTC)
	watch, amend := flow.NewEndpoint([4]byte{198, 18, 0, 1}, 443), flow.NewEndpoint([4]byte{198, 18, 0, 2}, 443)
	ord := share.New()
	ord.Work().Note(watch, 40*time.Millisecond)
	ord.Work().Note(amend, 40*time.Millisecond)
	demand := func(address flow.Endpoint, priority uint8, left time.Duration) share.Demand {
		key := flow.NewKey(flow.NewEndpoint([4]byte{100, 64, 0, 7}, 1001), address)
		return share.NewDemand(key, true, priority, start.Add(left), start.Add(time.Second))
	}
	for _, left := range []time.Duration{100 * time.Millisecond, 70 * time.Millisecond} {
		pln := ord.Plan([]share.Demand{demand(watch, 2, 60*time.Millisecond), demand(amend, 1, left)}, []time.Time{start}, start)
		fmt.Println(pln.First(), pln.Prospect(0), pln.Prospect(1))
	}
	// Output:
	// 0 timely timely
	// 1 late timely
}
