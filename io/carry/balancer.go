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
	"lagoondrum/core/intent"
	"lagoondrum/core/mirror"
	"lagoondrum/core/track"
	"lagoondrum/core/warm"
	"lagoondrum/io/conf"
	"lagoondrum/io/logs"
	"lagoondrum/io/mmsg"
	"lagoondrum/platform"
)

// Timing and limits of a balancer.
const (
	heartbeatsPerSecond = 40                      // To all agents together, 4 KB/s in each direction; the fewer agents there are, the more often each gets one.
	queryAgainAfter     = 100 * time.Millisecond  // Queries to an agent that is heard again after this much silence are repeated, since it may have missed them.
	minLeaveTime        = 1200 * time.Millisecond // Routers check readiness twice a second and stop sending after two failed checks.
	leaveQuietTime      = 300 * time.Millisecond  // A leaving balancer stops when no client packet has arrived for this long.
	graceMargin         = time.Second             // A leaving balancer stops this long before it would be killed.
)

// balancer is the process on an entry VM. It receives the packets of clients and
// forwards them to agents.
type balancer struct {
	*base
	clients *mmsg.Conn

	mu               sync.Mutex // Guards the fields below, and peerSender.
	clientSender     *sender    // Sends over clients.
	tracker          *intent.Tracker
	fleet            *fleet.Fleet
	table            *track.Table
	metrics          *balancerMetrics
	judge            *upstreamJudge // Nil unless upstreams are judged.
	lastPacketAt     time.Time      // When the last client packet arrived.
	heartbeatDueAt   time.Time
	heartbeatTargets [][4]byte             // Agents that have not been sent a heartbeat in the current round.
	namedUntil       map[[4]byte]time.Time // Balancers that other balancers named, with the time when the entry expires.
	leaving          bool
	wake             chan struct{}
	gauges           gauges
	gaugesDueAt      time.Time
	watch            *watch // Nil unless the balancer leaves the rotation when it is weak.
}

// RunBalancer runs a balancer until ctx ends and the routers have stopped sending
// to it.
func RunBalancer(ctx context.Context, set *conf.Settings, log *zap.Logger, out *logs.Output) error {
	bas, err := newBase(set, log, out, true)
	if err != nil {
		return err
	}
	defer bas.close()
	con, err := mmsg.Listen(set.PacketListen(), false)
	if err != nil {
		return err
	}
	defer con.Close()
	blc := &balancer{
		base:         bas,
		clients:      con,
		clientSender: newSender(con),
		tracker:      bas.newTracker(time.Now()),
		fleet:        fleet.New(),
		metrics:      newBalancerMetrics(bas.scope),
		namedUntil:   make(map[[4]byte]time.Time),
		wake:         make(chan struct{}, 1),
		gauges:       gauges{scope: bas.scope},
	}
	if !set.FirstStart() {
		blc.fleet.NoteRestart()
	}
	blc.fleet.SetMaxAge(set.MaxStateAge())
	blc.fleet.SetColdBounds(warm.NewBounds(set.ColdAllowance()))
	blc.judge = newUpstreamJudge(set, blc.fleet, log, bas.scope)
	blc.table = track.New(set.Place().Zone(), set.LinkBytes(), blc.tracker, blc.fleet)
	blc.startWatch(time.Now())
	blc.table.SetZonesWeighed(weighsZones(set))
	bas.replica.OnChange(blc.applyChanges, blc)
	if err := bas.serveHTTP(blc); err != nil {
		return err
	}
	bas.supervisor.Add(bas.replica)
	bas.supervisor.Add(newSettingsWatcher(set, log, blc.applySettings))
	bas.supervisor.Add(&clientReader{blc})
	bas.supervisor.Add(&peerReader{blc})
	bas.supervisor.Add(&ticker{blc.tick, blc.wake})
	supCtx, cancel := context.WithCancel(context.Background())
	done := bas.supervisor.ServeBackground(supCtx)
	log.Info("started", zap.String("role", "balancer"), zap.Uint64("incarnation", bas.incarnation))
	<-ctx.Done()
	blc.leave(time.Now())
	cancel()
	_ = blc.clients.Close()
	_ = blc.peers.Close()
	<-done
	log.Info("stopped")
	return nil
}

