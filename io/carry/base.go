// Package carry runs the processes of lagoondrum where callers speak packets of
// the platform's own format: sockets, timers, heartbeats, readiness, logs and
// metrics around the decisions of core/track and core/flows.
package carry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"lagoondrum/core/encap"
	"lagoondrum/core/fleet"
	"lagoondrum/core/intent"
	"lagoondrum/io/conf"
	"lagoondrum/io/gossip"
	"lagoondrum/io/logs"
	"lagoondrum/io/mmsg"
	"lagoondrum/io/stats"
	"lagoondrum/platform"
)

// Timing and limits of every process.
const (
	busyTick          = 10 * time.Millisecond // Between ticks while answers are awaited.
	idleTick          = 50 * time.Millisecond // Between ticks otherwise.
	heartbeatInterval = 250 * time.Millisecond
	newsFanout        = 5               // Processes that are told at once of a new state: 4,180 of them are reached in six steps.
	headerTimeout     = 2 * time.Second // For a request to an own HTTP address.
	schedulers        = 4               // Readers block in system calls; with one scheduler each the others need not wait for the runtime to notice.
	gcPercent         = 50              // Heap growth between collections: the heap is some MB, and memory is scarce.
)

// base is what every process has.
type base struct {
	set         *conf.Settings
	log         *zap.Logger
	out         *logs.Output
	scope       *stats.Scope
	store       *platform.Store
	rep         *gossip.Replica
	peers       *mmsg.Conn
	post        *post // Over peers.
	self        netip.AddrPort
	incarnation uint64
	ready       atomic.Bool
	sup         *suture.Supervisor
}

func newBase(set *conf.Settings, log *zap.Logger, out *logs.Output, balancer bool) (*base, error) {
	debug.SetGCPercent(gcPercent)
	runtime.GOMAXPROCS(schedulers)
	self := set.PeerAddress()
	con, err := mmsg.Listen(self, false)
	if err != nil {
		return nil, err
	}
	bas := &base{
		set:         set,
		log:         log,
		out:         out,
		scope:       stats.New(set.Name()),
		peers:       con,
		post:        newPost(con),
		self:        self,
		incarnation: rand.Uint64() | 1,
		sup:         suture.New(set.Name(), suture.Spec{EventHook: func(evt suture.Event) { log.Warn("supervisor", zap.String("event", evt.String())) }}),
	}
	bas.store = platform.NewStore(set.Platform())
	bas.rep = gossip.New(bas.store, platform.HistoryLost, self.Addr().As4(), balancer, set.FirstStart(), bas.seeds(set), log)
	return bas, nil
}

// seeds returns where the seeds listen for other processes.
func (bas *base) seeds(set *conf.Settings) []netip.AddrPort {
	var all []netip.AddrPort
	for _, seed := range set.Seeds() {
		all = append(all, netip.AddrPortFrom(seed.Addr(), bas.self.Port()))
	}
	return all
}

// newTracker returns the tracker of a process that starts now.
func (bas *base) newTracker(now time.Time) *intent.Tracker {
	if bas.set.FirstStart() {
		return intent.NewTracker(time.Time{})
	}
	return intent.NewTracker(now)
}

// serveHTTP adds the process's HTTP addresses to its supervisor.
func (bas *base) serveHTTP() error {
	changes := http.NewServeMux()
	changes.Handle(gossip.ChangesPath, bas.rep)
	ready := http.NewServeMux()
	ready.HandleFunc(platform.ReadyPath, bas.serveReady)
	metrics := http.NewServeMux()
	metrics.Handle("/metrics", bas.scope)
	for addr, mux := range map[netip.AddrPort]*http.ServeMux{
		bas.self:                 changes,
		bas.set.ReadyAddress():   ready,
		bas.set.MetricsAddress(): metrics,
	} {
		lst, err := net.Listen("tcp4", addr.String())
		if err != nil {
			return errors.Wrapf(err, "listen at %s", addr)
		}
		bas.sup.Add(&server{lst: lst, srv: &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}})
	}
	return nil
}

func (bas *base) serveReady(rw http.ResponseWriter, _ *http.Request) {
	if !bas.ready.Load() {
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
}

// server is one HTTP address.
type server struct {
	lst net.Listener
	srv *http.Server
}

// Serve answers until ctx ends.
func (srv *server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = srv.srv.Close() })
	defer stop()
	if err := srv.srv.Serve(srv.lst); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return suture.ErrDoNotRestart
}

// heartbeat returns the header of a heartbeat of this process.
func (bas *base) heartbeat(service uint64, now time.Time) encap.Header {
	hdr := encap.NewHeartbeat(service, bas.incarnation, bas.rep.Revision())
	if at := bas.rep.ConfirmedAt(); !at.IsZero() {
		hdr = hdr.WithStateConfirmed().WithSeq(uint32(now.Sub(at).Milliseconds()))
	}
	if bas.rep.Able() {
		hdr = hdr.WithPlatformReachable()
	}
	if bas.rep.Reading() {
		hdr = hdr.WithReadsPlatform()
	}
	return hdr
}

// handleHeartbeat takes what a heartbeat tells of the platform's state.
func (bas *base) handleHeartbeat(hdr encap.Header, from netip.AddrPort, now time.Time) {
	if !hdr.StateConfirmed() {
		return
	}
	confirmed := now.Add(-time.Duration(hdr.Seq()) * time.Millisecond)
	bas.rep.Heard(from, hdr.Service() == 0, hdr.PlatformReachable(), hdr.ReadsPlatform(), hdr.Revision(), confirmed, now)
}

// spread tells some agents at once that this process knows a new state.
func (bas *base) spread(hdr encap.Header, agents []*fleet.Agent) {
	told := 0
	for _, at := range rand.Perm(len(agents)) {
		if told == newsFanout {
			return
		}
		if ip := agents[at].IP(); ip != bas.self.Addr().As4() {
			bas.post.framed(hdr, nil, addrOf(ip, bas.self.Port()))
			told++
		}
	}
}

// close closes what the supervisor does not.
func (bas *base) close() {
	_ = bas.peers.Close()
	_ = bas.scope.Close()
}
