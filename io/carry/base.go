// Package carry runs balancers and agents for callers that use the platform's own
// packet format. It provides the sockets, timers, heartbeats, readiness, logs and
// metrics; the decisions about flows are made by core/track and core/owner.
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
	"lagoondrum/core/mirror"
	"lagoondrum/io/conf"
	"lagoondrum/io/gossip"
	"lagoondrum/io/logs"
	"lagoondrum/io/mmsg"
	"lagoondrum/io/stats"
	"lagoondrum/io/where"
	"lagoondrum/platform"
)

// Timing and limits that balancers and agents share.
const (
	busyTick          = 10 * time.Millisecond // Between ticks while answers are pending.
	idleTick          = 50 * time.Millisecond // Between ticks otherwise.
	heartbeatInterval = 250 * time.Millisecond
	announceFanout    = 5               // Agents that a process notifies immediately of a new state; 4,180 processes are reached in six steps.
	readHeaderTimeout = 2 * time.Second // For the header of a request to one of the process's HTTP servers.
	maxProcs          = 4               // Socket readers block in system calls; with one P for each, other goroutines need not wait until the runtime notices the block.
	gcPercent         = 50              // Heap growth between collections: the heap has a few MB, and memory is scarce.
)

// base holds what balancers and agents have in common.
type base struct {
	settings    *conf.Settings
	log         *zap.Logger
	logOutput   *logs.Output
	scope       *stats.Scope
	store       *platform.Store
	replica     *gossip.Replica
	peers       *mmsg.Conn
	peerSender  *sender // Sends over peers.
	self        netip.AddrPort
	incarnation uint64
	ready       atomic.Bool
	yields      atomic.Bool // The balancer has left the rotation because it is weak.
	supervisor  *suture.Supervisor
}

func newBase(set *conf.Settings, log *zap.Logger, out *logs.Output, balancer bool) (*base, error) {
	debug.SetGCPercent(gcPercent)
	runtime.GOMAXPROCS(maxProcs)
	self := set.PeerAddress()
	con, err := mmsg.Listen(self, false)
	if err != nil {
		return nil, err
	}
	bas := &base{
		settings:    set,
		log:         log,
		logOutput:   out,
		scope:       stats.New(set.Name()),
		peers:       con,
		peerSender:  newSender(con),
		self:        self,
		incarnation: rand.Uint64() | 1,
		supervisor:  suture.New(set.Name(), suture.Spec{EventHook: func(evt suture.Event) { log.Warn("supervisor", zap.String("event", evt.String())) }}),
	}
	bas.store = platform.NewStore(set.Platform())
	bas.store.OnOddEra(func(told string, known uint64) {
		log.Warn("platform told an odd era", zap.String("told", told), zap.Uint64("known", known))
	})
	bas.replica = gossip.New(bas.store, platform.HistoryLost, self.Addr().As4(), balancer, set.FirstStart(), bas.seeds(set), set.MaxStateAge(), log)
	bas.replica.SetClassify(platform.SubjectOf)
	bas.replica.SetStateKey(platform.IsState)
	logUnusable(set, log)
	return bas, nil
}

// applyPlatform applies changed settings of the platform.
func (bas *base) applyPlatform(set *conf.Settings) {
	bas.store.SetAddress(set.Platform())
	bas.replica.SetSeeds(bas.seeds(set))
	bas.replica.SetMaxAge(set.MaxStateAge())
}

// seeds returns the peer addresses of the seeds.
func (bas *base) seeds(set *conf.Settings) []netip.AddrPort {
	var all []netip.AddrPort
	for _, seed := range set.Seeds() {
		all = append(all, netip.AddrPortFrom(seed.Addr(), bas.self.Port()))
	}
	return all
}

// newTracker returns the tracker of a process that starts now. When the whole
// system starts for the first time there are no former routes, so the history is
// complete.
func (bas *base) newTracker(now time.Time) *intent.Tracker {
	if bas.settings.FirstStart() {
		return intent.NewTracker(time.Time{})
	}
	return intent.NewTracker(now)
}

