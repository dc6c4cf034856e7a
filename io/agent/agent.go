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

// Limits and timings of the QUIC connections of callers.
const (
	idleTimeout         = 60 * time.Second
	handshakeTimeout    = 10 * time.Second
	maxStreams          = 256      // Open requests per connection.
	initialStreamWindow = 32 << 10 // Bytes; small, because most flows carry little data.
	tickInterval        = 100 * time.Millisecond
)

// openCounts holds the numbers of open flows, requests and streams.
type openCounts struct {
	flows    atomic.Int64
	requests atomic.Int64
	streams  atomic.Int64
}

// Agent serves the callers of a service at the upstream on the same VM.
// maxFlows, workCount, slotLimit and refusing are reported to balancers and other
// agents; tick updates all of them but maxFlows, which the list of VMs sets.
type Agent struct {
	locality      table.Locality
	service       string
	lists         *feed.Lists
	worker        *worker
	drain         *drainer
	open          *openCounts
	meter         *meter
	log           *zap.Logger
	pauseDetector *health.PauseDetector
	usages        *usages
	conn          *conn
	server        *http3.Server
	keyring       atomic.Pointer[token.Keyring]
	tokenSerial   atomic.Uint32
	maxFlows      atomic.Int64

	workCount atomic.Int64
	slotLimit atomic.Int64
	newConns  atomic.Int64 // Connections accepted since the last tick.
	refusing  atomic.Bool
	stopOnce  sync.Once
	stopped   chan struct{}
}

// New returns an agent that listens at the address of its locality for callers
// of a service. upstream is the address of the upstream.
func New(loc table.Locality, service string, upstream netip.AddrPort, lst *feed.Lists, scope *stats.Scope, log *zap.Logger) (*Agent, error) {
	agt := &Agent{
		locality: loc, service: service, lists: lst, drain: newDrainer(), open: &openCounts{},
		meter: newMeter(scope), log: log, pauseDetector: health.NewPauseDetector(time.Now()), usages: newUsages(), stopped: make(chan struct{}),
	}
	agt.keyring.Store(token.NewKeyring())
	agt.maxFlows.Store(1)
	con, err := newConn(loc.Self(), lists.ServiceIDOf(service), agt.state, agt.meter)
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
		upstream: newUpstreamClient(upstream), meter: agt.meter, drain: agt.drain,
		ledger:    ledger.New(ledger.NewOwner(agt.locality.Self(), randomUint64())),
		budget:    admit.NewRetryBudget(),
		finished:  make(map[ledger.ID]chan struct{}),
		cancels:   make(map[ledger.ID]context.CancelFunc),
		busyUntil: make(map[netip.AddrPort]time.Time),
	}
}

func randomUint64() uint64 {
	var raw [8]byte
	_, _ = rand.Read(raw[:]) // It never returns an error.
	return binary.BigEndian.Uint64(raw[:])
}

// Worker returns the worker that runs work relayed by other agents.
func (agt *Agent) Worker() peer.Worker { return agt.worker }

// SetMesh sets the mesh through which work is relayed to other agents. It is called
// once, before Supervise.
func (agt *Agent) SetMesh(msh *peer.Mesh) { agt.worker.relayer = msh }

// SetLists applies the keys, VMs and plans of the lists in force.
func (agt *Agent) SetLists(lists.Name) {
	now := time.Now()
	if kys := agt.lists.Keys(); kys != nil {
		agt.keyring.Store(agt.keyring.Load().With(kys, now))
	}
	vms := agt.lists.VMs()
	if vms == nil {
		return
	}
	agt.conn.setBalancers(liveBalancers(vms))
	agt.drain.setListed(vms, agt.locality, now)
	slotCount := 1
	if vm, ok := vms.ByAddress(agt.locality.Self()); ok {
		slotCount = vm.Slots()
		agt.maxFlows.Store(int64(vm.Connections()))
	}
	agt.worker.slots.configure(slotCount, agt.service, agt.lists.Plans())
}

func liveBalancers(vms *lists.VMs) []netip.AddrPort {
	var balancers []netip.AddrPort
	for _, vm := range vms.All() {
		if vm.Role() == lists.BalancerRole && !vm.Leaving() {
			balancers = append(balancers, vm.Address())
		}
	}
	return balancers
}

// Supervise opens the QUIC listener and adds the tasks of the agent to a supervisor.
// The lists have to be in force, as the stateless reset key derives from the keys.
func (agt *Agent) Supervise(sup *suture.Supervisor, idn *trust.Identity) error {
	key, err := agt.keyring.Load().ResetKey(agt.locality.Self().String())
	if err != nil {
		return err
	}
	reset := quic.StatelessResetKey(key)
	transport := &quic.Transport{Conn: agt.conn, ConnectionIDGenerator: agt, StatelessResetKey: &reset, ConnContext: agt.countConn}
	agt.server = &http3.Server{Handler: agt.newHandler(), ConnContext: agt.withFlow}
	listener, err := transport.ListenEarly(http3.ConfigureTLSConfig(idn.ForCallers()), quicConfig())
	if err != nil {
		return errors.WithStack(err)
	}
	sup.Add(&acceptLoop{agt, listener})
	sup.Add(&ticker{agt})
	return nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		MaxIncomingStreams:             maxStreams,
		InitialStreamReceiveWindow:     initialStreamWindow,
		InitialConnectionReceiveWindow: 2 * initialStreamWindow,
		DisablePathMTUDiscovery:        true,
	}
}

