package carry

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"lagoondrum/core/encap"
	"lagoondrum/core/fleet"
	"lagoondrum/core/flow"
	"lagoondrum/core/flows"
	"lagoondrum/core/intent"
	"lagoondrum/core/mirror"
	"lagoondrum/io/conf"
	"lagoondrum/io/gossip"
	"lagoondrum/io/logs"
	"lagoondrum/io/mmsg"
	"lagoondrum/platform"
)

// Timing and limits of an agent.
const (
	probeTimeout = 200 * time.Millisecond // For the upstream's VM, which is the agent's own, to take a connection.
	startSlack   = 250 * time.Millisecond // An upstream that started less than this before the agent got no flow from the agent's predecessor: restarting a process takes longer.
	defaultIdle  = 15 * time.Second       // Until the desired state tells how long an idle flow is kept.
)

// agent is the process beside an upstream.
type agent struct {
	*base
	outbound  *mmsg.Conn
	upstream  netip.AddrPort
	startedAt time.Time

	mu        sync.Mutex // Guards everything below, and post.
	toApp     *post      // Over outbound.
	table     *flows.Table
	fleet     *fleet.Fleet
	tracker   *intent.Tracker // Kept for balancers that start after all of them have ended.
	meter     *agentMeter
	balancers map[netip.AddrPort]time.Time // When each was heard last.
	wake      chan struct{}
	gauges    gauges
	gaugeAt   time.Time
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
		base:      bas,
		outbound:  con,
		upstream:  set.Upstream(),
		startedAt: time.Now(),
		toApp:     newPost(con),
		table:     flows.New(encap.ServiceID(set.Service()), defaultIdle, time.Now(), set.FirstStart()),
		fleet:     fleet.New(),
		tracker:   bas.newTracker(time.Now()),
		meter:     newAgentMeter(bas.scope),
		balancers: make(map[netip.AddrPort]time.Time),
		wake:      make(chan struct{}, 1),
		gauges:    gauges{scope: bas.scope},
	}
	bas.rep.OnChange(agt.changed, agt)
	if err := bas.serveHTTP(); err != nil {
		return err
	}
	bas.sup.Add(bas.rep)
	bas.sup.Add(newSettingsWatch(set.Path(), log, agt.adopt))
	bas.sup.Add(&upstreamReader{agt})
	bas.sup.Add(&balancerReader{agt})
	bas.sup.Add(&ticker{agt.tick, agt.wake})
	supCtx, cancel := context.WithCancel(context.Background())
	done := bas.sup.ServeBackground(supCtx)
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

// adopt takes changed settings into use: the platform's address and which
// upstream the agent stands beside.
func (agt *agent) adopt(set *conf.Settings) {
	agt.store.SetAddress(set.Platform())
	agt.rep.SetSeeds(agt.seeds(set))
	agt.mu.Lock()
	defer agt.mu.Unlock()
	agt.set = set
	agt.upstream = set.Upstream()
	agt.table.SetService(encap.ServiceID(set.Service()))
}

// leave tells the balancers that the agent ends. It does not linger: its
// upstream has ended before it, or the agent is about to be started again, and
// then every moment counts for the flows that the upstream holds.
func (agt *agent) leave() {
	now := time.Now()
	agt.mu.Lock()
	defer agt.mu.Unlock()
	agt.log.Info("leaving", zap.Int("flows", agt.table.Flows()), zap.Int("queued", agt.table.Queued()))
	agt.table.StopAccepting(now)
	agt.perform(now)
	for blc := range agt.balancers {
		agt.post.framed(agt.agentHeartbeat(now).WithLeaving(true), nil, blc)
	}
	agt.post.flush()
	agt.toApp.flush()
}

// History returns what is known of former routes.
func (agt *agent) History(now time.Time) intent.History {
	agt.mu.Lock()
	defer agt.mu.Unlock()
	return agt.tracker.History(now)
}