// serveHTTP adds the HTTP servers of the process prc to its supervisor.
func (bas *base) serveHTTP(prc where.Process) error {
	changes := http.NewServeMux()
	changes.Handle(gossip.ChangesPath, bas.replica)
	ready := http.NewServeMux()
	ready.HandleFunc(platform.ReadyPath, bas.serveReady)
	metrics := http.NewServeMux()
	metrics.Handle("/metrics", bas.scope)
	metrics.Handle(where.Path, where.NewHandler(prc, bas.log))
	for addr, mux := range map[netip.AddrPort]*http.ServeMux{
		bas.self:                      changes,
		bas.settings.ReadyAddress():   ready,
		bas.settings.MetricsAddress(): metrics,
	} {
		lst, err := net.Listen("tcp4", addr.String())
		if err != nil {
			return errors.Wrapf(err, "listen on %s", addr)
		}
		bas.supervisor.Add(&httpServer{listener: lst, server: &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}})
	}
	return nil
}

// serveReady answers the readiness checks of the platform.
func (bas *base) serveReady(rw http.ResponseWriter, _ *http.Request) {
	if !bas.ready.Load() || bas.yields.Load() {
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
}

// httpServer is an HTTP server as a service of the supervisor.
type httpServer struct {
	listener net.Listener
	server   *http.Server
}

// Serve handles requests until ctx ends.
func (srv *httpServer) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = srv.server.Close() })
	defer stop()
	if err := srv.server.Serve(srv.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return suture.ErrDoNotRestart
}

// heartbeat returns the header of a heartbeat of this process.
func (bas *base) heartbeat(service uint64, now time.Time) encap.Header {
	hdr := encap.NewHeartbeat(service, bas.incarnation, uint64(bas.replica.Position()))
	if at := bas.replica.ConfirmedAt(); !at.IsZero() {
		hdr = hdr.WithStateConfirmed().WithSeq(uint32(now.Sub(at).Milliseconds()))
	}
	if bas.replica.Able() {
		hdr = hdr.WithPlatformReachable()
	}
	if bas.replica.Reading() {
		hdr = hdr.WithReadsPlatform()
	}
	if bas.replica.Seed() {
		hdr = hdr.WithSeed()
	}
	return hdr
}

// handleHeartbeat passes the state that a heartbeat reports on to the replica. The
// sequence number is the age in milliseconds of the sender's last confirmation.
func (bas *base) handleHeartbeat(hdr encap.Header, from netip.AddrPort, now time.Time) {
	if !hdr.StateConfirmed() {
		return
	}
	confirmedAt := now.Add(-time.Duration(hdr.Seq()) * time.Millisecond)
	clm := mirror.NewClaims(confirmedAt, hdr.PlatformReachable(), hdr.ReadsPlatform(), hdr.Seed())
	bas.replica.Heard(from, hdr.Service() == 0, clm, mirror.Position(hdr.Revision()), now)
}

// announceState sends a heartbeat immediately to up to announceFanout random agents,
// most of them in the own availability zone, so that a new state reaches them before
// the next round.
func (bas *base) announceState(hdr encap.Header, agents []*fleet.Agent) {
	var others []*fleet.Agent
	for _, idx := range rand.Perm(len(agents)) {
		if agents[idx].IP() != bas.self.Addr().As4() {
			others = append(others, agents[idx])
		}
	}
	for _, agt := range fleet.SpreadTargets(others, bas.settings.Place().Zone(), announceFanout) {
		bas.peerSender.addDatagram(hdr, nil, addrPort(agt.IP(), bas.self.Port()))
	}
}

// close closes the resources that the supervisor does not close.
func (bas *base) close() {
	_ = bas.peers.Close()
	_ = bas.scope.Close()
}
