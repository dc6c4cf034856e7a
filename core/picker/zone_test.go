package picker

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/encap"
	"lagoondrum/core/fleet"
	"lagoondrum/core/flow"
)

// serviceTime is how long the upstreams of playZones take for an answer.
const serviceTime = 20 * time.Millisecond

// demandOf returns the part of a zone's slots that its clients ask for.
type demandOf func(zone int, at time.Duration) float64

// zoneOutcome is which share of the requests went to another zone, and which waited for
// longer than five service times.
type zoneOutcome struct{ remote, late float64 }

// playZones plays a demand for 12 s in three availability zones with 13 upstreams of two
// slots and four balancers each; in the zone empty there are no upstreams. Agents report
// with each answer, and otherwise once a second.
func playZones(demand demandOf, weighed bool, empty int) (out zoneOutcome) {
	rnd := rand.New(rand.NewPCG(1, 2))
	ends := make(map[[4]byte][]time.Time) // By upstream: of the requests that run or wait.
	load := func(ip [4]byte, now time.Time) encap.Load {
		ends[ip] = slices.DeleteFunc(ends[ip], func(end time.Time) bool { return !end.After(now) })
		return encap.NewLoad(16*len(ends[ip]), 0)
	}
	var flts [12]*fleet.Fleet
	var chss [12]*Chooser
	for blc := range flts {
		flts[blc], chss[blc] = fleet.New(), New(fmt.Sprint(blc%3))
		chss[blc].SetZonesWeighed(weighed)
		for num := range 3 * 13 {
			if num%3 != empty {
				flts[blc].PutEntry(fleet.NewUpstream(fleet.Listing{ID: fmt.Sprint(num), Service: "feed", Address: [4]byte{10, 0, 0, byte(num)}, Zone: fmt.Sprint(num % 3), Slots: 2}, start), start)
			}
		}
	}
	count := 0.0
	for off := time.Duration(0); off < 12*time.Second; off += time.Millisecond {
		now := start.Add(off)
		for blc, flt := range flts {
			for i, agt := range flt.All() {
				if off == 0 || off.Milliseconds()%1000 == int64(17*i+5*blc) {
					agt.NoteHeard(encap.NewHeartbeat(1, 1, 1).WithLoad(load(agt.IP(), now)), now)
				}
			}
			if rnd.Float64() >= demand(blc%3, off)*2*13/4*float64(time.Millisecond)/float64(serviceTime) {
				continue
			}
			agt := chss[blc].Choose(flt.Service("feed"), noneTried, rnd.Uint64(), now)
			agt.NoteOpeningSent(now)
			agt.NoteHeard(encap.New(encap.Opened, 1, flow.Key{}).WithLoad(load(agt.IP(), now)), now)
			begin := now
			if run := ends[agt.IP()]; len(run) > 1 {
				begin = run[len(run)-2] // When the first slot is free.
			}
			ends[agt.IP()] = append(ends[agt.IP()], begin.Add(time.Duration(rnd.ExpFloat64()*float64(serviceTime))))
			slices.SortFunc(ends[agt.IP()], time.Time.Compare)
			count++
			if begin.Sub(now) > 5*serviceTime {
				out.late++
			}
			if agt.Upstream().Zone() != fmt.Sprint(blc%3) {
				out.remote++
			}
		}
	}
	return zoneOutcome{remote: out.remote / count, late: out.late / count}
}

// While there is room, requests stay in their zone; when there is none, no more of them
// are late than at the fixed price.
func TestRoomOfZonesUnderDemandThatMoves(t *testing.T) {
	waves := func(mean float64) demandOf {
		return func(zone int, at time.Duration) float64 {
			return mean * (1 + 0.27*math.Sin(2*math.Pi*(at.Seconds()/11+float64(zone)/3)))
		}
	}
	for name, tc := range map[string]struct {
		demand    demandOf
		empty     int
		maxRemote float64 // In parts of the share at the fixed price.
	}{
		"waves out of step":        {waves(0.25), -1, 0.5},
		"waves with little room":   {waves(0.7), -1, 1},
		"half of the clients move": {func(zone int, _ time.Duration) float64 { return [3]float64{0.15, 0.45, 0.3}[zone] }, -1, 0.5},
		"a burst in one zone":      {func(zone int, _ time.Duration) float64 { return [3]float64{1.5, 0.4, 0.4}[zone] }, -1, 1},
		"a zone without agents":    {waves(0.3), 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			fixed, weighed := playZones(tc.demand, false, tc.empty), playZones(tc.demand, true, tc.empty)
			t.Logf("fixed price %+.4f, weighed %+.4f", fixed, weighed)
			assert.Assert(t, weighed.remote <= tc.maxRemote*fixed.remote)
			assert.Assert(t, weighed.late <= fixed.late+0.01)
		})
	}
}

// An upstream of the own zone is preferred while it has a free slot.
func TestZoneChoice(t *testing.T) {
	for requests, tc := range map[int]struct {
		gain float64
		want byte
	}{0: {0, 0}, 3: {0.75, 0}, 5: {1.25, 1}} {
		t.Run(fmt.Sprint(requests), func(t *testing.T) {
			flt, chs := newFleet("near", "far"), New("near")
			chs.SetZonesWeighed(true)
			reportLoad(flt, 0, requests)
			assert.Equal(t, chs.Choose(flt.Service("feed"), noneTried, 1, start).IP()[3], tc.want)
			chc, weighed := chs.ZoneChoice()
			gain, known := chc.Gain()
			assert.Assert(t, weighed && known)
			assert.Assert(t, math.Abs(gain-tc.gain) <= jitterWeight)
			assert.Equal(t, chc.Price(), float64(weighedZonePenalty))
		})
	}
}