// changed takes news of the platform into use.
func (agt *agent) changed(nws gossip.News, now time.Time) {
	items := nws.Items()
	states := agt.parseStates(items)
	agt.mu.Lock()
	defer agt.mu.Unlock()
	agt.adoptStates(agt.tracker, states, nws.Origin(), now)
	if stt := agt.tracker.State(); stt != nil {
		agt.table.SetIdleTimeout(stt.IdleTimeout())
	}
	for _, itm := range items {
		agt.list(itm, now)
	}
	agt.judgeOwn()
	if len(items) > 0 {
		agt.spread(agt.agentHeartbeat(now), agt.fleet.All())
		agt.post.flush()
	}
}

// list takes what the platform says of an upstream.
func (agt *agent) list(itm mirror.Item, now time.Time) {
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
		agt.log.Warn("entry of an upstream cannot be used", zap.String("id", id), zap.Uint64("revision", itm.Revision()), zap.Error(err))
		return
	}
	agt.fleet.PutEntry(fleet.NewUpstream(lst, now), now)
}

// judgeOwn takes what the platform lists of the own upstream.
func (agt *agent) judgeOwn() {
	own := agt.fleet.Agent(agt.self.Addr().As4())
	if own == nil {
		return
	}
	ups := own.Upstream()
	leaving := ups.Draining()
	if leaving != agt.table.Leaving() || encap.ServiceID(ups.Service()) != agt.table.Service() {
		agt.log.Info("own upstream", zap.String("id", ups.ID()), zap.String("service", ups.Service()), zap.Bool("draining", leaving))
	}
	agt.table.SetLeaving(leaving)
	agt.table.SetSlots(ups.Slots())
	if !agt.table.Complete() && ups.StartedAfter(agt.startedAt.Add(-startSlack)) {
		agt.table.SetComplete()
		agt.log.Info("record is complete: the upstream started with this agent", zap.String("id", ups.ID()))
	}
}

// upstreamReader reads packets that the upstream sends.
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
		agt.fromUpstream(box, count, time.Now())
	}
}

