package mirror

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Timing of who reads the platform.
const (
	Readers       = 2                       // Balancers that read at the same time, so that one may fail.
	peerTime      = 1200 * time.Millisecond // A balancer that was not heard for this long is not counted on.
	StaleTime     = 3 * time.Second         // A state that was not confirmed for this long makes others read: a call that waits, and one that fails.
	takeoverStep  = 200 * time.Millisecond  // Between processes that take over, by rank.
	takeoverSteps = 15
)

// peer is what is known of another balancer's reading.
type peer struct {
	heardAt time.Time
	able    bool
}

// Duty decides whether a process reads the platform itself. Few balancers do,
// by rank; the others learn from them, and step in when what they know grows
// stale.
type Duty struct {
	self        [4]byte
	balancer    bool
	able        bool // The platform answers this process.
	peers       map[[4]byte]peer
	confirmedAt time.Time
}

// NewDuty returns the duty of a process on the VM with an IP number.
func NewDuty(self [4]byte, balancer bool) *Duty {
	return &Duty{self: self, balancer: balancer, able: true, peers: make(map[[4]byte]peer)}
}

// NoteCall records whether the platform answered this process.
func (dty *Duty) NoteCall(answered bool, now time.Time) {
	dty.able = answered
	if answered {
		dty.confirmedAt = now
	}
}

// NotePeer records a heartbeat of another balancer, which is able to read the
// platform or not.
func (dty *Duty) NotePeer(ip [4]byte, able bool, now time.Time) {
	dty.peers[ip] = peer{heardAt: now, able: able}
}

// NoteConfirmed records that the state was the platform's newest at a time.
func (dty *Duty) NoteConfirmed(at time.Time) {
	if at.After(dty.confirmedAt) {
		dty.confirmedAt = at
	}
}

// ConfirmedAt returns when the state was last known to be the newest.
func (dty *Duty) ConfirmedAt() time.Time { return dty.confirmedAt }

// Able reports whether the platform answered this process's last call.
func (dty *Duty) Able() bool { return dty.able }

// Balancers returns the balancers that were heard lately.
func (dty *Duty) Balancers(now time.Time) [][4]byte {
	var ips [][4]byte
	for ip, per := range dty.peers {
		if now.Sub(per.heardAt) < peerTime {
			ips = append(ips, ip)
		} else if now.Sub(per.heardAt) > 10*peerTime {
			delete(dty.peers, ip)
		}
	}
	return ips
}

// Reads reports whether the process reads the platform now.
func (dty *Duty) Reads(now time.Time) bool {
	if dty.confirmedAt.IsZero() || now.After(dty.takeoverAt()) {
		return true
	}
	if !dty.balancer {
		return false
	}
	better := 0
	for ip, per := range dty.peers {
		if per.able && now.Sub(per.heardAt) < peerTime && rankOf(ip) > rankOf(dty.self) {
			better++
		}
	}
	return better < Readers
}

// takeoverAt returns when the process reads in place of others.
func (dty *Duty) takeoverAt() time.Time {
	step := rankOf(dty.self) % takeoverSteps
	if !dty.balancer {
		step += takeoverSteps
	}
	return dty.confirmedAt.Add(StaleTime + time.Duration(step)*takeoverStep)
}

func rankOf(ip [4]byte) uint64 { return xxhash.Sum64(ip[:]) }
