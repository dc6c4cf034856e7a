package trial

import (
	"fmt"
	"testing"
	"time"
)

func TestShow(t *testing.T) {
	for _, scn := range []FlowScene{
		{Name: "burst", Upstreams: 7, Balancers: 3, Flows: 700, Within: 2 * time.Second, Handshake: 50 * time.Millisecond, Heard: 200 * time.Millisecond},
		{Name: "small burst", Upstreams: 7, Balancers: 3, Flows: 60, Within: 20 * time.Millisecond, Handshake: 50 * time.Millisecond, Heard: 200 * time.Millisecond},
		{Name: "stale", Upstreams: 36, Balancers: 30, Flows: 7200, Within: 5 * time.Second, Handshake: 50 * time.Millisecond, Heard: 2 * time.Second},
		{Name: "cold", Upstreams: 7, Balancers: 3, Flows: 1400, Within: 4 * time.Second, Handshake: 50 * time.Millisecond, Heard: 200 * time.Millisecond, Cold: 1},
		{Name: "lying", Upstreams: 7, Balancers: 3, Flows: 1400, Within: 4 * time.Second, Handshake: 50 * time.Millisecond, Heard: 200 * time.Millisecond, Lying: 1},
	} {
		for _, pol := range []FlowPolicy{HashAlone{}, TwoChoices{}, Steered{}, Steered{Pending: true}, Steered{Pending: true, Back: true}, Steered{Back: true}} {
			sum := 0.0
			for seed := range uint64(10) {
				sum += Imbalance(scn, pol, seed+1)
			}
			fmt.Printf("%-12s %T%v %.3f\n", scn.Name, pol, pol, sum/10)
		}
	}
	for _, chg := range []Change{{Name: "join", Added: 1}, {Name: "leave", Leaving: 1}, {Name: "disagree", Added: 3, Behind: 0.5}, {Name: "moved", Moved: true}} {
		h, k := Broken(chg, 1)
		fmt.Println(chg.Name, h, k)
	}
	scn := WorkScene{Upstreams: 7, Slots: 4, Flows: 70, Orders: 3000, Within: 6 * time.Second, Service: 50 * time.Millisecond, Limit: 2 * time.Second}
	for _, pol := range []WorkPolicy{StayHere{}, PassOn{0.75}, PassOn{1}, PassOn{1.5}, PassOn{2}, PassOn{4}} {
		fmt.Printf("%T%v %+v\n", pol, pol, Burst(scn, pol, 1))
	}
}
