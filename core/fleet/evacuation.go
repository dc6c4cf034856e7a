package fleet

import (
	"time"

	"lagoondrum/core/evac"
)

// Evacuate puts the order to evacuate an availability zone in force and reports whether
// the zone was not evacuated before.
func (flt *Fleet) Evacuate(ord evac.Order) bool {
	fresh := flt.evacuations.Put(ord)
	flt.markEvacuated()
	return fresh
}

// TakeBack takes back the order to evacuate a zone. It returns the order, or false if
// the zone was not evacuated.
func (flt *Fleet) TakeBack(zone string) (evac.Order, bool) {
	ord, evacuated := flt.evacuations.Remove(zone)
	flt.markEvacuated()
	return ord, evacuated
}

// Evacuations returns the orders in force.
func (flt *Fleet) Evacuations() *evac.Orders { return flt.evacuations }

// InZone returns how many upstreams are listed in an availability zone.
func (flt *Fleet) InZone(zone string) int {
	count := 0
	for _, agt := range flt.agents {
		if agt.upstream.zone == zone && !agt.entry.departed() {
			count++
		}
	}
	return count
}

// Evacuated returns how many upstreams are in evacuated zones.
func (flt *Fleet) Evacuated() int {
	count := 0
	for _, agt := range flt.agents {
		if agt.evacuated && !agt.entry.departed() {
			count++
		}
	}
	return count
}

// markEvacuated marks the agents in evacuated zones, so that the choice of an agent
// looks up no zone.
func (flt *Fleet) markEvacuated() {
	for _, agt := range flt.agents {
		agt.evacuated = flt.evacuations.InForce(agt.upstream.zone)
	}
}

// OnlyEvacuated reports whether a service has upstreams that could take new flows if
// their zones were not evacuated, and no other ones.
func (flt *Fleet) OnlyEvacuated(service string, now time.Time) bool {
	found := false
	for _, agt := range flt.services[service] {
		switch agt.Exclusion(now) {
		case NotExcluded:
			return false
		case Evacuated:
			found = true
		case Draining, Leaving, UpstreamDown, Unconfirmed:
		}
	}
	return found
}
