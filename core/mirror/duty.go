package mirror

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Timing of who reads the platform.
const (
	Readers       = 2                       // Balancers that read at the same time, so that one may fail.
	peerTime      = 1200 * time.Millisecond // A reader that was not heard for this long is not counted on.
	StaleTime     = 3 * time.Second         // A state that was not confirmed for this long makes others read: a call that waits, the spread of its answer, and some slack.
	takeoverStep  = 200 * time.Millisecond  // Between processes that stand in, by rank.
	takeoverSteps = 15
	standInRetry  = 4 * time.Second        // Between the attempts of a process that stands in while the platform answers nobody.
	firstWait     = time.Second            // For the seeds to know the state, when the whole system starts for the first time.
	firstStep     = 100 * time.Millisecond // Between the first questions of the others, by rank.
)

// peer is what is known of another balancer's reading.
type peer struct {
	heardAt time.Time
	able    bool
	reads   bool
}

// Duty decides whether a process reads the platform itself. The seeds do, as every
// process knows them, whatever the size of the fleet: two at a time, by rank. The
// others learn from them, and stand in when what they know grows stale.
type Duty struct {
	self        [4]byte
	balancer    bool
	seeds       map[[4]byte]bool // Without any, every balancer counts as one.
	able        bool             // The platform answers this process.
	standsIn    bool
	peers       map[[4]byte]peer
	confirmedAt time.Time
	retryAt     time.Time // Before it a process that stands in does not try again.
}

// NewDuty returns the duty of a process on the VM with an IP number. Seeds are the
// IP numbers of the balancers that read.
func NewDuty(self [4]byte, balancer bool, seeds [][4]byte) *Duty {
	dty := &Duty{self: self, balancer: balancer, able: true, peers: make(map[[4]byte]peer)}
	dty.SetSeeds(seeds)
	return dty
}

// SetSeeds sets which balancers read.
func (dty *Duty) SetSeeds(seeds [][4]byte) {
	dty.seeds = make(map[[4]byte]bool, len(seeds))
	for _, ip := range seeds {
		dty.seeds[ip] = true
	}
}

// NoteCall records whether the platform answered this process.
func (dty *Duty) NoteCall(answered bool, now time.Time) {
	dty.able = answered
	switch {
	case answered:
		dty.confirmedAt = now
	case !dty.confirmedAt.IsZero() && !(dty.balancer && dty.isSeed(dty.self)):
		dty.retryAt = now.Add(standInRetry)
	}
}

// NotePeer records a heartbeat of another balancer, which is able to read the
// platform or not, and reads it or not.
func (dty *Duty) NotePeer(ip [4]byte, able, reads bool, now time.Time) {
	dty.peers[ip] = peer{heardAt: now, able: able, reads: reads}
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

// Balancers returns the balancers that were heard lately, and of those the ones
// that read the platform.
func (dty *Duty) Balancers(now time.Time) (heard, reading [][4]byte) {
	for ip, per := range dty.peers {
		if now.Sub(per.heardAt) > 10*peerTime {
			delete(dty.peers, ip)
			continue
		}
		heard = append(heard, ip)
		if per.reads {
			reading = append(reading, ip)
		}
	}
	return heard, reading
}

func (dty *Duty) isSeed(ip [4]byte) bool { return len(dty.seeds) == 0 || dty.seeds[ip] }

// Reads decides whether the process reads the platform now.
func (dty *Duty) Reads(now time.Time) bool {
	switch {
	case now.Before(dty.retryAt):
		return false
	case dty.confirmedAt.IsZero():
		return true
	case now.After(dty.takeoverAt()):
		dty.standsIn = true
	}
	if !dty.balancer {
		return now.After(dty.takeoverAt())
	}
	if !dty.isSeed(dty.self) && !dty.standsIn {
		return false
	}
	if dty.better(now) >= Readers {
		dty.standsIn = false
		return false
	}
	return true
}

// FirstAt returns when a process that starts together with the whole system at a
// time asks for the state: the seeds at once, and the others when seeds know it.
func (dty *Duty) FirstAt(start time.Time) time.Time {
	if dty.balancer && dty.isSeed(dty.self) {
		return start
	}
	return start.Add(firstWait + dty.step()*firstStep)
}

// better returns how many balancers that are known to read go before this one.
func (dty *Duty) better(now time.Time) int {
	count := 0
	for ip, per := range dty.peers {
		if per.able && now.Sub(per.heardAt) < peerTime && (per.reads || dty.isSeed(ip)) && dty.before(ip) {
			count++
		}
	}
	return count
}

// before reports whether another balancer reads rather than this one.
func (dty *Duty) before(ip [4]byte) bool {
	if seed := dty.isSeed(ip); seed != dty.isSeed(dty.self) {
		return seed
	}
	return rankOf(ip) > rankOf(dty.self)
}

// takeoverAt returns when the process reads in place of others.
func (dty *Duty) takeoverAt() time.Time {
	step := dty.step()
	if !dty.balancer {
		step += takeoverSteps
	}
	return dty.confirmedAt.Add(StaleTime + step*takeoverStep)
}

// step returns the turn of the process among those that would do the same thing at
// the same time.
func (dty *Duty) step() time.Duration { return time.Duration(rankOf(dty.self) % takeoverSteps) }

func rankOf(ip [4]byte) uint64 { return xxhash.Sum64(ip[:]) }
