package carry

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"lagoondrum/core/encap"
	"lagoondrum/core/fleet"
	"lagoondrum/core/flow"
	"lagoondrum/core/flows"
	"lagoondrum/core/intent"
	"lagoondrum/core/mirror"
	"lagoondrum/core/warm"
	"lagoondrum/io/conf"
	"lagoondrum/io/gossip"
	"lagoondrum/io/logs"
	"lagoondrum/io/mmsg"
	"lagoondrum/platform"
)

// Timing and limits of an agent.
const (
	probeTimeout       = 200 * time.Millisecond // For a TCP connection to the upstream, which runs on the agent's own VM.
	startTolerance     = 250 * time.Millisecond // An upstream that started less than this before the agent has no flows from an earlier run of the agent, because restarting a process takes longer.
	defaultIdleTimeout = 15 * time.Second       // Applies until a desired state with an idle timeout arrives.
)

// agent is the process on the VM of an upstream. It delivers packets to the
// upstream and tells balancers which flows the upstream holds.
type agent struct {
	*base
	outbound  *mmsg.Conn
	upstream  netip.AddrPort
	startedAt time.Time

	mu              sync.Mutex // Guards the fields below, and peerSender.
	packetSender    *sender    // Sends over outbound.
	table           *flows.Table
	fleet           *fleet.Fleet
	tracker         *intent.Tracker // Its history is served to balancers that start when no other balancer is running.
	metrics         *agentMetrics
	coldSource      warm.Source                  // From whom the limit in force is known, as last logged.
	judges          bool                         // Balancers are told what callers get from the upstream.
	foreignEntry    string                       // ID of the last entry with this VM's address that is not its upstream's.
	balancerHeardAt map[netip.AddrPort]time.Time // When the last heartbeat of each balancer arrived.
	wake            chan struct{}
	gauges          gauges
	gaugesDueAt     time.Time
}

// RunAgent runs an agent until ctx ends.
func RunAgent(ctx context.Context, set *conf.Settings, log *zap.Logger, out *logs.Output) error {
	bas, err := newBase(set, log, out, false)
	if err != nil {
		return err
	}
	defer bas.close()
	con, err := mmsg.Listen(set.PacketOutbound(), false)
	if err != nil {
		return err
	}
	defer con.Close()
	agt := &agent{
		base:            bas,
		outbound:        con,
		upstream:        set.Upstream(),
		startedAt:       time.Now(),
		packetSender:    newSender(con),
		table:           flows.New(encap.ServiceID(set.Service()), defaultIdleTimeout, time.Now(), set.FirstStart()),
		fleet:           fleet.New(),
		tracker:         bas.newTracker(time.Now()),
		metrics:         newAgentMetrics(bas.scope),
		balancerHeardAt: make(map[netip.AddrPort]time.Time),
		wake:            make(chan struct{}, 1),
		gauges:          gauges{scope: bas.scope},
	}
	if !set.FirstStart() {
		agt.fleet.NoteRestart()
	}
	if agt.judges = judgesUpstreams(set); agt.judges {
		agt.table.CollectEvidence()
	}
	bas.replica.OnChange(agt.applyChanges, agt)
	if err := bas.serveHTTP(agt); err != nil {
		return err
	}
	bas.supervisor.Add(bas.replica)
	bas.supervisor.Add(newSettingsWatcher(set, log, agt.applySettings))
	bas.supervisor.Add(&upstreamReader{agt})
	bas.supervisor.Add(&balancerReader{agt})
	bas.supervisor.Add(&ticker{agt.tick, agt.wake})
	supCtx, cancel := context.WithCancel(context.Background())
	done := bas.supervisor.ServeBackground(supCtx)
	bas.ready.Store(true)
	log.Info("started", zap.String("role", "agent"), zap.String("service", set.Service()), zap.Stringer("upstream", agt.upstream),
		zap.Uint64("incarnation", bas.incarnation), zap.Bool("firstStart", set.FirstStart()))
	<-ctx.Done()
	agt.leave()
	cancel()
	_ = agt.outbound.Close()
	_ = agt.peers.Close()
	<-done
	log.Info("stopped")
	return nil
}

// applySettings applies changed settings: the address and bounds of the platform, the
// seeds, and the address and service of the upstream.
func (agt *agent) applySettings(set *conf.Settings) {
	agt.applyPlatform(set)
	agt.mu.Lock()
	defer agt.mu.Unlock()
	agt.settings = set
	agt.upstream = set.Upstream()
	agt.table.SetService(encap.ServiceID(set.Service()))
	agt.applyOwnZone()
	agt.setColdLimit(time.Now())
	agt.applySharing()
}

