// Package fleet is what a balancer knows about the upstreams and the agents
// beside them: what the platform lists, and the evidence from what they say and
// from what becomes of packets.
package fleet

import (
	"bytes"
	"slices"
	"time"

	"lagoondrum/core/hop"
)

// lapseTime is how long an upstream is kept whose entry has gone while its agent
// says that it runs: entries that lapsed during an outage of the platform are
// back two seconds after it.
const lapseTime = 2300 * time.Millisecond

// Fleet is every known agent, by the IP number of its VM.
type Fleet struct {
	servers  map[string]*Server // By the entry's name.
	agents   map[[4]byte]*Agent
	services map[string][]*Agent
	all      []*Agent
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{
		servers:  make(map[string]*Server),
		agents:   make(map[[4]byte]*Agent),
		services: make(map[string][]*Agent),
	}
}

// List puts what an entry says in force.
func (flt *Fleet) List(srv *Server, now time.Time) {
	flt.servers[srv.id] = srv
	flt.rebuild()
}

// Unlist takes an entry out. An upstream that drained is gone with it; another
// one is kept for a while if its agent lives.
func (flt *Fleet) Unlist(id string, now time.Time) {
	srv, known := flt.servers[id]
	if !known {
		return
	}
	agt := flt.agents[srv.address]
	if agt == nil || agt.server != srv || srv.draining {
		delete(flt.servers, id)
	} else if agt.lapsedTill.IsZero() {
		agt.lapsedTill = now.Add(lapseTime)
	}
	flt.rebuild()
}

// Tick drops the upstreams that lapsed for good and reports whether there were
// any.
func (flt *Fleet) Tick(now time.Time) bool {
	dropped := false
	for _, agt := range flt.agents {
		if agt.lapsedTill.IsZero() {
			continue
		}
		if !now.Before(agt.lapsedTill) || agt.down || agt.leaving || agt.Dead(now) {
			delete(flt.servers, agt.server.id)
			dropped = true
		}
	}
	if dropped {
		flt.rebuild()
	}
	return dropped
}

// rebuild gives each VM the upstream that started last there: an address may be
// listed for an upstream that is gone and for its successor.
func (flt *Fleet) rebuild() {
	current := make(map[[4]byte]*Server, len(flt.servers))
	for _, srv := range flt.servers {
		if old := current[srv.address]; old == nil || srv.newer(old) {
			current[srv.address] = srv
		}
	}
	for ip, agt := range flt.agents {
		if current[ip] == nil {
			delete(flt.agents, ip)
		} else if current[ip] != agt.server {
			flt.replace(agt, current[ip])
		}
	}
	for ip, srv := range current {
		if flt.agents[ip] == nil {
			flt.agents[ip] = &Agent{server: srv, serviceID: hop.ServiceID(srv.service)}
		}
	}
	flt.index()
}

func (srv *Server) newer(old *Server) bool {
	if srv.born != old.born {
		return srv.born > old.born
	}
	return srv.id > old.id
}

// replace puts another state of the upstream, or its successor, beside an agent.
func (flt *Fleet) replace(agt *Agent, srv *Server) {
	agt.lapsedTill = time.Time{}
	if srv.service != agt.server.service || srv.id != agt.server.id || srv.born != agt.server.born {
		agt.misses = 0
		agt.passTill = time.Time{}
		agt.load = hop.Load{}
		agt.pending = 0
	}
	agt.server = srv
	agt.serviceID = hop.ServiceID(srv.service)
}

func (flt *Fleet) index() {
	flt.all = flt.all[:0:0] // A new slice: callers may still hold the old one.
	for _, agt := range flt.agents {
		flt.all = append(flt.all, agt)
	}
	slices.SortFunc(flt.all, func(one, other *Agent) int { return bytes.Compare(one.server.address[:], other.server.address[:]) })
	clear(flt.services)
	for _, agt := range flt.all {
		name := agt.server.service
		flt.services[name] = append(flt.services[name], agt)
	}
}

// Agent returns the agent on the VM with an IP number, nil when none is known.
func (flt *Fleet) Agent(ip [4]byte) *Agent { return flt.agents[ip] }

// Service returns the agents of a service, by IP number.
func (flt *Fleet) Service(name string) []*Agent { return flt.services[name] }

// All returns every agent, by IP number.
func (flt *Fleet) All() []*Agent { return flt.all }

// Len returns how many agents are known.
func (flt *Fleet) Len() int { return len(flt.agents) }
