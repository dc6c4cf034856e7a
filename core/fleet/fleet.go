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
	"lagoondrum/core/warm"
)

// Fleet holds the known upstreams and agents.
type Fleet struct {
	entries  map[string]*entry   // By their names.
	agents   map[[4]byte]*Agent  // By the IP address of the VM.
	services map[string][]*Agent // By the service's name, each sorted by IP address; without departed upstreams.
	departed map[string][]*Agent // The same of departed upstreams.
	all      []*Agent            // Sorted by IP address.
	state    *intent.State       // The desired state in force; nil before the first one.

	confirmed confirmation
	awayAt    time.Time     // When a process last knew that the store does not answer.
	maxAge    time.Duration // Within which a removal has to take effect; 0 when there is no limit.
	unsettled bool          // Upstreams whose entries were removed before the process started may not be known.
	changes   []Change

	evacuations *evac.Orders
	coldBounds  warm.Bounds
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{
		entries:  make(map[string]*entry),
		agents:   make(map[[4]byte]*Agent),
		services: make(map[string][]*Agent),
		departed: make(map[string][]*Agent),

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

// rebuild assigns to each VM one of the entries with its address.
func (flt *Fleet) rebuild() {
	current := make(map[[4]byte]*entry, len(flt.entries))
	for _, ent := range flt.entries {
		ip := ent.upstream.address
		if old := current[ip]; old == nil || flt.takesOver(ent, old) {
			current[ip] = ent
		}
	}
	for ip, agt := range flt.agents {
		if current[ip] == nil {
			delete(flt.agents, ip)
		} else {
			agt.setEntry(current[ip])
		}
	}
	for ip, ent := range current {
		if flt.agents[ip] == nil {
			flt.agents[ip] = &Agent{upstream: ent.upstream, entry: ent, serviceID: encap.ServiceID(ent.upstream.service)}
		}
	}
	flt.markEvacuated()
	flt.rebuildIndex()
}

// takesOver reports whether an address that two entries name is that of ent: it belongs
// to the upstream that started last, as the other one has ended. An entry of a service
// that the desired state does not name may be anybody's, so it takes no address that has
// another entry, and neither does a doubtful one. Alone it stays: its service may have
// been named while flows were opened that are still open.
func (flt *Fleet) takesOver(ent, old *entry) bool {
	if named := flt.namesService(ent.upstream.service); named != flt.namesService(old.upstream.service) {
		return named
	}
	if ent.rank() != old.rank() {
		return ent.rank() > old.rank()
	}
	return ent.upstream.startedLater(old.upstream)
}

// rebuildIndex sorts the agents by IP address and groups them by service.
func (flt *Fleet) rebuildIndex() {
	flt.all = flt.all[:0:0] // A new slice, because callers may still hold the old one.
	for _, agt := range flt.agents {
		flt.all = append(flt.all, agt)
	}
	slices.SortFunc(flt.all, func(one, other *Agent) int { return bytes.Compare(one.upstream.address[:], other.upstream.address[:]) })
	clear(flt.services)
	clear(flt.departed)
	for _, agt := range flt.all {
		flt.setColdLimit(agt)
		index, name := flt.services, agt.upstream.service
		if agt.entry.departed() {
			index = flt.departed
		}
		index[name] = append(index[name], agt)
	}
}

// Agent returns the agent on the VM with an IP address, nil when none is known.
func (flt *Fleet) Agent(ip [4]byte) *Agent { return flt.agents[ip] }

// Service returns the agents of a service, sorted by IP address, without those of
// departed upstreams.
func (flt *Fleet) Service(name string) []*Agent { return flt.services[name] }

// Holders returns the agents whose upstreams may hold flows of a service: those of
// Service, and those of departed upstreams.
func (flt *Fleet) Holders(name string) []*Agent {
	return slices.Concat(flt.services[name], flt.departed[name])
}

// EachService calls visit for every service and the agents that Service returns.
func (flt *Fleet) EachService(visit func(name string, agents []*Agent)) {
	for name, agts := range flt.services {
		visit(name, agts)
	}
}

// All returns every agent, also those of departed upstreams, sorted by IP address.
func (flt *Fleet) All() []*Agent { return flt.all }

// Len returns how many upstreams are listed or have lapsed.
func (flt *Fleet) Len() int {
	count := 0
	for _, agts := range flt.services {
		count += len(agts)
	}
	return count
}
