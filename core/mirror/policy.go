package mirror

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Timing and number of the processes that read the platform.
const (
	ReaderCount         = 2                       // Balancers that read at the same time, so that one of them may fail.
	peerTimeout         = 1200 * time.Millisecond // A balancer without a heartbeat for this long does not count as a reader.
	backupRetryInterval = 4 * time.Second         // Between the attempts of a backup reader while the platform answers nobody.
	bootstrapDelay      = time.Second             // Time for the seeds to read the state when the whole system starts for the first time.
	bootstrapStagger    = 100 * time.Millisecond  // Delay between the slots of the other processes, for their first requests to the seeds.
	agentStagger        = 200 * time.Millisecond  // Delay between the slots of agents that become backup readers.
	staggerSlots        = 15
)

// Parts of the age that the state may reach at most. They leave the first backup
// reader time to spread what it has read, and the last one time for a slow answer.
const (
	freshShare    = 0.6 // A confirmed state is fresh for so long, which covers a call that waits for changes and the heartbeats after it.
	takeoverShare = 0.8 // By then every balancer that no reader keeps up to date reads.
)

// Claims is what a balancer says of itself in a heartbeat.
type Claims struct {
	confirmedAt       time.Time
	platformReachable bool
	reading           bool
	seed              bool
}

// NewClaims returns the claims of a balancer whose state was confirmed at the given
// time: whether the platform answered its last call, whether it reads the platform,
// and whether it is a seed by its own settings.
func NewClaims(confirmedAt time.Time, platformReachable, reading, seed bool) Claims {
	return Claims{confirmedAt: confirmedAt, platformReachable: platformReachable, reading: reading, seed: seed}
}

// WithoutReading returns the claims of a balancer that does not count as a reader.
func (clm Claims) WithoutReading() Claims {
	clm.reading = false
	return clm
}

// ConfirmedAt returns when the balancer's state was confirmed to be the newest.
func (clm Claims) ConfirmedAt() time.Time { return clm.confirmedAt }

// peer is another balancer, with the claims of its last heartbeat.
type peer struct {
	Claims
	heardAt time.Time
}

// ReaderPolicy decides whether a process reads the platform itself. The seeds
// do, as every process knows them whatever the size of the fleet: two at a
// time, those with the highest hash. The other processes learn the state from
// them, and become backup readers when their own state is stale. Settings of
// processes may name different seeds, so who reads is known from the readers
// themselves, and only as long as they are heard and their own state is fresh.
type ReaderPolicy struct {
	self              [4]byte
	balancer          bool
	seeds             map[[4]byte]bool // When empty, every balancer counts as a seed.
	platformReachable bool             // The platform answered this process's last call.
	backup            bool
	peers             map[[4]byte]peer
	awayAt            time.Time     // When a reader last knew that the platform does not answer.
	maxAge            time.Duration // Of the state: a change at the platform takes effect within this time.
	confirmedAt       time.Time
	retryAt           time.Time // A backup reader does not call the platform before this time.
}

// NewReaderPolicy returns the policy of a process on the VM with the IP address
// self. Seeds are the IP addresses of the balancers that read the platform. A change
// at the platform has to take effect within maxAge.
func NewReaderPolicy(self [4]byte, balancer bool, seeds [][4]byte, maxAge time.Duration) *ReaderPolicy {
	pol := &ReaderPolicy{self: self, balancer: balancer, platformReachable: true, maxAge: maxAge, peers: make(map[[4]byte]peer)}
	pol.SetSeeds(seeds)
	return pol
}

// SetSeeds sets which balancers read the platform.
func (pol *ReaderPolicy) SetSeeds(seeds [][4]byte) {
	pol.seeds = make(map[[4]byte]bool, len(seeds))
	for _, ip := range seeds {
		pol.seeds[ip] = true
	}
}

// SetMaxAge sets within which time a change at the platform has to take effect.
func (pol *ReaderPolicy) SetMaxAge(maxAge time.Duration) { pol.maxAge = maxAge }

// NoteCall records whether the platform answered a call of this process.
func (pol *ReaderPolicy) NoteCall(answered bool, now time.Time) {
	pol.platformReachable = answered
	if !answered {
		pol.awayAt = now
	}
	switch {
	case answered:
		pol.confirmedAt = now
	case !pol.confirmedAt.IsZero() && !pol.Seed():
		pol.retryAt = now.Add(backupRetryInterval)
	}
}

// NotePeer records the claims of another balancer's heartbeat.
func (pol *ReaderPolicy) NotePeer(ip [4]byte, clm Claims, now time.Time) {
	pol.peers[ip] = peer{Claims: clm, heardAt: now}
	if clm.reading && !clm.platformReachable {
		pol.awayAt = now
	}
}

// NoteReturned records that the store has returned from a copy, so that it was away.
func (pol *ReaderPolicy) NoteReturned(at time.Time) { pol.awayAt = at }

// AwayAt returns when this process or another reader last knew that the platform does
// not answer, the zero time if none ever did.
func (pol *ReaderPolicy) AwayAt() time.Time { return pol.awayAt }

// NoteConfirmed records that the state was the platform's newest at the given time.
func (pol *ReaderPolicy) NoteConfirmed(at time.Time) {
	if at.After(pol.confirmedAt) {
		pol.confirmedAt = at
	}
}

