// Package evac keeps which availability zones are evacuated. The upstreams of such a
// zone get no new flows until the operator takes the order back; open flows stay. The
// load it answers: the callers of a whole zone, who move to the other zones while the
// zone's upstreams are emptied.
package evac

import (
	"slices"
	"strings"
	"time"

	"lagoondrum/core/mirror"
)

// Source is where a process has an order from.
type Source uint8

// The sources of an order.
const (
	Platform Source = iota // A read of the platform by this process.
	Peer                   // Another process.
	sourceEnd
)

var sourceNames = [sourceEnd]string{"platform", "peer"}

// String returns the source's name in logs.
func (src Source) String() string { return sourceNames[src] }

// Order is the order to evacuate an availability zone.
type Order struct {
	zone     string
	position mirror.Position
	since    time.Time
	source   Source
}

// NewOrder returns the order to evacuate a zone that a process learns at now.
func NewOrder(zone string, pos mirror.Position, src Source, now time.Time) Order {
	return Order{zone: zone, position: pos, since: now, source: src}
}

// Zone returns the availability zone that is evacuated.
func (ord Order) Zone() string { return ord.zone }

// Position returns the position of the platform's state at which the order last changed.
func (ord Order) Position() mirror.Position { return ord.position }

// Since returns since when the order is in force at this process.
func (ord Order) Since() time.Time { return ord.since }

// Source returns where the process has the order from.
func (ord Order) Source() Source { return ord.source }

// Orders holds the orders in force at a process, by zone. An order is in force from the
// moment when it is known until its removal is: that a state lacks it proves nothing
// unless the state is a full one. Revisions do not decide, because the caller has
// ordered the changes.
type Orders struct {
	byZone map[string]Order
}

// New returns no orders.
func New() *Orders { return &Orders{byZone: make(map[string]Order)} }

// Put puts an order in force and reports whether its zone was not evacuated before. An
// order that is written again keeps the time since when it is in force.
func (ods *Orders) Put(ord Order) bool {
	known, evacuated := ods.byZone[ord.zone]
	if evacuated {
		ord.since = known.since
	}
	ods.byZone[ord.zone] = ord
	return !evacuated
}

// Remove takes back the order to evacuate a zone. It returns the order, or false if
// the zone was not evacuated, as when the order and its removal arrive together.
func (ods *Orders) Remove(zone string) (Order, bool) {
	ord, evacuated := ods.byZone[zone]
	delete(ods.byZone, zone)
	return ord, evacuated
}

// InForce reports whether a zone is evacuated.
func (ods *Orders) InForce(zone string) bool {
	_, evacuated := ods.byZone[zone]
	return evacuated
}

// All returns the orders in force, sorted by zone.
func (ods *Orders) All() []Order {
	var all []Order
	for _, ord := range ods.byZone {
		all = append(all, ord)
	}
	slices.SortFunc(all, func(one, other Order) int { return strings.Compare(one.zone, other.zone) })
	return all
}