func (agt *agent) fromUpstream(box *mmsg.Inbox, count int, now time.Time) {
	agt.mu.Lock()
	defer agt.mu.Unlock()
	for i := range count {
		raw := box.Data(i)
		pkt, ok := platform.ParsePacket(raw)
		if !ok {
			agt.meter.malformed.Inc(1)
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

// balancerReader reads datagrams of balancers.
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
		agt.fromBalancers(box, count, time.Now())
	}
}

func (agt *agent) fromBalancers(box *mmsg.Inbox, count int, now time.Time) {
	agt.mu.Lock()
	defer agt.mu.Unlock()
	for i := range count {
		hdr, ok := encap.Parse(box.Data(i))
		if !ok {
			agt.meter.malformed.Inc(1)
			continue
		}
		agt.fromBalancer(hdr, box.Data(i)[encap.HeaderBytes:], box.Source(i), now)
	}
	agt.flush()
}

func (agt *agent) fromBalancer(hdr encap.Header, tail []byte, from netip.AddrPort, now time.Time) {
	if hdr.Kind() == encap.Heartbeat {
		agt.handleHeartbeat(hdr, from, now)
		if hdr.Service() != 0 {
			return // Of another agent.
		}
		agt.balancers[from] = now
		agt.post.framed(agt.agentHeartbeat(now), nil, from)
		return
	}
	if hdr.Kind() == encap.Seek {
		agt.table.HandleQuery(hdr, tail, flow.EndpointOf(from), now)
		agt.perform(now)
		return
	}
	pkt, ok := platform.ParsePacket(tail)
	if !ok {
		agt.meter.malformed.Inc(1)
		return
	}
	agt.table.HandleBalancerPacket(hdr, pkt, tail, flow.EndpointOf(from), now)
	agt.perform(now)
}

// agentHeartbeat returns the header of a heartbeat with the state of the
// agent and its upstream.
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

// perform carries out the actions of the flow table.
func (agt *agent) perform(now time.Time) {
	for _, act := range agt.table.TakeActions() {
		switch act.Kind() {
		case flows.ToUpstream:
			agt.toApp.packet(act.Packet(), agt.upstream)
		case flows.ToClient:
			agt.toApp.packet(act.Packet(), agt.clientAddr(act.Key()))
		case flows.ToBalancer:
			agt.noteTold(act)
			agt.post.framed(act.Header(), act.Packet(), addrOfEndpoint(act.Balancer()))
		case flows.Reset:
			agt.meter.resets.Inc(1)
			agt.toApp.packet(platform.NewReset(act.Key(), act.Seq()), agt.clientAddr(act.Key()))
			agt.log.Info("reset", zap.Stringer("flow", act.Key()), zap.String("cause", "upstreamEndedFlow"), zap.Bool("upstreamDown", agt.table.Down()))
		case flows.Probe:
			agt.meter.probes.Inc(1)
			go agt.probe(agt.upstream)
		}
	}
}

// noteTold logs what the agent tells of one flow.
func (agt *agent) noteTold(act flows.Action) {
	hdr := act.Header()
	if hdr.Kind() == encap.Verdicts {
		return
	}
	agt.meter.told(hdr)
	if ent := agt.log.Check(zap.InfoLevel, "flow "+hdr.Kind().String()); ent != nil {
		ent.Write(zap.Stringer("flow", hdr.Key()), zap.Stringer("balancer", act.Balancer()), zap.Stringer("reason", hdr.Reason()),
			zap.Float64("requests", hdr.Load().Requests()), zap.Int("queued", agt.table.Queued()), zap.Int("flows", hdr.Load().Flows()), zap.Bool("complete", agt.table.Complete()))
	}
}

func (agt *agent) clientAddr(key flow.Key) netip.AddrPort {
	return addrOf(key.Client().IP(), agt.set.PacketListen().Port())
}

// probe finds out whether anything listens at the upstream's address.
func (agt *agent) probe(upstream netip.AddrPort) {
	con, err := net.DialTimeout("tcp4", upstream.String(), probeTimeout)
	var res flows.ProbeResult
	switch {
	case err == nil:
		_ = con.Close()
		res = flows.Running{}
	case errors.Is(err, syscall.ECONNREFUSED):
		res = flows.NotRunning{}
	default:
		res = flows.NoAnswer{}
	}
	agt.mu.Lock()
	defer agt.mu.Unlock()
	if agt.table.HandleProbeResult(res) {
		agt.log.Info("upstream probed", zap.Bool("down", agt.table.Down()), zap.Int("flows", agt.table.Flows()), zap.Error(err))
	}
	agt.flush()
}

func (agt *agent) flush() {
	agt.post.flush()
	agt.toApp.flush()
	if agt.table.NeedsTick() {
		select {
		case agt.wake <- struct{}{}:
		default:
		}
	}
}

// measure brings the gauges up to date.
func (agt *agent) measure(now time.Time) {
	if now.Before(agt.gaugeAt) {
		return
	}
	agt.gaugeAt = now.Add(gaugeInterval)
	agt.gauges.hold("flowsRecorded", float64(agt.table.Flows()))
	agt.gauges.hold("openingsQueued", float64(agt.table.Queued()))
	agt.gauges.hold("requestsUnderWay", agt.table.Load(now).Requests())
	agt.gauges.holdCommon(agt.base, now)
}

// tick handles the passing of time and returns when the next tick is due.
func (agt *agent) tick(now time.Time) time.Time {
	agt.mu.Lock()
	defer agt.mu.Unlock()
	agt.fleet.Tick(now)
	agt.table.Tick(now)
	agt.perform(now)
	agt.flush()
	agt.measure(now)
	if agt.table.NeedsTick() {
		return now.Add(busyTick)
	}
	return now.Add(idleTick)
}
