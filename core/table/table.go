// Package table builds the lookup table of a balancer from the lists: for each
// address its grant and the agents that may take its new flows. It holds no flows,
// unlike the flow tables of packages flows and track.
package table

import (
	"math"
	"net/netip"
	"sort"

	"github.com/cespare/xxhash/v2"

	"lagoondrum/core/lists"
)

// Table is an immutable lookup structure for one revision of the lists.
type Table struct {
	entries         map[netip.Addr]*Entry
	agents          map[netip.AddrPort]struct{}
	detourBalancers []netip.AddrPort
}

// Entry holds the grant, the service and the candidates of one address.
type Entry struct {
	grant        *lists.Grant
	service      lists.ServiceID
	candidates   []Candidate
	equalWeights bool // All candidates have the same weight.
}

// Candidate is one agent that may take new flows of an address, with the seed and
// the weight of its rendezvous score.
type Candidate struct {
	agent  netip.AddrPort
	seed   uint64
	weight float64
}

// Locality is the zone, the region and the own address of the process that uses the
// table.
type Locality struct {
	zone   string
	region string
	self   netip.AddrPort
}

// NewLocality returns the locality of a process.
func NewLocality(zone, region string, self netip.AddrPort) Locality {
	return Locality{zone: zone, region: region, self: self}
}

// Zone returns the availability zone.
func (loc Locality) Zone() string { return loc.zone }

// Region returns the region.
func (loc Locality) Region() string { return loc.region }

// Self returns the address of the process itself.
func (loc Locality) Self() netip.AddrPort { return loc.self }

// New returns the table of a process at loc. Nil lists count as empty.
func New(pls *lists.Plans, vms *lists.VMs, loc Locality) *Table {
	tab := &Table{entries: make(map[netip.Addr]*Entry), agents: make(map[netip.AddrPort]struct{})}
	if vms == nil {
		return tab
	}
	byService := tab.addVMs(vms, loc)
	if pls == nil {
		return tab
	}
	for _, gr := range pls.Grants() {
		pool := inRegion(byService[gr.Service()], loc.region)
		tab.entries[gr.Address()] = newEntry(gr, pool)
	}
	return tab
}

// addVMs adds the agents of all VMs and the balancers for detours, and returns
// the upstream VMs by service.
func (tab *Table) addVMs(vms *lists.VMs, loc Locality) map[string][]*lists.VM {
	byService := make(map[string][]*lists.VM)
	for _, vm := range vms.All() {
		switch {
		case vm.Role() == lists.UpstreamRole:
			tab.agents[vm.Address()] = struct{}{}
			byService[vm.Service()] = append(byService[vm.Service()], vm)
		case vm.Address() != loc.self && !vm.Leaving() && vm.Zone() != loc.zone && vm.Region() == loc.region:
			tab.detourBalancers = append(tab.detourBalancers, vm.Address())
		}
	}
	return byService
}

// inRegion returns the VMs of a region, or all VMs when none of the region is
// live.
func inRegion(vms []*lists.VM, region string) []*lists.VM {
	var regional []*lists.VM
	live := false
	for _, vm := range vms {
		if vm.Region() == region {
			regional = append(regional, vm)
			live = live || !vm.Leaving()
		}
	}
	if !live {
		return vms
	}
	return regional
}

// Pool returns the upstreams of a service that a process at loc may use: those
// of its region, or all when none of the region is live.
func Pool(vms *lists.VMs, service string, loc Locality) []*lists.VM {
	var pool []*lists.VM
	for _, vm := range vms.All() {
		if vm.Role() == lists.UpstreamRole && vm.Service() == service {
			pool = append(pool, vm)
		}
	}
	return inRegion(pool, loc.region)
}