// leave tells the balancers that the agent is stopping. It does not wait: either
// the upstream has stopped already, or the agent is being restarted, and a delay
// would hold up the flows that the upstream holds.
func (agt *agent) leave() {
	now := time.Now()
	agt.mu.Lock()
	defer agt.mu.Unlock()
	agt.log.Info("leaving", zap.Int("flows", agt.table.Flows()), zap.Int("queued", agt.table.Queued()))
	agt.table.StopAccepting(now)
	agt.perform(now)
	for blc := range agt.balancerHeardAt {
		agt.peerSender.addDatagram(agt.agentHeartbeat(now).WithLeaving(true), nil, blc)
	}
	agt.peerSender.flush()
	agt.packetSender.flush()
}

// History returns the former services of the routes.
func (agt *agent) History(now time.Time) intent.History {
	agt.mu.Lock()
	defer agt.mu.Unlock()
	return agt.tracker.History(now)
}

// Memory returns what is remembered of upstreams.
func (agt *agent) Memory(now time.Time) fleet.Memory {
	agt.mu.Lock()
	defer agt.mu.Unlock()
	return agt.fleet.Memory(now)
}

// applyChanges applies changes of the platform's state.
func (agt *agent) applyChanges(nws gossip.News, now time.Time) {
	items := nws.Items()
	states := agt.parseStates(items)
	agt.mu.Lock()
	defer agt.mu.Unlock()
	agt.adoptStates(agt.tracker, states, nws.Origin(), now)
	if stt := agt.tracker.State(); stt != nil {
		agt.table.SetState(stt)
		agt.fleet.SetState(stt)
		agt.setColdLimit(now)
		agt.applySharing()
	}
	for _, itm := range items {
		agt.applyEntry(itm, now)
	}
	mergeMemory(agt.fleet, nws.Origin(), now)
	agt.applyEvacuations(agt.fleet, items, nws.Origin(), now)
	agt.applyOwnEntry()
	agt.applyOwnZone()
	if len(items) > 0 {
		agt.announceState(agt.agentHeartbeat(now), agt.fleet.All())
		agt.peerSender.flush()
	}
}

// applyEntry applies a changed or deleted entry of an upstream.
func (agt *agent) applyEntry(itm mirror.Item, now time.Time) {
	knd, id := platform.KindOf(itm.Key())
	if knd != platform.ServerItem {
		return
	}
	if itm.Deleted() {
		agt.fleet.RemoveEntry(id, now)
		return
	}
	lst, err := platform.ParseServer(id, itm.Value())
	if err != nil {
		agt.log.Warn("invalid upstream entry", zap.String("id", id), gossip.LogPosition(itm.Position()), zap.Error(err))
		return
	}
	agt.fleet.PutEntry(upstreamOf(lst, itm, now), now)
}

// applyOwnEntry applies the entry of the agent's own upstream to the flow table. The
// settings tell which service that upstream has: an entry of another one is that of a
// former upstream of the VM, or of another writer.
func (agt *agent) applyOwnEntry() {
	own := agt.fleet.Agent(agt.self.Addr().As4())
	if own == nil || !own.Listed() {
		return
	}
	ups := own.Upstream()
	if encap.ServiceID(ups.Service()) != agt.table.Service() {
		agt.logForeignEntry(ups)
		return
	}
	leaving := ups.Draining()
	if leaving != agt.table.Leaving() {
		agt.log.Info("own upstream", zap.String("id", ups.ID()), zap.String("service", ups.Service()), zap.Bool("draining", leaving))
	}
	agt.table.SetLeaving(leaving)
	agt.table.SetSlots(ups.Slots())
	agt.table.Cold().SetEntry(ups.Incarnation(), ups.ColdUntil())
	if !agt.table.Complete() && ups.StartedAfter(agt.startedAt.Add(-startTolerance)) {
		agt.table.SetComplete()
		agt.log.Info("flow table is complete: the upstream started with this agent", zap.String("id", ups.ID()))
	}
}

// logForeignEntry logs once that an entry with the VM's address is not that of the
// agent's upstream.
func (agt *agent) logForeignEntry(ups *fleet.Upstream) {
	if agt.foreignEntry != ups.ID() {
		agt.foreignEntry = ups.ID()
		agt.log.Warn("entry of another service has this VM's address", zap.String("id", ups.ID()), zap.String("service", ups.Service()))
	}
}

// upstreamReader reads the packets that the upstream sends.
type upstreamReader struct{ agt *agent }

// Serve runs until the socket is closed.
func (rdr *upstreamReader) Serve(context.Context) error {
	agt := rdr.agt
	box := mmsg.NewInbox(0)
	for {
		count, err := agt.outbound.Read(box)
		if err != nil {
			return suture.ErrDoNotRestart
		}
		agt.handleUpstreamPackets(box, count, time.Now())
	}
}

