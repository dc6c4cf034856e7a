package yield_test

import (
	"fmt"
	"time"

	"lagoondrum/core/encap"
	"lagoondrum/core/yield"
)

// A balancer whose ticks are late becomes weak after a second, and leaves the rotation
// while the others of its zone carry their part.
func ExamplePolicy() {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	pol := yield.New([4]byte{10, 0, 0, 1})
	for num := byte(2); num <= 4; num++ {
		pol.NotePeer([4]byte{10, 0, 0, num}, encap.Sound, now)
	}
	for range 8 {
		now = now.Add(250 * time.Millisecond)
		var smp yield.Sample
		smp.NoteTick(now, now.Add(80*time.Millisecond))
		if pol.Decide(smp, now) {
			fmt.Println(pol.Standing())
		}
	}
	// Output:
	// weak
	// out
}
