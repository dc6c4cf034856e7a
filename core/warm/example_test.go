package warm_test

import (
	"fmt"
	"time"

	"lagoondrum/core/warm"
)

// A service bears 2 requests a second at an upstream that has just started; the platform
// allows 1.5 times as many and one more in any second.
func ExampleGate() {
	now := time.Date(2026, 12, 6, 8, 0, 0, 0, time.UTC)
	limit, ok := warm.NewBounds(1.5, 1).Limit(2)
	gat := warm.NewGate()
	gat.SetLimit(limit, ok, now)
	gat.SetEntry("i-1", now.Add(5*time.Second))
	for _, offset := range []time.Duration{0, 1500 * time.Millisecond, 1600 * time.Millisecond, 2 * time.Second, 2100 * time.Millisecond, 2400 * time.Millisecond, 6 * time.Second} {
		at := now.Add(offset)
		open := gat.Open(at)
		if open {
			gat.Count(at)
		}
		fmt.Println(offset, gat.Source(at), open)
	}
	// Output:
	// 0s entry false
	// 1.5s entry true
	// 1.6s entry true
	// 2s entry true
	// 2.1s entry true
	// 2.4s entry false
	// 6s notCold true
}
