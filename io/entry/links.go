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

// linkSet holds one link for each agent of the table. Reads do not lock: an update
// replaces the whole map.
type linkSet struct {
	mu      sync.Mutex
	current atomic.Pointer[map[netip.AddrPort]*health.Link]
}

// LinkState is an agent's address and the state of the link to it.
type LinkState struct {
	agent netip.AddrPort
	link  *health.Link
}

// Agent returns the agent's address.
func (lst LinkState) Agent() netip.AddrPort { return lst.agent }

// Link returns the state of the link.
func (lst LinkState) Link() *health.Link { return lst.link }

func newLinkSet() *linkSet {
	set := &linkSet{}
	set.current.Store(&map[netip.AddrPort]*health.Link{})
	return set
}

// Link returns the link to an agent, nil when the agent is not in the table.
func (set *linkSet) Link(agent netip.AddrPort) *health.Link { return (*set.current.Load())[agent] }

// update keeps the links to agents in tab, adds the missing ones and removes the
// others.
func (set *linkSet) update(tab *table.Table) {
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

// linkPoller polls the links every pollInterval and sends the probes that they
// request.
type linkPoller struct{ ent *Entry }

func (plr *linkPoller) String() string { return "judge" }

// Serve runs until the context ends.
func (plr *linkPoller) Serve(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			plr.pollLinks(now)
		}
	}
}

func (plr *linkPoller) pollLinks(now time.Time) {
	for agent, lnk := range *plr.ent.links.current.Load() {
		for _, act := range lnk.Poll(now) {
			plr.perform(agent, act)
		}
	}
}

func (plr *linkPoller) perform(agent netip.AddrPort, act health.LinkAction) {
	switch act.(type) {
	case health.Probe:
		plr.sendPing(agent)
	case health.LinkDown:
		plr.ent.log.Info("link to agent is down: agent does not answer", zap.Stringer("agent", agent))
		plr.sendPing(agent)
	case health.LinkUp:
		plr.ent.log.Info("link to agent is up: agent answers again", zap.Stringer("agent", agent))
	}
}

func (plr *linkPoller) sendPing(agent netip.AddrPort) {
	data := make([]byte, frame.HeaderBytes)
	frame.Ping().Put(data)
	if err := plr.ent.agentConn.WriteTo(data, agent); err != nil {
		plr.ent.meter.countUnsent(1)
	}
}
