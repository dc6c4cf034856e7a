package intent

import (
	"slices"
	"time"

	"lagoondrum/core/flow"
)

// Retention of the former services of a route.
const (
	maxFlowLifetime = 60 * time.Second // The platform's limit on the lifetime of a flow (flow-max-s).
	maxStateSkew    = 15 * time.Second // A partitioned balancer may open flows by an older state for this long (max-skew-ms).
	formerRetention = maxFlowLifetime + maxStateSkew
)

// FormerService is a service that the route of an address led to before.
type FormerService struct {
	address flow.Endpoint
	service string
	until   time.Time
}

// NewFormerService returns a service that the route of an address led to. Its
// flows may stay open until the given time.
func NewFormerService(address flow.Endpoint, service string, until time.Time) FormerService {
	return FormerService{address: address, service: service, until: until}
}

// Address returns the address of the route.
func (fsv FormerService) Address() flow.Endpoint { return fsv.address }

// Service returns the service that the route led to.
func (fsv FormerService) Service() string { return fsv.service }

// Until returns when the last flow that the service got by the route has ended.
func (fsv FormerService) Until() time.Time { return fsv.until }

// History holds the former services of all routes since a point in time. It is
// small, as few routes change their services.
type History struct {
	since          time.Time
	formerServices map[flow.Endpoint][]FormerService
}

func newHistory(since time.Time) History {
	return History{since: since, formerServices: make(map[flow.Endpoint][]FormerService)}
}

// NewHistory returns a history that is complete since the given time.
func NewHistory(since time.Time, fsvs []FormerService) History {
	his := newHistory(since)
	for _, fsv := range fsvs {
		his.record(fsv.address, fsv.service, fsv.until)
	}
	return his
}

// Since returns the time from which on the history is complete.
func (his History) Since() time.Time { return his.since }

// Complete reports whether the history reaches back at least the longest lifetime
// of a flow, so that it lists every former service that may hold an open flow.
func (his History) Complete(now time.Time) bool { return now.Sub(his.since) >= maxFlowLifetime }

// FormerServices returns the former services of all addresses, in no order.
func (his History) FormerServices() []FormerService {
	var all []FormerService
	for _, fsvs := range his.formerServices {
		all = append(all, fsvs...)
	}
	return all
}

// record adds a former service, or extends the time of one that is known.
func (his History) record(address flow.Endpoint, service string, until time.Time) {
	fsvs := his.formerServices[address]
	at := slices.IndexFunc(fsvs, func(fsv FormerService) bool { return fsv.service == service })
	if at < 0 {
		his.formerServices[address] = append(fsvs, NewFormerService(address, service, until))
	} else if until.After(fsvs[at].until) {
		fsvs[at].until = until
	}
}

// expire removes the former services whose flows have all ended.
func (his History) expire(now time.Time) {
	for address, fsvs := range his.formerServices {
		fsvs = slices.DeleteFunc(fsvs, func(fsv FormerService) bool { return !now.Before(fsv.until) })
		if his.formerServices[address] = fsvs; len(fsvs) == 0 {
			delete(his.formerServices, address)
		}
	}
}