// applySettings applies changed settings: the address and bounds of the platform, the
// seeds, the grace time and the bandwidth of the link.
func (blc *balancer) applySettings(set *conf.Settings) {
	blc.applyPlatform(set)
	blc.mu.Lock()
	defer blc.mu.Unlock()
	blc.settings = set
	blc.fleet.SetMaxAge(set.MaxStateAge())
	blc.fleet.SetColdBounds(warm.NewBounds(set.ColdAllowance()))
	blc.table.SetZonesWeighed(weighsZones(set))
	blc.table.SetLinkBytes(set.LinkBytes())
}

// leave reports the balancer as not ready and waits until the routers have stopped
// sending, at most until shortly before it would be killed. Packets are forwarded in the
// meantime.
func (blc *balancer) leave(begun time.Time) {
	blc.ready.Store(false)
	blc.mu.Lock()
	blc.leaving = true
	deadline := blc.settings.GraceDeadline(begun).Add(-graceMargin)
	blc.mu.Unlock()
	blc.log.Info("leaving", zap.Time("deadline", deadline))
	poll := time.NewTicker(busyTick)
	defer poll.Stop()
	for now := range poll.C {
		blc.mu.Lock()
		last := blc.lastPacketAt
		blc.mu.Unlock()
		quiet := now.Sub(last) >= leaveQuietTime && now.Sub(begun) >= minLeaveTime
		if quiet || !now.Before(deadline) {
			return
		}
	}
}

func (blc *balancer) wakeTicker() {
	select {
	case blc.wake <- struct{}{}:
	default:
	}
}

// clientReader reads the packets that clients send.
type clientReader struct{ blc *balancer }

// Serve runs until the socket is closed.
func (rdr *clientReader) Serve(context.Context) error {
	blc := rdr.blc
	box := mmsg.NewInbox(0)
	for {
		count, err := blc.clients.Read(box)
		if err != nil {
			return suture.ErrDoNotRestart
		}
		blc.handleClientPackets(box, count, time.Now())
	}
}

func (blc *balancer) handleClientPackets(box *mmsg.Inbox, count int, now time.Time) {
	blc.mu.Lock()
	defer blc.mu.Unlock()
	blc.lastPacketAt = now
	blc.watch.noteRead(count)
	for i := range count {
		pkt, ok := platform.ParsePacket(box.Data(i))
		if !ok {
			blc.metrics.malformed.Inc(1)
			continue
		}
		blc.table.HandleClientPacket(pkt, box.Data(i), now)
		blc.perform(now)
	}
	blc.flush(now)
}

// peerReader reads the datagrams that agents and other balancers send.
type peerReader struct{ blc *balancer }

// Serve runs until the socket is closed.
func (rdr *peerReader) Serve(context.Context) error {
	blc := rdr.blc
	box := mmsg.NewInbox(0)
	for {
		count, err := blc.peers.Read(box)
		if err != nil {
			return suture.ErrDoNotRestart
		}
		blc.handlePeerDatagrams(box, count, time.Now())
	}
}

func (blc *balancer) handlePeerDatagrams(box *mmsg.Inbox, count int, now time.Time) {
	blc.mu.Lock()
	defer blc.mu.Unlock()
	blc.watch.noteRead(count)
	for i := range count {
		hdr, ok := encap.Parse(box.Data(i))
		if !ok {
			blc.metrics.malformed.Inc(1)
			continue
		}
		from := box.Source(i)
		blc.noteAgent(hdr, from, now)
		if hdr.Kind() == encap.Heartbeat {
			blc.handleHeartbeat(hdr, from, now)
			blc.notePayload(hdr, box.Data(i)[encap.HeaderBytes:], from, now)
			continue
		}
		blc.replica.HeardPosition(from, mirror.Position(hdr.Revision()))
		if agt := blc.fleet.Agent(from.Addr().As4()); agt != nil && hdr.Kind() == encap.Opened {
			blc.noteFields(agt, box.Data(i)[encap.HeaderBytes:], now)
		}
		blc.table.HandleAgentDatagram(hdr, box.Data(i)[encap.HeaderBytes:], from.Addr().As4(), now)
		blc.perform(now)
	}
	blc.flush(now)
}

// noteAgent records that a datagram of an agent arrived. If the agent was silent
// before, the pending queries to it are repeated.
func (blc *balancer) noteAgent(hdr encap.Header, from netip.AddrPort, now time.Time) {
	agt := blc.fleet.Agent(from.Addr().As4())
	if agt == nil {
		return
	}
	blc.watch.noteAnswer(agt, now)
	silent := agt.UnansweredFor(queryAgainAfter, now)
	changed := agt.NoteHeard(hdr, now)
	if silent {
		blc.table.QueryAgain(agt)
	}
	if changed {
		blc.log.Info("agent", zap.Stringer("vm", from.Addr()), zap.Bool("leaving", hdr.Leaving()), zap.Bool("upstreamDown", hdr.UpstreamDown()))
		blc.table.ResetDenied(now)
	}
}

