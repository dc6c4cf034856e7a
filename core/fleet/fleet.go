// Package fleet holds what a balancer knows about the upstreams and the agents
// beside them: the platform's entries, what the agents report, and which packets
// they left unanswered.
package fleet

import (
	"bytes"
	"slices"
	"time"

	"lagoondrum/core/encap"
	"lagoondrum/core/evac"
	"lagoondrum/core/intent"
	"lagoondrum/core/judge"
	"lagoondrum/core/warm"
)

// lapseGrace is how long an upstream is kept after its entry has gone, while its
// agent reports that it runs: entries that lapse during an outage of the platform
// return two seconds after its end.
const lapseGrace = 2300 * time.Millisecond

// Fleet holds the known upstreams and agents.
type Fleet struct {
	upstreams map[string]*Upstream // By the entry's name.
	agents    map[[4]byte]*Agent   // By the IP address of the VM.
	services  map[string][]*Agent  // By the service's name, each sorted by IP address.
	all       []*Agent             // Sorted by IP address.
	state     *intent.State        // The desired state in force; nil before the first one.

	evacuations *evac.Orders
	coldBounds  warm.Bounds
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{
		upstreams: make(map[string]*Upstream),
		agents:    make(map[[4]byte]*Agent),
		services:  make(map[string][]*Agent),

		evacuations: evac.New(),
	}
}

// SetState sets the desired state in force, which names the services.
func (flt *Fleet) SetState(stt *intent.State) {
	if flt.state != stt {
		flt.state = stt
		flt.rebuild()
	}
}

// namesService reports whether the desired state names a service.
func (flt *Fleet) namesService(name string) bool {
	return flt.state == nil || flt.state.NamesService(name)
}

// PutEntry adds an upstream, or replaces what its former entry said.
func (flt *Fleet) PutEntry(ups *Upstream, now time.Time) {
	if known := flt.upstreams[ups.id]; known != nil && known.sameIncarnation(ups) {
		ups.seenAt = known.seenAt
	}
	flt.upstreams[ups.id] = ups
	flt.rebuild()
}

// RemoveEntry removes an upstream whose entry has gone. One that was draining,
// or that a successor has replaced, is removed at once; another one is kept for
// lapseGrace while its agent lives.
func (flt *Fleet) RemoveEntry(id string, now time.Time) {
	ups, known := flt.upstreams[id]
	if !known {
		return
	}
	agt := flt.agents[ups.address]
	if agt == nil || agt.upstream != ups || ups.draining {
		delete(flt.upstreams, id)
	} else if agt.lapsedUntil.IsZero() {
		agt.lapsedUntil = now.Add(lapseGrace)
	}
	flt.rebuild()
}

// Tick removes upstreams without an entry once lapseGrace has passed or their agent
// is down, leaving or dead. It reports whether there were any.
func (flt *Fleet) Tick(now time.Time) bool {
	dropped := false
	for _, agt := range flt.agents {
		if agt.lapsedUntil.IsZero() {
			continue
		}
		if !now.Before(agt.lapsedUntil) || agt.down || agt.leaving || agt.Dead(now) {
			delete(flt.upstreams, agt.upstream.id)
			dropped = true
		}
	}
	if dropped {
		flt.rebuild()
	}
	return dropped
}

// rebuild assigns to each VM one of the upstreams that are listed with its address.
func (flt *Fleet) rebuild() {
	current := make(map[[4]byte]*Upstream, len(flt.upstreams))
	for _, ups := range flt.upstreams {
		if old := current[ups.address]; old == nil || flt.takesOver(ups, old) {
			current[ups.address] = ups
		}
	}
	for ip, agt := range flt.agents {
		if current[ip] == nil {
			delete(flt.agents, ip)
		} else if current[ip] != agt.upstream {
			flt.setUpstream(agt, current[ip])
		}
	}
	for ip, ups := range current {
		if flt.agents[ip] == nil {
			flt.agents[ip] = &Agent{upstream: ups, serviceID: encap.ServiceID(ups.service)}
		}
	}
	flt.markEvacuated()
	flt.rebuildIndex()
}

// takesOver reports whether an address that is listed for two upstreams is that of
// ups: it belongs to the one that started last, as the other one has ended. An entry
// of a service that the desired state does not name may be anybody's, so it takes no
// address that has another entry, and neither does a doubtful one. Alone it stays: its service may have been named
// while flows were opened that are still open.
func (flt *Fleet) takesOver(ups, old *Upstream) bool {
	if named := flt.namesService(ups.service); named != flt.namesService(old.service) {
		return named
	}
	if ups.doubtful != old.doubtful {
		return old.doubtful
	}
	return ups.startedLater(old)
}

// startedLater reports whether ups started after old; equal starts are ordered by ID.
func (ups *Upstream) startedLater(old *Upstream) bool {
	if ups.start() != old.start() {
		return ups.start() > old.start()
	}
	return ups.id > old.id
}

// setUpstream gives an agent the new entry of its upstream, or of the upstream's
// successor. What was learned about the predecessor is reset.
func (flt *Fleet) setUpstream(agt *Agent, ups *Upstream) {
	agt.lapsedUntil = time.Time{}
	if !ups.sameIncarnation(agt.upstream) {
		agt.misses = 0
		agt.avoidUntil = time.Time{}
		agt.load = encap.Load{}
		agt.pending = 0
		agt.vouched = false
		agt.coldRoom = warm.Room{}
		agt.judged = judge.Subject{}
	}
	agt.upstream = ups
	agt.serviceID = encap.ServiceID(ups.service)
}

// rebuildIndex sorts the agents by IP address and groups them by service.
func (flt *Fleet) rebuildIndex() {
	flt.all = flt.all[:0:0] // A new slice, because callers may still hold the old one.
	for _, agt := range flt.agents {
		flt.all = append(flt.all, agt)
	}
	slices.SortFunc(flt.all, func(one, other *Agent) int { return bytes.Compare(one.upstream.address[:], other.upstream.address[:]) })
	clear(flt.services)
	for _, agt := range flt.all {
		flt.setColdLimit(agt)
		name := agt.upstream.service
		flt.services[name] = append(flt.services[name], agt)
	}
}

// Agent returns the agent on the VM with an IP address, nil when none is known.
func (flt *Fleet) Agent(ip [4]byte) *Agent { return flt.agents[ip] }

// Service returns the agents of a service, sorted by IP address.
func (flt *Fleet) Service(name string) []*Agent { return flt.services[name] }

// EachService calls visit for every service and its agents.
func (flt *Fleet) EachService(visit func(name string, agents []*Agent)) {
	for name, agts := range flt.services {
		visit(name, agts)
	}
}

// All returns every agent, sorted by IP address.
func (flt *Fleet) All() []*Agent { return flt.all }

// Len returns how many agents are known.
func (flt *Fleet) Len() int { return len(flt.agents) }
