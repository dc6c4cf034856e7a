package agent

import (
	"sync"
	"time"

	"lagoondrum/core/drain"
	"lagoondrum/core/lists"
	"lagoondrum/core/table"
)

// drainer is the drain of the agent. It is safe for concurrent use. phaseChanged is
// closed and replaced when the phase changes.
type drainer struct {
	mu           sync.Mutex
	drn          *drain.Drain
	phaseChanged chan struct{}
}

func newDrainer() *drainer { return &drainer{drn: drain.New(), phaseChanged: make(chan struct{})} }

func (drr *drainer) phase() drain.Phase {
	drr.mu.Lock()
	defer drr.mu.Unlock()
	return drr.drn.Phase()
}

func (drr *drainer) leaving() bool { return drr.phase() != drain.Serving }

// watch returns the phase and a channel that is closed when the phase changes.
func (drr *drainer) watch() (drain.Phase, <-chan struct{}) {
	drr.mu.Lock()
	defer drr.mu.Unlock()
	return drr.drn.Phase(), drr.phaseChanged
}

// start starts a drain that ends by deadline.
func (drr *drainer) start(now, deadline time.Time) {
	drr.update(func() { drr.drn.Start(now, deadline) })
}

// setListed applies the state of the agent's VM in the list of VMs. A VM that is not
// listed yet is serving.
func (drr *drainer) setListed(vms *lists.VMs, loc table.Locality, now time.Time) {
	vm, ok := vms.ByAddress(loc.Self())
	drr.update(func() { drr.drn.SetListedLeaving(ok && vm.Leaving(), now) })
}

// advance updates the phase to now, with open pieces of work and requests, and returns
// it.
func (drr *drainer) advance(now time.Time, open int) drain.Phase {
	drr.update(func() { drr.drn.Advance(now, open) })
	return drr.phase()
}

// update applies a change and closes phaseChanged if that changes the phase.
func (drr *drainer) update(change func()) {
	drr.mu.Lock()
	defer drr.mu.Unlock()
	before := drr.drn.Phase()
	change()
	if drr.drn.Phase() != before {
		close(drr.phaseChanged)
		drr.phaseChanged = make(chan struct{})
	}
}