// perform carries out the actions of the flow table.
func (blc *balancer) perform(now time.Time) {
	for _, act := range blc.table.TakeActions() {
		switch act.Kind() {
		case track.Send:
			blc.peerSender.addDatagram(act.Header(), act.Packet(), addrPort(act.Agent(), blc.self.Port()))
		case track.Reset:
			blc.clientSender.addPacket(platform.NewReset(act.Key(), act.Seq()), addrPort(act.Key().Client().IP(), blc.settings.PacketListen().Port()))
			blc.noteDecision(act, "reset", now)
		case track.Notice:
			blc.noteDecision(act, "flow", now)
		}
	}
}

// noteDecision counts a decision about a flow and logs it with the data that it was
// based on. The cause is part of the message, since logs are sampled by message
// and a frequent cause must not displace a rare one.
func (blc *balancer) noteDecision(act track.Action, outcome string, now time.Time) {
	blc.metrics.countDecision(act.Cause())
	agt := blc.fleet.Agent(act.Agent())
	blc.judge.noteAsked(act, agt)
	if act.Cause() == track.Answered && agt != nil {
		blc.metrics.recordOpening(agt.Upstream().Service(), act.Took())
	}
	ent := blc.log.Check(zap.InfoLevel, outcome+" "+act.Cause().String())
	if ent == nil {
		return
	}
	fields := []zap.Field{zap.Stringer("flow", act.Key()), zap.Uint64("version", blc.tracker.State().Version()), logs.Age("stateAge", blc.replica.ConfirmedAt(), now)}
	if agt != nil {
		fields = append(fields, zap.Stringer("agent", netip.AddrFrom4(act.Agent())), zap.String("upstream", agt.Upstream().ID()), zap.Float64("requests", agt.Load().Requests()),
			zap.Int("flows", agt.Load().Flows()), zap.Int("pending", agt.PendingOpenings()), logs.Age("loadAge", agt.HeardAt(), now))
	}
	fields = appendZoneChoice(fields, act)
	if sgt, ok := act.Sought(); ok {
		fields = append(fields, zap.Int("denied", sgt.Denied()), zap.Int("ended", sgt.Ended()), zap.Int("silent", sgt.Silent()), zap.Int("unsure", sgt.Unsure()))
	}
	if act.Took() > 0 {
		fields = append(fields, zap.Duration("took", act.Took()))
	}
	ent.Write(fields...)
}

func (blc *balancer) flush(now time.Time) {
	blc.table.SendQueries(now)
	blc.perform(now)
	blc.peerSender.flush()
	blc.clientSender.flush()
	if blc.table.NeedsTick() {
		blc.wakeTicker()
	}
}

// tick handles expired deadlines and returns when the next tick is due.
func (blc *balancer) tick(now time.Time) time.Time {
	blc.mu.Lock()
	defer blc.mu.Unlock()
	blc.watchSelf(now)
	blc.fleet.Confirm(blc.replica.ConfirmedAt())
	blc.fleet.NoteAway(blc.replica.AwayAt())
	blc.fleet.Tick(now)
	blc.judge.review(now)
	blc.tracker.Confirm(blc.replica.ConfirmedAt())
	blc.noteFleetChanges(now)
	blc.table.Tick(now)
	blc.perform(now)
	blc.sendHeartbeats(now)
	blc.flush(now)
	blc.updateGauges(now)
	next := now.Add(idleTick)
	if blc.table.NeedsTick() {
		next = now.Add(busyTick)
	}
	blc.watch.expectTick(next)
	return next
}

// updateGauges updates the gauges if that is due.
func (blc *balancer) updateGauges(now time.Time) {
	if now.Before(blc.gaugesDueAt) {
		return
	}
	blc.gaugesDueAt = now.Add(gaugeInterval)
	blc.gauges.set("flowsHinted", float64(blc.table.Hints()))
	blc.gauges.set("upstreamsListed", float64(blc.fleet.Len()))
	blc.gauges.set("upstreamsDeparted", float64(len(blc.fleet.All())-blc.fleet.Len()))
	blc.gauges.setEvacuated(blc.fleet)
	blc.gauges.setCommon(blc.base, now)
}
