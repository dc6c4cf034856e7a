package agent

import (
	"sync"
	"time"

	"lagoondrum/core/drain"
	"lagoondrum/core/lists"
	"lagoondrum/core/table"
)

// drainer is the drain of the agent, safe for concurrent use.
type drainer struct {
	mu     sync.Mutex
	drn    *drain.Drain
	change chan struct{}
}

func newDrainer() *drainer { return &drainer{drn: drain.New(), change: make(chan struct{})} }

func (drr *drainer) phase() drain.Phase {
	drr.mu.Lock()
	defer drr.mu.Unlock()
	return drr.drn.Phase()
}

func (drr *drainer) leaving() bool { return drr.phase() != drain.Serving }

// changed returns the phase and a channel that is closed when it changes.
func (drr *drainer) changed() (drain.Phase, <-chan struct{}) {
	drr.mu.Lock()
	defer drr.mu.Unlock()
	return drr.drn.Phase(), drr.change
}

func (drr *drainer) signal(now, deadline time.Time) {
	drr.update(func() { drr.drn.Start(now, deadline) })
}

// listed takes what the list of VMs says about the own VM. A VM that no list
// names yet serves.
func (drr *drainer) listed(vms *lists.VMs, loc table.Locality, now time.Time) {
	vm, ok := vms.ByAddress(loc.Self())
	drr.update(func() { drr.drn.SetListedLeaving(ok && vm.Leaving(), now) })
}

func (drr *drainer) advance(now time.Time, open int) drain.Phase {
	drr.update(func() { drr.drn.Advance(now, open) })
	return drr.phase()
}

func (drr *drainer) update(step func()) {
	drr.mu.Lock()
	defer drr.mu.Unlock()
	before := drr.drn.Phase()
	step()
	if drr.drn.Phase() != before {
		close(drr.change)
		drr.change = make(chan struct{})
	}
}
