package entry

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lagoondrum/core/frame"
	"lagoondrum/core/health"
	"lagoondrum/core/table"
)

// linkSet holds one link for each agent of the table. Readers take a snapshot.
type linkSet struct {
	mu      sync.Mutex
	current atomic.Pointer[map[netip.AddrPort]*health.Link]
}

// LinkState is what is known about one agent.
type LinkState struct {
	agent netip.AddrPort
	link  *health.Link
}

// Agent returns the agent's address.
func (lst LinkState) Agent() netip.AddrPort { return lst.agent }

// Link returns what is known about it.
func (lst LinkState) Link() *health.Link { return lst.link }

func newLinkSet() *linkSet {
	set := &linkSet{}
	set.current.Store(&map[netip.AddrPort]*health.Link{})
	return set
}

// Link returns the link to an agent, nil when no list names it.
func (set *linkSet) Link(agent netip.AddrPort) *health.Link { return (*set.current.Load())[agent] }

// cover keeps the links that tab needs and makes the missing ones.
func (set *linkSet) cover(tab *table.Table) {
	set.mu.Lock()
	defer set.mu.Unlock()
	old := *set.current.Load()
	next := make(map[netip.AddrPort]*health.Link, tab.AgentCount())
	for _, agent := range tab.AgentAddresses() {
		if lnk, ok := old[agent]; ok {
			next[agent] = lnk
			continue
		}
		next[agent] = &health.Link{}
	}
	set.current.Store(&next)
}

func (set *linkSet) states() []LinkState {
	var all []LinkState
	for agent, lnk := range *set.current.Load() {
		all = append(all, LinkState{agent, lnk})
	}
	return all
}

// judge polls the links and sends the probes they ask for.
type judge struct{ ent *Entry }

func (jdg *judge) String() string { return "judge" }

// Serve runs until the context ends.
func (jdg *judge) Serve(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			jdg.poll(now)
		}
	}
}

func (jdg *judge) poll(now time.Time) {
	for agent, lnk := range *jdg.ent.links.current.Load() {
		for _, act := range lnk.Poll(now) {
			jdg.carryOut(agent, act)
		}
	}
}

func (jdg *judge) carryOut(agent netip.AddrPort, act health.LinkAction) {
	switch act.(type) {
	case health.Probe:
		jdg.ping(agent)
	case health.LinkDown:
		jdg.ent.log.Info("agent is silent", zap.Stringer("agent", agent))
		jdg.ping(agent)
	case health.LinkUp:
		jdg.ent.log.Info("agent answers again", zap.Stringer("agent", agent))
	}
}

func (jdg *judge) ping(agent netip.AddrPort) {
	data := make([]byte, frame.HeaderBytes)
	frame.Ping().Put(data)
	if err := jdg.ent.agents.WriteTo(data, agent); err != nil {
		jdg.ent.meter.refused(1)
	}
}