func newEntry(gr *lists.Grant, pool []*lists.VM) *Entry {
	ent := &Entry{grant: gr, service: lists.ServiceIDOf(gr.Service()), equalWeights: true}
	for _, vm := range Subset(gr, pool) {
		ent.candidates = append(ent.candidates, Candidate{
			agent:  vm.Address(),
			seed:   xxhash.Sum64String(vm.Address().String()),
			weight: float64(vm.Slots()),
		})
		ent.equalWeights = ent.equalWeights && ent.candidates[0].weight == float64(vm.Slots())
	}
	return ent
}

// Subset returns the live upstreams that a grant may use. When there are more
// than the grant allows, rendezvous hashing selects them, so that a change of one
// VM replaces at most one of them.
func Subset(gr *lists.Grant, pool []*lists.VM) []*lists.VM {
	live := make([]*lists.VM, 0, len(pool))
	for _, vm := range pool {
		if !vm.Leaving() {
			live = append(live, vm)
		}
	}
	if len(live) <= gr.Upstreams() {
		return live
	}
	seed := xxhash.Sum64String(gr.Plan() + " " + gr.Service())
	rank := func(vm *lists.VM) uint64 { return mix(seed ^ xxhash.Sum64String(vm.Address().String())) }
	sort.Slice(live, func(i, j int) bool { return rank(live[i]) > rank(live[j]) })
	return live[:gr.Upstreams()]
}

// Lookup returns the entry of an address.
func (tab *Table) Lookup(addr netip.Addr) (*Entry, bool) {
	ent, ok := tab.entries[addr]
	return ent, ok
}

// HasAgent reports whether the list of VMs has an agent at this address.
func (tab *Table) HasAgent(agent netip.AddrPort) bool {
	_, ok := tab.agents[agent]
	return ok
}

// AgentCount returns the number of agents in the list of VMs.
func (tab *Table) AgentCount() int { return len(tab.agents) }

// AgentAddresses returns the addresses of the agents in the list of VMs, in no
// particular order.
func (tab *Table) AgentAddresses() []netip.AddrPort {
	all := make([]netip.AddrPort, 0, len(tab.agents))
	for agent := range tab.agents {
		all = append(all, agent)
	}
	return all
}

// DetourBalancers returns the live balancers of other availability zones in the
// region. They forward packets for agents that do not answer this process.
func (tab *Table) DetourBalancers() []netip.AddrPort { return tab.detourBalancers }

// Grant returns the grant of the address.
func (ent *Entry) Grant() *lists.Grant { return ent.grant }

// Service returns the service of the address.
func (ent *Entry) Service() lists.ServiceID { return ent.service }

// Candidates returns the agents that may take new flows.
func (ent *Entry) Candidates() []Candidate { return ent.candidates }

// Agent returns the candidate's address.
func (cnd Candidate) Agent() netip.AddrPort { return cnd.agent }

// Choose returns the two best candidates for a key by weighted rendezvous
// hashing, among those that usable accepts. A missing one is the zero address.
func (ent *Entry) Choose(key uint64, usable func(netip.AddrPort) bool) (first, second netip.AddrPort) {
	firstScore, secondScore := math.Inf(-1), math.Inf(-1)
	for i := range ent.candidates {
		cnd := &ent.candidates[i]
		score := ent.score(cnd, key)
		switch {
		case score <= secondScore || !usable(cnd.agent):
		case score > firstScore:
			second, secondScore = first, firstScore
			first, firstScore = cnd.agent, score
		default:
			second, secondScore = cnd.agent, score
		}
	}
	return first, second
}

// score returns the weighted rendezvous score of a candidate for a key. With
// equal weights the hash alone gives the same order.
func (ent *Entry) score(cnd *Candidate, key uint64) float64 {
	uniform := (float64(mix(key^cnd.seed)>>11) + 0.5) / (1 << 53)
	if ent.equalWeights {
		return uniform
	}
	return -cnd.weight / math.Log(uniform)
}

// mix spreads the bits of a 64-bit value (the finalizer of SplitMix64).
func mix(val uint64) uint64 {
	val ^= val >> 30
	val *= 0xbf58476d1ce4e5b9
	val ^= val >> 27
	val *= 0x94d049bb133111eb
	return val ^ val>>31
}
