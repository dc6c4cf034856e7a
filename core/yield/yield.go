// Package yield decides when a balancer leaves the rotation because it passes packets
// on late. The load it answers: routers give every balancer of a zone the same share
// of flows, and one with a slow processor or a narrow link gets more than it can carry
// while others have room.
package yield

import (
	"bytes"
	"time"

	"lagoondrum/core/encap"
)

// Timing and limits.
const (
	turnAfter    = 3                      // Intervals in a row after which a balancer counts as weak, or as sound again.
	announceTime = 500 * time.Millisecond // A weak balancer stays for so long, until the announcements of others have crossed its own.
	peerMemory   = 12 * time.Second       // What another balancer said holds for so long.
	shortestStay = 5 * time.Second        // Out of the rotation.
	maxRelapses  = 3                      // Each doubles the stay, to 40 s.
	relapseTime  = 30 * time.Second       // A balancer that leaves again so soon after its return stays away for longer.
	quotaShare   = 4                      // At most one of so many balancers of a zone is out.
	shortShare   = 2                      // When one of so many is weak or out, the zone is short as a whole and nobody leaves.
)

// claim is what another balancer of the zone said last.
type claim struct {
	standing encap.Standing
	until    time.Time // When it no longer holds.
}

// Policy decides for one balancer whether it is in the rotation.
type Policy struct {
	self      [4]byte
	limit     time.Duration
	peers     map[[4]byte]claim
	standing  encap.Standing
	turning   int // Intervals in a row that speak against the standing.
	leaveAt   time.Time
	returnAt  time.Time
	relapseBy time.Time // A balancer that leaves before this time stays away for twice as long as the last time.
	relapses  int
}

// New returns the policy of a balancer with an IP address, which starts sound.
func New(self [4]byte) *Policy {
	return &Policy{self: self, limit: defaultLimit, peers: make(map[[4]byte]claim), standing: encap.Sound}
}

// SetObjective sets the tightest objective of the routes in force, 0 when there is none.
func (pol *Policy) SetObjective(objective time.Duration) {
	pol.limit = defaultLimit
	if objective > 0 {
		pol.limit = objective / limitShare
	}
}

// Standing returns the balancer's standing.
func (pol *Policy) Standing() encap.Standing { return pol.standing }

// Limit returns the mean lateness from which on the balancer is weak.
func (pol *Policy) Limit() time.Duration { return pol.limit }

// NotePeer records what another balancer of the zone said.
func (pol *Policy) NotePeer(ip [4]byte, std encap.Standing, now time.Time) {
	if std != encap.NoStanding && ip != pol.self {
		pol.peers[ip] = claim{standing: std, until: now.Add(peerMemory)}
	}
}

// Peers returns the other balancers known in the zone.
func (pol *Policy) Peers() [][4]byte {
	var ips [][4]byte
	for ip := range pol.peers {
		ips = append(ips, ip)
	}
	return ips
}

// Decide takes the sample of an interval and reports whether the standing changed.
func (pol *Policy) Decide(smp Sample, now time.Time) bool {
	pol.forget(now)
	before := pol.standing
	switch weak := smp.weak(pol.limit); pol.standing {
	case encap.Weak:
		if pol.turned(!weak) {
			pol.standing = encap.Sound
		} else if !now.Before(pol.leaveAt) && pol.mayLeave() {
			pol.leave(now)
		}
	case encap.Out:
		if !weak && !now.Before(pol.returnAt) {
			pol.standing = encap.Sound
			pol.relapseBy = now.Add(relapseTime)
		}
	default:
		if pol.turned(weak) {
			pol.standing = encap.Weak
			pol.leaveAt = now.Add(announceTime)
		}
	}
	if pol.standing != before {
		pol.turning = 0
	}
	return pol.standing != before
}

func (pol *Policy) forget(now time.Time) {
	for ip, clm := range pol.peers {
		if !now.Before(clm.until) {
			delete(pol.peers, ip)
		}
	}
}

// turned counts the intervals in a row that speak against the standing, and reports
// whether there were enough.
func (pol *Policy) turned(against bool) bool {
	pol.turning++
	if !against {
		pol.turning = 0
	}
	return pol.turning >= turnAfter
}

func (pol *Policy) leave(now time.Time) {
	if now.Before(pol.relapseBy) {
		pol.relapses = min(pol.relapses+1, maxRelapses)
	} else {
		pol.relapses = 0
	}
	pol.standing = encap.Out
	pol.returnAt = now.Add(shortestStay << pol.relapses)
}

// mayLeave reports whether the others of the zone can carry the balancer's part.
func (pol *Policy) mayLeave() bool {
	known, weak, ahead := pol.Zone()
	return ahead < known/quotaShare && weak*shortShare <= known
}

// Zone returns how many balancers are known in the zone, this one included, how many
// of them are weak or out, and how many others are out or would leave before this one.
func (pol *Policy) Zone() (known, weak, ahead int) {
	known = 1 + len(pol.peers)
	if pol.standing != encap.Sound {
		weak++
	}
	for ip, clm := range pol.peers {
		if clm.standing == encap.Sound {
			continue
		}
		weak++
		if clm.standing == encap.Out || bytes.Compare(ip[:], pol.self[:]) < 0 {
			ahead++
		}
	}
	return known, weak, ahead
}
