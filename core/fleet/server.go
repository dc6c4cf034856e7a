package fleet

import "time"

// Server is an upstream as the platform lists it.
type Server struct {
	id          string // The name of the platform's entry.
	service     string
	address     [4]byte
	port        uint16
	zone        string
	slots       int
	draining    bool
	startMillis int64     // Start of this incarnation, Unix time in ms; 0 when unknown.
	coldUntil   time.Time // Until when the upstream is slow after its start.
}

// Listing is the platform's entry of an upstream.
type Listing struct {
	ID       string
	Service  string
	Address  [4]byte
	Port     uint16
	Zone     string
	Slots    int
	Draining bool
	Born     int64         // Start of this incarnation, Unix time in ms; 0 when unknown.
	Cold     time.Duration // How long the upstream stays slow, counted from when the entry is read.
}

// NewServer returns the upstream of a listing that was read at now.
func NewServer(lst Listing, now time.Time) *Server {
	return &Server{
		id:          lst.ID,
		service:     lst.Service,
		address:     lst.Address,
		port:        lst.Port,
		zone:        lst.Zone,
		slots:       max(lst.Slots, 1),
		draining:    lst.Draining,
		startMillis: lst.Born,
		coldUntil:   now.Add(lst.Cold),
	}
}

// ID returns the name of the upstream's entry.
func (ups *Server) ID() string { return ups.id }

// Service returns the upstream's service.
func (ups *Server) Service() string { return ups.service }

// Address returns the IP address of the upstream's VM.
func (ups *Server) Address() [4]byte { return ups.address }

// Port returns the upstream's port.
func (ups *Server) Port() uint16 { return ups.port }

// Zone returns the upstream's availability zone.
func (ups *Server) Zone() string { return ups.zone }

// Slots returns how many requests the upstream runs concurrently.
func (ups *Server) Slots() int { return ups.slots }

// Draining reports whether the upstream takes no new flows.
func (ups *Server) Draining() bool { return ups.draining }

// StartedAfter reports whether the upstream is known to have started after a
// time by its VM's clock.
func (ups *Server) StartedAfter(when time.Time) bool { return ups.startMillis > when.UnixMilli() }

// Cold reports whether the upstream is still slow after its start.
func (ups *Server) Cold(now time.Time) bool { return now.Before(ups.coldUntil) }