func (agt *agent) handleUpstreamPackets(box *mmsg.Inbox, count int, now time.Time) {
	agt.mu.Lock()
	defer agt.mu.Unlock()
	for i := range count {
		raw := box.Data(i)
		pkt, ok := platform.ParsePacket(raw)
		if !ok {
			agt.metrics.malformed.Inc(1)
			continue
		}
		if pkt.Has(flow.Bounced) {
			platform.ClearBounced(raw)
		}
		agt.table.HandleUpstreamPacket(pkt, raw, now)
		agt.perform(now)
	}
	agt.flush()
}

// balancerReader reads the datagrams that balancers send.
type balancerReader struct{ agt *agent }

// Serve runs until the socket is closed.
func (rdr *balancerReader) Serve(context.Context) error {
	agt := rdr.agt
	box := mmsg.NewInbox(0)
	for {
		count, err := agt.peers.Read(box)
		if err != nil {
			return suture.ErrDoNotRestart
		}
		agt.handleBalancerDatagrams(box, count, time.Now())
	}
}

func (agt *agent) handleBalancerDatagrams(box *mmsg.Inbox, count int, now time.Time) {
	agt.mu.Lock()
	defer agt.mu.Unlock()
	for i := range count {
		hdr, ok := encap.Parse(box.Data(i))
		if !ok {
			agt.metrics.malformed.Inc(1)
			continue
		}
		agt.handleBalancerDatagram(hdr, box.Data(i)[encap.HeaderBytes:], box.Source(i), now)
	}
	agt.flush()
}

func (agt *agent) handleBalancerDatagram(hdr encap.Header, payload []byte, from netip.AddrPort, now time.Time) {
	if hdr.Kind() == encap.Heartbeat {
		agt.handleHeartbeat(hdr, from, now)
		if hdr.Service() != 0 {
			return // From another agent: only heartbeats of balancers have service 0.
		}
		agt.balancerHeardAt[from] = now
		agt.peerSender.addDatagram(agt.agentHeartbeat(now), agt.heartbeatFields(now), from)
		return
	}
	if hdr.Kind() == encap.Seek {
		agt.table.HandleQuery(payload, flow.EndpointOf(from), now)
		agt.perform(now)
		return
	}
	pkt, ok := platform.ParsePacket(payload)
	if !ok {
		agt.metrics.malformed.Inc(1)
		return
	}
	agt.table.HandleBalancerPacket(hdr, pkt, payload, flow.EndpointOf(from), now)
	agt.perform(now)
}

// agentHeartbeat returns the header of a heartbeat that describes the agent and
// its upstream.
func (agt *agent) agentHeartbeat(now time.Time) encap.Header {
	hdr := agt.heartbeat(agt.table.Service(), now).WithLoad(agt.table.Load(now))
	if agt.table.Leaving() {
		hdr = hdr.WithLeaving(false)
	}
	if agt.table.Down() {
		hdr = hdr.WithUpstreamDown()
	}
	return hdr
}

func (agt *agent) flush() {
	agt.peerSender.flush()
	agt.packetSender.flush()
	if agt.table.NeedsTick() {
		select {
		case agt.wake <- struct{}{}:
		default:
		}
	}
}

// updateGauges updates the gauges if that is due.
func (agt *agent) updateGauges(now time.Time) {
	if now.Before(agt.gaugesDueAt) {
		return
	}
	agt.gaugesDueAt = now.Add(gaugeInterval)
	agt.gauges.set("flowsRecorded", float64(agt.table.Flows()))
	agt.gauges.set("requestsQueued", float64(agt.table.Queued()))
	agt.gauges.set("requestsUnderWay", agt.table.Load(now).Requests())
	agt.gauges.setEvacuated(agt.fleet)
	agt.gauges.set("coldLimit", float64(agt.coldLimitInForce(now)))
	agt.gauges.setCommon(agt.base, now)
}

// tick handles expired deadlines and returns when the next tick is due.
func (agt *agent) tick(now time.Time) time.Time {
	agt.mu.Lock()
	defer agt.mu.Unlock()
	agt.fleet.Confirm(agt.replica.ConfirmedAt())
	agt.fleet.Tick(now)
	agt.logFleetChanges(agt.fleet, now)
	agt.table.Tick(now)
	agt.perform(now)
	agt.logColdLimit(now)
	agt.tellNews(now)
	agt.flush()
	agt.updateGauges(now)
	if agt.table.NeedsTick() {
		return now.Add(busyTick)
	}
	return now.Add(idleTick)
}
