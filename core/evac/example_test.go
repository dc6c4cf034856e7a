package evac_test

import (
	"fmt"
	"time"

	"lagoondrum/core/evac"
)

// An order that is written again stays in force since it was first known.
func ExampleOrders() {
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	ods := evac.New()
	fmt.Println(ods.Put(evac.NewOrder("north", 7, evac.Platform, start)))
	fmt.Println(ods.Put(evac.NewOrder("north", 9, evac.Peer, start.Add(time.Second))))
	for _, ord := range ods.All() {
		fmt.Println(ord.Zone(), ord.Position(), ord.Since().Sub(start), ord.Source())
	}
	_, removed := ods.Remove("north")
	fmt.Println(removed, ods.InForce("north"))
	// Output:
	// true
	// false
	// north 9 0s peer
	// true false
}
