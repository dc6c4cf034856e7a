package fleet

import "time"

// Server is what the platform lists of one upstream.
type Server struct {
	id       string
	service  string
	address  [4]byte
	port     uint16
	zone     string
	slots    int
	draining bool
	born     int64
	coldTill time.Time
}

// Listing is what an entry of the platform says of an upstream.
type Listing struct {
	ID       string
	Service  string
	Address  [4]byte
	Port     uint16
	Zone     string
	Slots    int
	Draining bool
	Born     int64         // The start of this incarnation, ms since 1970; 0 when unknown.
	Cold     time.Duration // How much longer the upstream is slow, from when the entry is read.
}

// NewServer returns the upstream of a listing that was read at a time.
func NewServer(lst Listing, now time.Time) *Server {
	return &Server{
		id:       lst.ID,
		service:  lst.Service,
		address:  lst.Address,
		port:     lst.Port,
		zone:     lst.Zone,
		slots:    max(lst.Slots, 1),
		draining: lst.Draining,
		born:     lst.Born,
		coldTill: now.Add(lst.Cold),
	}
}

// ID returns the name of the upstream's entry.
func (srv *Server) ID() string { return srv.id }

// Service returns the upstream's service.
func (srv *Server) Service() string { return srv.service }

// Address returns the IP number of the upstream's VM.
func (srv *Server) Address() [4]byte { return srv.address }

// Port returns the upstream's port.
func (srv *Server) Port() uint16 { return srv.port }

// Zone returns the upstream's availability zone.
func (srv *Server) Zone() string { return srv.zone }

// Slots returns how many requests the upstream runs at once.
func (srv *Server) Slots() int { return srv.slots }

// Draining reports whether the upstream takes no new flows.
func (srv *Server) Draining() bool { return srv.draining }

// StartedAfter reports whether the upstream is known to have started after a
// time by its VM's clock.
func (srv *Server) StartedAfter(when time.Time) bool { return srv.born > when.UnixMilli() }

// Cold reports whether the upstream has started lately and is slow.
func (srv *Server) Cold(now time.Time) bool { return now.Before(srv.coldTill) }