func (agt *Agent) newHandler() *handler {
	return &handler{
		service: agt.service, lists: agt.lists, worker: agt.worker,
		drain: agt.drain, meter: agt.meter, open: agt.open, pauseDetector: agt.pauseDetector, usages: agt.usages,
	}
}

// withFlow adds a new flow to the context of a connection.
func (agt *Agent) withFlow(ctx context.Context, con *quic.Conn) context.Context {
	return context.WithValue(ctx, flowKey{}, &flow{conn: con})
}

// GenerateConnectionID returns a sealed token as a connection ID.
func (agt *Agent) GenerateConnectionID() (quic.ConnectionID, error) {
	var random [3]byte
	_, _ = rand.Read(random[:]) // It never returns an error.
	tok := token.New(agt.locality.Self(), lists.ServiceIDOf(agt.service), uint16(agt.tokenSerial.Add(1)), random)
	var cid [token.Bytes]byte
	if err := agt.keyring.Load().Seal(tok, time.Now(), cid[:]); err != nil {
		return quic.ConnectionID{}, err
	}
	return quic.ConnectionIDFromBytes(cid[:]), nil
}

// ConnectionIDLen returns the length of every connection ID.
func (agt *Agent) ConnectionIDLen() int { return token.Bytes }

// state returns the load of the agent and whether it refuses new flows. A first
// flight kept since the last tick counts as a flow even before its connection is
// accepted. Work is counted as of the last tick.
func (agt *Agent) state(time.Time) steer.State {
	newFlows := max(agt.conn.keptFlights.Load()-agt.newConns.Load(), 0)
	flows, maxFlows := int(agt.open.flows.Load()+newFlows), int(agt.maxFlows.Load())
	load := frame.NewLoad(flows, maxFlows, int(agt.workCount.Load()), int(agt.slotLimit.Load()))
	return steer.NewState(load, agt.refusing.Load())
}

// refreshState updates the reported work and refusal, and restarts the counts of new
// flows.
func (agt *Agent) refreshState(now time.Time) {
	running, queued, limit := agt.worker.slots.usage()
	agt.workCount.Store(int64(running + queued))
	agt.slotLimit.Store(int64(max(limit, 1)))
	agt.conn.keptFlights.Store(0)
	agt.newConns.Store(0)
	agt.refusing.Store(agt.drain.leaving() || agt.worker.slots.refusing(now))
}

// countConn counts a connection as a flow from its first packet until it ends.
func (agt *Agent) countConn(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	agt.open.flows.Add(1)
	agt.newConns.Add(1)
	context.AfterFunc(ctx, func() { agt.open.flows.Add(-1) })
	return ctx, nil
}

// Drain starts a drain that ends by deadline; the channel of Stopped is closed then.
func (agt *Agent) Drain(deadline time.Time) { agt.drain.start(time.Now(), deadline) }

// Stopped returns a channel that is closed when the drain is over and the process
// may exit.
func (agt *Agent) Stopped() <-chan struct{} { return agt.stopped }

// Phase returns the phase of the drain.
func (agt *Agent) Phase() drain.Phase { return agt.drain.phase() }

// Open returns the numbers of open flows, requests and streams.
func (agt *Agent) Open() (flows, requests, streams int) {
	return int(agt.open.flows.Load()), int(agt.open.requests.Load()), int(agt.open.streams.Load())
}

// Slots returns the numbers of running and queued pieces of work, and of the slots
// that may be used now.
func (agt *Agent) Slots() (running, queued, limit int) { return agt.worker.slots.usage() }

// Usages returns the open flows of each customer and its work since the start of the
// agent.
func (agt *Agent) Usages() []Usage { return agt.usages.list() }

// Close closes the socket.
func (agt *Agent) Close() { _ = agt.conn.Close() }

// acceptLoop is the supervised task that serves the connections of callers.
type acceptLoop struct {
	agt      *Agent
	listener *quic.EarlyListener
}

func (alp *acceptLoop) String() string { return "listen" }

// Serve serves connections until the listener is closed.
func (alp *acceptLoop) Serve(context.Context) error {
	_ = alp.agt.server.ServeListener(alp.listener)
	return suture.ErrDoNotRestart
}

// ticker is the supervised task that updates the state that depends on time.
type ticker struct{ agt *Agent }

func (tck *ticker) String() string { return "ticker" }

// Serve calls the agent's tick at every tickInterval until the context ends.
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

// tick updates the state that depends on time and returns the phase of the drain.
// previous is the phase at the last tick.
func (agt *Agent) tick(now time.Time, previous drain.Phase) drain.Phase {
	agt.pauseDetector.Tick(time.Now()) // now may date from before a pause of the process.
	agt.worker.tick(now)
	agt.refreshState(now)
	phase := agt.drain.advance(now, agt.inFlight())
	if phase != previous {
		agt.enterPhase(phase)
	}
	return phase
}

// inFlight counts what a stop would interrupt: requests of callers, and work that
// runs for a peer or for a caller that has disconnected.
func (agt *Agent) inFlight() int {
	running, queued, _ := agt.worker.slots.usage()
	return int(agt.open.requests.Load()) + running + queued
}

// enterPhase performs the actions at the start of a phase of the drain.
func (agt *Agent) enterPhase(phase drain.Phase) {
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
