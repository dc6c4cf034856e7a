package fleet

import "time"

// Removed is an upstream whose entry was removed, and that may still hold flows.
type Removed struct {
	listing     Listing
	removedAt   time.Time
	lapsedUntil time.Time
}

// NewRemoved returns an upstream with what its last entry said. It gets new flows until
// lapsedUntil, none if that is zero.
func NewRemoved(lst Listing, removedAt, lapsedUntil time.Time) Removed {
	return Removed{listing: lst, removedAt: removedAt, lapsedUntil: lapsedUntil}
}

// Listing returns what the last entry said.
func (rmv Removed) Listing() Listing { return rmv.listing }

// RemovedAt returns when the removal was learned.
func (rmv Removed) RemovedAt() time.Time { return rmv.removedAt }

// LapsedUntil returns until when the upstream gets new flows, zero if it gets none.
func (rmv Removed) LapsedUntil() time.Time { return rmv.lapsedUntil }

// Restart is a restart that an agent has announced.
type Restart struct {
	id    string
	until time.Time
}

// NewRestart returns the restart of the agent beside the upstream with an ID, which is
// waited for until the given time.
func NewRestart(id string, until time.Time) Restart { return Restart{id: id, until: until} }

// ID returns the ID of the upstream beside the agent.
func (rst Restart) ID() string { return rst.id }

// Until returns until when the restart is waited for.
func (rst Restart) Until() time.Time { return rst.until }

// Memory is what a process knows of upstreams and agents that no list tells, and that it
// tells processes that start.
type Memory struct {
	removed    []Removed
	restarting []Restart
	settled    bool
}

// NewMemory returns the memory of a process. It is settled if it lacks no upstream that
// may hold flows.
func NewMemory(removed []Removed, restarting []Restart, settled bool) Memory {
	return Memory{removed: removed, restarting: restarting, settled: settled}
}

// Removed returns the upstreams without an entry.
func (mem Memory) Removed() []Removed { return mem.removed }

// Restarting returns the announced restarts that are under way.
func (mem Memory) Restarting() []Restart { return mem.restarting }

// Settled reports whether no upstream is lacking that may hold flows.
func (mem Memory) Settled() bool { return mem.settled }

// Memory returns what other processes are told.
func (flt *Fleet) Memory(now time.Time) Memory {
	mem := Memory{settled: flt.Settled()}
	for _, agt := range flt.all {
		if agt.entry.removed() && !agt.Ended() {
			mem.removed = append(mem.removed, NewRemoved(agt.upstream.listing(), agt.entry.removedAt, agt.entry.lapsedUntil))
		}
		if now.Before(agt.restartUntil) {
			mem.restarting = append(mem.restarting, NewRestart(agt.upstream.id, agt.restartUntil))
		}
	}
	return mem
}

// MergeMemory adds what another process knows, unless this one is settled. What it has
// learned itself goes before what it is told.
func (flt *Fleet) MergeMemory(mem Memory, now time.Time) {
	if flt.Settled() {
		return
	}
	for _, rmv := range mem.removed {
		flt.mergeRemoved(rmv, now)
	}
	flt.rebuild()
	for _, rst := range mem.restarting {
		if ent := flt.entries[rst.id]; ent != nil {
			flt.agents[ent.upstream.address].noteToldRestart(ent, rst.until)
		}
	}
	flt.unsettled = !mem.settled
}

// mergeRemoved adds an upstream that another process knows to have been listed, unless
// this one knows its entry, or a successor. It gets new flows once its agent is heard.
func (flt *Fleet) mergeRemoved(rmv Removed, now time.Time) {
	if flt.entries[rmv.listing.ID] != nil || !now.Before(rmv.removedAt.Add(departedRetention)) {
		return
	}
	ups := NewUpstream(rmv.listing, rmv.removedAt).WithDoubt()
	for _, ent := range flt.entries {
		if ent.upstream.address == ups.address && (flt.succeeds(ent.upstream, ups, false) || ent.removed()) {
			return
		}
	}
	flt.entries[ups.id] = &entry{upstream: ups, removedAt: rmv.removedAt, lapsedUntil: rmv.lapsedUntil}
	flt.noteChange(ups, Told)
}

// noteToldRestart records a restart that the agent has announced to another process. One
// that was heard here since may be back.
func (agt *Agent) noteToldRestart(ent *entry, until time.Time) {
	if agt.entry == ent && agt.heardAt.IsZero() {
		agt.leaving, agt.restartUntil = true, until
	}
}

// listing returns what the upstream's entry said, as far as other processes are told.
func (ups *Upstream) listing() Listing {
	return Listing{
		ID: ups.id, Service: ups.service, Address: ups.address, Port: ups.port, Zone: ups.zone,
		Slots: ups.slots, Draining: ups.draining, StartMillis: ups.startMillis,
	}
}