// ConfirmedAt returns when the state was last known to be the newest.
func (pol *ReaderPolicy) ConfirmedAt() time.Time { return pol.confirmedAt }

// PlatformReachable reports whether the platform answered this process's last call.
func (pol *ReaderPolicy) PlatformReachable() bool { return pol.platformReachable }

// Balancers returns the balancers with a recent heartbeat, and those among them
// that read the platform.
func (pol *ReaderPolicy) Balancers(now time.Time) (heard, reading [][4]byte) {
	for ip, per := range pol.peers {
		if now.Sub(per.heardAt) > 10*peerTimeout {
			delete(pol.peers, ip)
			continue
		}
		heard = append(heard, ip)
		if per.reading {
			reading = append(reading, ip)
		}
	}
	return heard, reading
}

// Seed reports whether the process is a seed by its own settings.
func (pol *ReaderPolicy) Seed() bool {
	return pol.balancer && (len(pol.seeds) == 0 || pol.seeds[pol.self])
}

// Reads decides whether the process reads the platform now.
func (pol *ReaderPolicy) Reads(now time.Time) bool {
	switch {
	case now.Before(pol.retryAt):
		return false
	case pol.confirmedAt.IsZero():
		return true
	case !pol.balancer:
		return !now.Before(pol.agentTakeoverAt())
	case !now.Before(pol.overdueAt()):
		pol.backup = true
		return true
	case !now.Before(pol.takeoverAt()):
		pol.backup = true
	}
	if !pol.Seed() && !pol.backup {
		return false
	}
	if pol.preferredReaders(now) >= ReaderCount {
		pol.backup = false
		return false
	}
	return true
}

// BootstrapAt returns when a process first asks for the state if the whole system
// starts at the given time: the seeds at once, the others when the seeds know it.
func (pol *ReaderPolicy) BootstrapAt(start time.Time) time.Time {
	if pol.Seed() {
		return start
	}
	return start.Add(bootstrapDelay + pol.staggerSlot()*bootstrapStagger)
}

// Readers returns how many other balancers keep their state up to date by reading the
// platform.
func (pol *ReaderPolicy) Readers(now time.Time) int {
	return pol.countPeers(func(_ [4]byte, per peer) bool { return pol.readsNow(per, now) })
}

// preferredReaders returns how many of them read in preference to this process.
func (pol *ReaderPolicy) preferredReaders(now time.Time) int {
	return pol.countPeers(func(ip [4]byte, per peer) bool { return pol.readsNow(per, now) && pol.preferred(ip, per) })
}

func (pol *ReaderPolicy) countPeers(matches func(ip [4]byte, per peer) bool) int {
	count := 0
	for ip, per := range pol.peers {
		if matches(ip, per) {
			count++
		}
	}
	return count
}

// readsNow reports whether a balancer keeps its state up to date by reading the
// platform.
func (pol *ReaderPolicy) readsNow(per peer, now time.Time) bool {
	return per.reading && per.platformReachable && now.Sub(per.heardAt) < peerTimeout && pol.Fresh(per.confirmedAt, now)
}

// preferred reports whether a balancer reads in preference to this one: seeds come
// first, then the higher hash. The order is the same at all processes, since each
// tells by its own settings whether it is a seed.
func (pol *ReaderPolicy) preferred(ip [4]byte, per peer) bool {
	if per.seed != pol.Seed() {
		return per.seed
	}
	return rankOf(ip) > rankOf(pol.self)
}

// Fresh reports whether a state that was confirmed at the given time needs no new
// confirmation yet.
func (pol *ReaderPolicy) Fresh(confirmedAt, now time.Time) bool {
	return now.Before(confirmedAt.Add(pol.share(freshShare)))
}

// takeoverAt returns when a balancer becomes a backup reader, unless two others
// read: after the state has ceased to be fresh, in the order of their slots.
func (pol *ReaderPolicy) takeoverAt() time.Time {
	delay := pol.share(takeoverShare-freshShare) * pol.staggerSlot() / staggerSlots
	return pol.confirmedAt.Add(pol.share(freshShare) + delay)
}

// overdueAt returns when a balancer reads whoever else does, because the others
// have not kept its state up to date.
func (pol *ReaderPolicy) overdueAt() time.Time {
	return pol.confirmedAt.Add(pol.share(takeoverShare))
}

// agentTakeoverAt returns when an agent reads: after all balancers, as only they
// send new flows to upstreams.
func (pol *ReaderPolicy) agentTakeoverAt() time.Time {
	return pol.confirmedAt.Add(pol.maxAge + (staggerSlots+pol.staggerSlot())*agentStagger)
}

// share returns a part of the age that the state may reach.
func (pol *ReaderPolicy) share(part float64) time.Duration {
	return time.Duration(part * float64(pol.maxAge))
}

// staggerSlot returns the slot by which the process delays an action that other
// processes would take at the same time.
func (pol *ReaderPolicy) staggerSlot() time.Duration {
	return time.Duration(rankOf(pol.self) % staggerSlots)
}

// rankOf returns the hash of an IP address, which orders the processes in the same
// way everywhere.
func rankOf(ip [4]byte) uint64 { return xxhash.Sum64(ip[:]) }
