// Package reply selects the balancer through which an agent answers a caller.
package reply

import (
	"net/netip"
	"time"
)

// Limits of the selection.
const (
	FreshWindow  = 500 * time.Millisecond // The balancers heard within this time share the answers.
	RecentWindow = 5 * time.Second        // Without a fresh balancer, the last one heard within this time gets all answers.
	maxHeard     = 1024                   // With more balancers stored, stale ones are removed.
)

// ReturnPaths stores when each balancer was last heard. A balancer that was
// heard just now is alive, reaches the agent, and is reached by callers.
type ReturnPaths struct {
	heardAt   map[netip.AddrPort]time.Time
	fresh     []netip.AddrPort
	refreshAt time.Time
	listed    []netip.AddrPort
}

// New returns a ReturnPaths without balancers.
func New() *ReturnPaths { return &ReturnPaths{heardAt: make(map[netip.AddrPort]time.Time)} }

// SetListed sets the live balancers of the list of VMs. They are used when no
// balancer was heard within RecentWindow.
func (rps *ReturnPaths) SetListed(balancers []netip.AddrPort) { rps.listed = balancers }

// NoteHeard records a datagram from a balancer. One that was not fresh before is
// considered by the next Pick.
func (rps *ReturnPaths) NoteHeard(balancer netip.AddrPort, now time.Time) {
	last, ok := rps.heardAt[balancer]
	rps.heardAt[balancer] = now
	if !ok || now.Sub(last) >= FreshWindow {
		rps.refreshAt = time.Time{}
	}
	if len(rps.heardAt) > maxHeard {
		rps.forgetStale(now)
	}
}

// Pick returns a balancer to answer through, the zero address when none is known.
// Consecutive numbers spread the answers over equally good balancers.
func (rps *ReturnPaths) Pick(number uint64, now time.Time) netip.AddrPort {
	if !now.Before(rps.refreshAt) {
		rps.refresh(now)
	}
	if len(rps.fresh) > 0 {
		return rps.fresh[number%uint64(len(rps.fresh))]
	}
	if latest := rps.latestHeard(now); latest.IsValid() {
		return latest
	}
	if len(rps.listed) > 0 {
		return rps.listed[number%uint64(len(rps.listed))]
	}
	return netip.AddrPort{}
}

// refresh collects the fresh balancers. The result is used for a fifth of
// FreshWindow, so that a balancer that is no longer heard is dropped soon after.
func (rps *ReturnPaths) refresh(now time.Time) {
	rps.fresh = rps.fresh[:0]
	rps.refreshAt = now.Add(FreshWindow / 5)
	for balancer, at := range rps.heardAt {
		if now.Sub(at) < FreshWindow {
			rps.fresh = append(rps.fresh, balancer)
		}
	}
}

// latestHeard returns the balancer last heard, the zero address when that was not
// within RecentWindow.
func (rps *ReturnPaths) latestHeard(now time.Time) netip.AddrPort {
	var best netip.AddrPort
	var bestAt time.Time
	for balancer, at := range rps.heardAt {
		if now.Sub(at) < RecentWindow && at.After(bestAt) {
			best, bestAt = balancer, at
		}
	}
	return best
}

// forgetStale removes the balancers not heard within RecentWindow.
func (rps *ReturnPaths) forgetStale(now time.Time) {
	for balancer, at := range rps.heardAt {
		if now.Sub(at) >= RecentWindow {
			delete(rps.heardAt, balancer)
		}
	}
}
