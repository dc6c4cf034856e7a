package fleet

import (
	"strconv"
	"time"
)

// Upstream is an upstream as the platform lists it, or has listed it.
type Upstream struct {
	id          string // The name of the platform's entry.
	service     string
	address     [4]byte
	port        uint16
	zone        string
	slots       int
	draining    bool
	startMillis int64     // Start of this incarnation, Unix time in ms; 0 when unknown.
	seenAt      time.Time // When this process first read an entry of this incarnation.
	coldUntil   time.Time // Until when the upstream is slow after its start.
	doubtful    bool      // The entry may be that of an upstream that has left.
}

// Listing is the platform's entry of an upstream.
type Listing struct {
	ID          string
	Service     string
	Address     [4]byte
	Port        uint16
	Zone        string
	Slots       int
	Draining    bool
	StartMillis int64         // Start of this incarnation, Unix time in ms; 0 when unknown.
	ColdFor     time.Duration // How long the upstream stays slow, counted from when the entry is read.
}

// NewUpstream returns the upstream of a listing that was read at now.
func NewUpstream(lst Listing, now time.Time) *Upstream {
	return &Upstream{
		id:          lst.ID,
		service:     lst.Service,
		address:     lst.Address,
		port:        lst.Port,
		zone:        lst.Zone,
		slots:       max(lst.Slots, 1),
		draining:    lst.Draining,
		startMillis: lst.StartMillis,
		seenAt:      now,
		coldUntil:   now.Add(lst.ColdFor),
	}
}

// WithDoubt marks the entry as one that may be that of an upstream that has left, and
// returns the upstream. It gets no new flows before its agent is heard.
func (ups *Upstream) WithDoubt() *Upstream {
	ups.doubtful = true
	return ups
}

// ID returns the name of the upstream's entry.
func (ups *Upstream) ID() string { return ups.id }

// Service returns the upstream's service.
func (ups *Upstream) Service() string { return ups.service }

// Address returns the IP address of the upstream's VM.
func (ups *Upstream) Address() [4]byte { return ups.address }

// Port returns the upstream's port.
func (ups *Upstream) Port() uint16 { return ups.port }

// Zone returns the upstream's availability zone.
func (ups *Upstream) Zone() string { return ups.zone }

// Slots returns how many requests the upstream runs concurrently.
func (ups *Upstream) Slots() int { return ups.slots }

// Draining reports whether the upstream takes no new flows.
func (ups *Upstream) Draining() bool { return ups.draining }

// StartedAfter reports whether the upstream is known to have started after a time by
// its VM's clock. A start that was still to come when its entry was first read was
// told by a clock that has been set back since, and proves nothing.
func (ups *Upstream) StartedAfter(when time.Time) bool {
	return ups.startMillis > when.UnixMilli() && ups.startMillis <= ups.seenAt.UnixMilli()
}

// maxClockLead is how far the clock of an upstream's VM may be ahead.
const maxClockLead = time.Hour

// start returns the upstream's start, or 0 if it is unknown or farther in the future
// than clocks differ.
func (ups *Upstream) start() int64 {
	if ups.startMillis > ups.seenAt.Add(maxClockLead).UnixMilli() {
		return 0
	}
	return ups.startMillis
}

// sameIncarnation reports whether two entries describe one run of an upstream.
func (ups *Upstream) sameIncarnation(other *Upstream) bool {
	return ups.id == other.id && ups.service == other.service && ups.startMillis == other.startMillis
}

// startedLater reports whether ups started after old; equal starts are ordered by ID.
func (ups *Upstream) startedLater(old *Upstream) bool {
	if ups.start() != old.start() {
		return ups.start() > old.start()
	}
	return ups.id > old.id
}

// Incarnation returns a text that differs between two runs of an upstream.
func (ups *Upstream) Incarnation() string {
	return ups.service + "/" + ups.id + "/" + strconv.FormatInt(ups.startMillis, 10)
}

// ColdUntil returns until when the upstream is slow after its start.
func (ups *Upstream) ColdUntil() time.Time { return ups.coldUntil }

// Cold reports whether the upstream is still slow after its start.
func (ups *Upstream) Cold(now time.Time) bool { return now.Before(ups.coldUntil) }
