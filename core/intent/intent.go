// Package intent holds the desired state that the operators publish: the route
// of each address and the services that the route leads to.
package intent

import (
	"slices"
	"time"

	"lagoondrum/core/flow"
)

// Share is a service with its weight among the new flows of a route.
type Share struct {
	service string
	weight  int
}

// NewShare returns the share of a service with its weight.
func NewShare(service string, weight int) Share { return Share{service: service, weight: weight} }

// Service returns the service.
func (shr Share) Service() string { return shr.service }

// Weight returns the weight.
func (shr Share) Weight() int { return shr.weight }

// Route distributes the new flows of one address over services.
type Route struct {
	name        string
	shares      []Share
	totalWeight int
	urgency     flow.Urgency
}

// NewRoute returns a route over the shares that have a weight above 0 and a
// service.
func NewRoute(name string, shares []Share) *Route {
	rte := &Route{name: name}
	for _, shr := range shares {
		if shr.weight > 0 && shr.service != "" {
			rte.shares = append(rte.shares, shr)
			rte.totalWeight += shr.weight
		}
	}
	return rte
}

// WithUrgency sets how soon the route's requests need their answers, and returns the
// route.
func (rte *Route) WithUrgency(urg flow.Urgency) *Route {
	rte.urgency = urg
	return rte
}

// Urgency returns how soon the route's requests need their answers.
func (rte *Route) Urgency() flow.Urgency { return rte.urgency }

// Name returns the route's name.
func (rte *Route) Name() string { return rte.name }

// Pick chooses the service of a new flow by weight and by the flow's hash, so
// that every copy of the opening packet goes to the same service. It returns an
// empty string when the route has no service.
func (rte *Route) Pick(hash uint64) string {
	if rte.totalWeight == 0 {
		return ""
	}
	point := int(hash % uint64(rte.totalWeight))
	for _, shr := range rte.shares {
		if point -= shr.weight; point < 0 {
			return shr.service
		}
	}
	return ""
}

// Shares returns the shares of the services that the route leads to.
func (rte *Route) Shares() []Share { return rte.shares }

// Services returns the services that the route leads to.
func (rte *Route) Services() []string {
	names := make([]string, 0, len(rte.shares))
	for _, shr := range rte.shares {
		names = append(names, shr.service)
	}
	return names
}

func (rte *Route) hasService(service string) bool {
	return slices.ContainsFunc(rte.shares, func(shr Share) bool { return shr.service == service })
}

// State is one version of the desired state. It is immutable.
type State struct {
	version     uint64
	routes      map[flow.Endpoint]*Route
	services    map[string]bool
	coldRates   map[string]float64 // Openings a second that a cold upstream of a service bears.
	ignored     []string           // What is invalid and left out.
	idleTimeout time.Duration
}

// NewState returns a version of the desired state with its routes and the idle
// timeout of flows. It names the services that its routes lead to.
func NewState(version uint64, routes map[flow.Endpoint]*Route, idleTimeout time.Duration) *State {
	stt := &State{version: version, routes: routes, services: make(map[string]bool), idleTimeout: idleTimeout}
	for _, rte := range routes {
		for _, shr := range rte.shares {
			stt.services[shr.service] = true
		}
	}
	return stt
}

// WithServices adds services that the state names, and returns the state.
func (stt *State) WithServices(names []string) *State {
	for _, name := range names {
		stt.services[name] = true
	}
	return stt
}

// WithColdRate sets how many openings a second an upstream of a service bears while it
// is cold, and returns the state.
func (stt *State) WithColdRate(service string, perSecond float64) *State {
	if stt.coldRates == nil {
		stt.coldRates = make(map[string]float64)
	}
	stt.coldRates[service] = perSecond
	return stt
}

// ColdRate returns how many openings a second an upstream of a service bears while it
// is cold, 0 when the state sets no limit.
func (stt *State) ColdRate(service string) float64 { return stt.coldRates[service] }

// WithIgnored records a part that is invalid and left out, and returns the state.
func (stt *State) WithIgnored(part string) *State {
	stt.ignored = append(stt.ignored, part)
	return stt
}

// Ignored returns the parts that are invalid and left out.
func (stt *State) Ignored() []string { return stt.ignored }

// NamesService reports whether the state names a service.
func (stt *State) NamesService(name string) bool { return stt.services[name] }

// Version returns the version number that the operators gave the state.
func (stt *State) Version() uint64 { return stt.version }

// RouteCount returns the number of routes.
func (stt *State) RouteCount() int { return len(stt.routes) }

// IdleTimeout returns the idle timeout: how long a flow without packets is kept.
func (stt *State) IdleTimeout() time.Duration { return stt.idleTimeout }

// TightestObjective returns the shortest latency objective of the routes, 0 when none
// has one.
func (stt *State) TightestObjective() time.Duration {
	var tightest time.Duration
	for _, rte := range stt.routes {
		if obj := rte.urgency.Objective(); obj > 0 && (tightest == 0 || obj < tightest) {
			tightest = obj
		}
	}
	return tightest
}

// Route returns the route of an address, or nil when there is none.
func (stt *State) Route(address flow.Endpoint) *Route { return stt.routes[address] }
