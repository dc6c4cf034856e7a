package agent

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"lagoondrum/core/admit"
	"lagoondrum/core/drain"
	"lagoondrum/core/frame"
	"lagoondrum/core/health"
	"lagoondrum/core/ledger"
	"lagoondrum/core/lists"
	"lagoondrum/core/steer"
	"lagoondrum/core/table"
	"lagoondrum/core/token"
	"lagoondrum/io/feed"
	"lagoondrum/io/peer"
	"lagoondrum/io/stats"
	"lagoondrum/io/trust"
)

// Sizes and timing of the connections of callers.
const (
	idleTimeout      = 60 * time.Second
	handshakeTimeout = 10 * time.Second
	maxStreams       = 256
	firstWindow      = 32 << 10 // Receive windows start small: most flows carry little.
	tickInterval     = 100 * time.Millisecond
)

// openCount counts what is open at the agent.
type openCount struct {
	flows    atomic.Int64
	requests atomic.Int64
	streams  atomic.Int64
}

// Agent is the process beside one upstream.
type Agent struct {
	locality      table.Locality
	service       string
	lists         *feed.Lists
	worker        *worker
	drain         *drainer
	open          *openCount
	meter         *meter
	log           *zap.Logger
	pauseDetector *health.PauseDetector
	usages        *usages
	conn          *conn
	server        *http3.Server
	keyring       atomic.Pointer[token.Keyring]
	serial        atomic.Uint32
	size          atomic.Int64

	work     atomic.Int64
	limit    atomic.Int64
	accepted atomic.Int64 // Connections begun since the last tick.
	refusing atomic.Bool
	stopOnce sync.Once
	stopped  chan struct{}
}

// New returns an agent for the upstream of a service at an address.
func New(loc table.Locality, service string, upstream netip.AddrPort, lst *feed.Lists, scope *stats.Scope, log *zap.Logger) (*Agent, error) {
	agt := &Agent{
		locality: loc, service: service, lists: lst, drain: newDrainer(), open: &openCount{},
		meter: newMeter(scope), log: log, pauseDetector: &health.PauseDetector{}, usages: newUsages(), stopped: make(chan struct{}),
	}
	agt.keyring.Store(token.NewKeyring())
	agt.size.Store(1)
	con, err := newConn(loc.Self(), lists.ServiceIDOf(service), agt.currentState, agt.meter)
	if err != nil {
		return nil, err
	}
	agt.conn = con
	agt.worker = agt.newWorker(upstream)
	return agt, nil
}

func (agt *Agent) newWorker(upstream netip.AddrPort) *worker {
	return &worker{
		locality: agt.locality, service: agt.service, lists: agt.lists, slots: newSlots(),
		upstream: newUpstreamCaller(upstream), meter: agt.meter, drain: agt.drain,
		ledger:  ledger.New(ledger.NewOwner(agt.locality.Self(), randomNumber())),
		budget:  admit.NewRetryBudget(),
		settled: make(map[ledger.ID]chan struct{}),
		cancels: make(map[ledger.ID]context.CancelFunc),
		busy:    make(map[netip.AddrPort]time.Time),
	}
}

func randomNumber() uint64 {
	var raw [8]byte
	_, _ = rand.Read(raw[:]) // It never fails.
	return binary.BigEndian.Uint64(raw[:])
}

// Worker returns what takes relayed work.
func (agt *Agent) Worker() peer.Worker { return agt.worker }

// SetMesh sets the way to other agents. It is called once, before Supervise.
func (agt *Agent) SetMesh(msh *peer.Mesh) { agt.worker.relayer = msh }

// SetLists takes the lists in force into account.
func (agt *Agent) SetLists(lists.Name) {
	now := time.Now()
	if kys := agt.lists.Keys(); kys != nil {
		agt.keyring.Store(agt.keyring.Load().With(kys, now))
	}
	vms := agt.lists.VMs()
	if vms == nil {
		return
	}
	agt.conn.setBalancers(balancersOf(vms))
	agt.drain.listed(vms, agt.locality, now)
	count := 1
	if vm, ok := vms.ByAddress(agt.locality.Self()); ok {
		count = vm.Slots()
		agt.size.Store(int64(vm.Connections()))
	}
	agt.worker.slots.configure(count, agt.service, agt.lists.Plans())
}

func balancersOf(vms *lists.VMs) []netip.AddrPort {
	var all []netip.AddrPort
	for _, vm := range vms.All() {
		if vm.Role() == lists.BalancerRole && !vm.Leaving() {
			all = append(all, vm.Address())
		}
	}
	return all
}

// Supervise adds the parts of the agent to a supervisor. The lists have to be
// in force.
func (agt *Agent) Supervise(sup *suture.Supervisor, idn *trust.Identity) error {
	key, err := agt.keyring.Load().ResetKey(agt.locality.Self().String())
	if err != nil {
		return err
	}
	reset := quic.StatelessResetKey(key)
	transport := &quic.Transport{Conn: agt.conn, ConnectionIDGenerator: agt, StatelessResetKey: &reset, ConnContext: agt.noteAccepted}
	agt.server = &http3.Server{Handler: agt.newHandler(), ConnContext: agt.noteFlow}
	listener, err := transport.ListenEarly(http3.ConfigureTLSConfig(idn.ForCallers()), quicConfig())
	if err != nil {
		return errors.WithStack(err)
	}
	sup.Add(&listen{agt, listener})
	sup.Add(&ticker{agt})
	return nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		MaxIncomingStreams:             maxStreams,
		InitialStreamReceiveWindow:     firstWindow,
		InitialConnectionReceiveWindow: 2 * firstWindow,
		DisablePathMTUDiscovery:        true,
	}
}

