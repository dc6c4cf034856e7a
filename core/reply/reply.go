// Package reply decides through which balancer an agent answers a caller.
package reply

import (
	"net/netip"
	"time"
)

// Windows of the choice.
const (
	FreshFor  = 500 * time.Millisecond // A balancer heard this lately shares the answers.
	RecentFor = 5 * time.Second        // One heard this lately serves when none is fresh.
	maxHeard  = 1024
)

// Paths remembers which balancers were heard lately. A balancer that is heard
// is alive, reaches the agent, and is reached by callers.
type Paths struct {
	heard  map[netip.AddrPort]time.Time
	fresh  []netip.AddrPort
	until  time.Time
	listed []netip.AddrPort
}

// New returns an empty memory.
func New() *Paths { return &Paths{heard: make(map[netip.AddrPort]time.Time)} }

// SetListed sets the balancers that the list of VMs names as live; they serve
// when none was heard lately.
func (pth *Paths) SetListed(balancers []netip.AddrPort) { pth.listed = balancers }

// NoteHeard records a datagram from a balancer.
func (pth *Paths) NoteHeard(balancer netip.AddrPort, now time.Time) {
	last, ok := pth.heard[balancer]
	pth.heard[balancer] = now
	if !ok || now.Sub(last) >= FreshFor {
		pth.until = time.Time{}
	}
	if len(pth.heard) > maxHeard {
		pth.forget(now)
	}
}

// Pick returns a balancer to answer through, zero when none is known. The
// number spreads the answers over those that are equally good.
func (pth *Paths) Pick(number uint64, now time.Time) netip.AddrPort {
	if !now.Before(pth.until) {
		pth.refresh(now)
	}
	if len(pth.fresh) > 0 {
		return pth.fresh[number%uint64(len(pth.fresh))]
	}
	if latest := pth.latest(now); latest.IsValid() {
		return latest
	}
	if len(pth.listed) > 0 {
		return pth.listed[number%uint64(len(pth.listed))]
	}
	return netip.AddrPort{}
}

// refresh collects the fresh balancers; the result serves until the first of
// them may have gone stale.
func (pth *Paths) refresh(now time.Time) {
	pth.fresh = pth.fresh[:0]
	pth.until = now.Add(FreshFor / 5)
	for balancer, at := range pth.heard {
		if now.Sub(at) < FreshFor {
			pth.fresh = append(pth.fresh, balancer)
		}
	}
}

func (pth *Paths) latest(now time.Time) netip.AddrPort {
	var best netip.AddrPort
	var bestAt time.Time
	for balancer, at := range pth.heard {
		if now.Sub(at) < RecentFor && at.After(bestAt) {
			best, bestAt = balancer, at
		}
	}
	return best
}

func (pth *Paths) forget(now time.Time) {
	for balancer, at := range pth.heard {
		if now.Sub(at) >= RecentFor {
			delete(pth.heard, balancer)
		}
	}
}
