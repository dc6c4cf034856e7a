package where_test

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"lagoondrum/core/encap"
	"lagoondrum/core/evac"
	"lagoondrum/core/fleet"
	"lagoondrum/core/flow"
	"lagoondrum/core/intent"
	"lagoondrum/core/mirror"
	"lagoondrum/core/track"
	"lagoondrum/io/where"
)

// A balancer in the zone north of whose two zones one is evacuated.
func Example() {
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	address := flow.NewEndpoint([4]byte{198, 18, 0, 1}, 443)
	rte := intent.NewRoute("plaques", []intent.Share{intent.NewShare("feed", 1)})
	trk := intent.NewTracker(start)
	trk.Adopt(intent.NewState(3, map[flow.Endpoint]*intent.Route{address: rte}, 15*time.Second), start)
	flt := fleet.New()
	for num, zone := range []string{"north", "south"} {
		ip := [4]byte{10, 0, 0, byte(num + 1)}
		flt.PutEntry(fleet.NewUpstream(fleet.Listing{ID: "u-" + zone, Service: "feed", Address: ip, Zone: zone, Slots: 4}, start), start)
		flt.Agent(ip).NoteHeard(encap.NewHeartbeat(encap.ServiceID("feed"), 1, 1), start)
	}
	flt.Evacuate(evac.NewOrder("south", 41, evac.Peer, start))
	tbl := track.New("north", 125e4, trk, flt)
	now := start.Add(250 * time.Millisecond)
	ans := where.NewAnswer("balancer-1", true, now).WithState(mirror.Position(42), start, true).
		WithEvacuations(flt.Evacuations().All()).WithBalancer(tbl.Explain(flow.NewKey(flow.Endpoint{}, address), now))
	raw, _ := json.Marshal(ans)
	_ = where.Print(os.Stdout, raw)
	_, err := where.Query("198.18.0.1", "")
	fmt.Println(err)
	// Output:
	// process    balancer-1, ready true
	// outcome    asked
	// state      version 3, revision 42, era 0, confirmed 250ms ago, from platform, lags false
	// evacuated  south since 2026-12-04T08:00:00Z, from peer, revision 41, era 0
	// route      plaques to feed (weight 1)
	//
	// service feed (weight 1): asked; listed 2, compared 1, left out: evacuated 1
	// agent     upstream  zone   cost   why         requests  flows  slots  pending  load heard  unanswered  cold until
	// 10.0.0.1  u-north   north  0.250  load 0.250  0.0       0      4      0        250ms ago   -           -
	// 10.0.0.2  u-south   south  -      evacuated   0.0       0      4      0        250ms ago   -           -
	// address 198.18.0.1 is not an IPv4 address with a port, as 198.18.0.1:443
}