func (agt *Agent) newHandler() *handler {
	return &handler{
		service: agt.service, lists: agt.lists, worker: agt.worker,
		drain: agt.drain, meter: agt.meter, open: agt.open, pauseDetector: agt.pauseDetector, usages: agt.usages,
	}
}

func (agt *Agent) noteFlow(ctx context.Context, con *quic.Conn) context.Context {
	return context.WithValue(ctx, flowKey{}, &flow{conn: con})
}

// GenerateConnectionID returns a sealed token as a connection ID.
func (agt *Agent) GenerateConnectionID() (quic.ConnectionID, error) {
	var tail [3]byte
	_, _ = rand.Read(tail[:]) // It never fails.
	tok := token.New(agt.locality.Self(), lists.ServiceIDOf(agt.service), uint16(agt.serial.Add(1)), tail)
	var cid [token.Bytes]byte
	if err := agt.keyring.Load().Seal(tok, time.Now(), cid[:]); err != nil {
		return quic.ConnectionID{}, err
	}
	return quic.ConnectionIDFromBytes(cid[:]), nil
}

// ConnectionIDLen returns the length of every connection ID.
func (agt *Agent) ConnectionIDLen() int { return token.Bytes }

// currentState returns the agent's state: flows as of now, first flights kept
// since the last tick among them, and work as of the last tick.
func (agt *Agent) currentState(time.Time) steer.State {
	begun := max(agt.conn.kept.Load()-agt.accepted.Load(), 0)
	flows, size := int(agt.open.flows.Load()+begun), int(agt.size.Load())
	load := frame.NewLoad(flows, size, int(agt.work.Load()), int(agt.limit.Load()))
	return steer.NewState(load, agt.refusing.Load())
}

func (agt *Agent) refreshState(now time.Time) {
	running, queued, limit := agt.worker.slots.use()
	agt.work.Store(int64(running + queued))
	agt.limit.Store(int64(max(limit, 1)))
	agt.conn.kept.Store(0)
	agt.accepted.Store(0)
	agt.refusing.Store(agt.drain.leaving() || agt.worker.slots.refusing(now))
}

// noteAccepted counts a connection from its first packet on.
func (agt *Agent) noteAccepted(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	agt.open.flows.Add(1)
	agt.accepted.Add(1)
	context.AfterFunc(ctx, func() { agt.open.flows.Add(-1) })
	return ctx, nil
}

// Drain starts the way out; Stopped tells its end, at deadline at the latest.
func (agt *Agent) Drain(deadline time.Time) { agt.drain.signal(time.Now(), deadline) }

// Stopped returns a channel that is closed when the agent may end.
func (agt *Agent) Stopped() <-chan struct{} { return agt.stopped }

// Phase returns how far the drain is.
func (agt *Agent) Phase() drain.Phase { return agt.drain.phase() }

// Open returns how many flows, requests and streams are open.
func (agt *Agent) Open() (flows, requests, streams int) {
	return int(agt.open.flows.Load()), int(agt.open.requests.Load()), int(agt.open.streams.Load())
}

// Slots returns how many pieces of work run and wait, and the slots in use.
func (agt *Agent) Slots() (running, queued, limit int) { return agt.worker.slots.use() }

// Usages returns flows and work by customer since the start.
func (agt *Agent) Usages() []Usage { return agt.usages.list() }

// Close closes the socket.
func (agt *Agent) Close() { _ = agt.conn.Close() }

// listen serves the connections of callers.
type listen struct {
	agt      *Agent
	listener *quic.EarlyListener
}

func (lsn *listen) String() string { return "listen" }

// Serve runs until the listener is closed.
func (lsn *listen) Serve(context.Context) error {
	_ = lsn.agt.server.ServeListener(lsn.listener)
	return suture.ErrDoNotRestart
}

// ticker drives what depends on time.
type ticker struct{ agt *Agent }

func (tck *ticker) String() string { return "ticker" }

// Serve runs until the context ends.
func (tck *ticker) Serve(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	phase := drain.Serving
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-tick.C:
			phase = tck.agt.tick(now, phase)
		}
	}
}

func (agt *Agent) tick(now time.Time, before drain.Phase) drain.Phase {
	agt.pauseDetector.Tick(time.Now()) // The ticker's own time may be from before a pause.
	agt.worker.tick(now)
	agt.refreshState(now)
	phase := agt.drain.advance(now, agt.underWay())
	if phase != before {
		agt.enter(phase)
	}
	return phase
}

// underWay counts what a stop would cut off: requests of callers, and work that
// runs for a peer or for a caller that is gone.
func (agt *Agent) underWay() int {
	running, queued, _ := agt.worker.slots.use()
	return int(agt.open.requests.Load()) + running + queued
}

// enter does what a new phase of the drain needs.
func (agt *Agent) enter(phase drain.Phase) {
	agt.log.Info("drain", zap.Stringer("phase", phase))
	switch phase {
	case drain.Leaving:
		agt.worker.slots.flush()
	case drain.Closing:
		go agt.server.Shutdown(context.Background())
	case drain.Stopped:
		agt.stopOnce.Do(func() { close(agt.stopped) })
	case drain.Serving:
	}
}
