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
	"lagoondrum/core/track"
	"lagoondrum/io/conf"
	"lagoondrum/io/logs"
	"lagoondrum/io/mmsg"
	"lagoondrum/platform"
)

// Timing and limits of a balancer.
const (
	heartbeatsPerSecond = 40                      // Heartbeats that a balancer sends to agents, 4 KB/s both ways; fewer agents get them more often.
	askAgainTime        = 100 * time.Millisecond  // An agent that is heard after such a silence may have lost the queries before.
	leaveAtLeast        = 1200 * time.Millisecond // Routers look twice a second and stop sending after two misses.
	leaveQuiet          = 300 * time.Millisecond  // A leaving balancer ends when nothing came for this long.
	graceMargin         = time.Second             // A leaving balancer ends this long before it would be killed.
)

// balancer is the process on an entry VM.
type balancer struct {
	*base
	clients *mmsg.Conn

	mu               sync.Mutex // Guards everything below, and post.
	toUser           *post      // Over clients.
	tracker          *intent.Tracker
	fleet            *fleet.Fleet
	table            *track.Table
	meter            *balancerMeter
	lastAt           time.Time // When the last packet of a client came.
	heartbeatAt      time.Time
	heartbeatTargets [][4]byte             // Agents that this round of heartbeats has not reached yet.
	named            map[[4]byte]time.Time // Balancers that others named, and until when that counts.
	leaving          bool
	wake             chan struct{}
	gauges           gauges
	gaugeAt          time.Time
}

// RunBalancer runs a balancer until ctx ends and the routers have left it.
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
		base:    bas,
		clients: con,
		toUser:  newPost(con),
		tracker: bas.newTracker(time.Now()),
		fleet:   fleet.New(),
		meter:   newBalancerMeter(bas.scope),
		named:   make(map[[4]byte]time.Time),
		wake:    make(chan struct{}, 1),
		gauges:  gauges{scope: bas.scope},
	}
	blc.table = track.New(set.Place().Zone(), set.LinkBytes(), blc.tracker, blc.fleet)
	bas.rep.OnChange(blc.changed, blc)
	if err := bas.serveHTTP(); err != nil {
		return err
	}
	bas.sup.Add(bas.rep)
	bas.sup.Add(newSettingsWatch(set.Path(), log, blc.adopt))
	bas.sup.Add(&clientReader{blc})
	bas.sup.Add(&agentReader{blc})
	bas.sup.Add(&ticker{blc.tick, blc.wake})
	supCtx, cancel := context.WithCancel(context.Background())
	done := bas.sup.ServeBackground(supCtx)
	log.Info("started", zap.String("role", "balancer"), zap.Uint64("incarnation", bas.incarnation))
	<-ctx.Done()
	blc.leave(set.GraceDeadline(time.Now()).Add(-graceMargin))
	cancel()
	_ = blc.clients.Close()
	_ = blc.peers.Close()
	<-done
	log.Info("stopped")
	return nil
}

// adopt takes changed settings into use: the platform's address and the seeds.
func (blc *balancer) adopt(set *conf.Settings) {
	blc.store.SetAddress(set.Platform())
	blc.rep.SetSeeds(blc.seeds(set))
	blc.mu.Lock()
	defer blc.mu.Unlock()
	blc.set = set
}

// leave forwards until the routers send nothing any more.
func (blc *balancer) leave(deadline time.Time) {
	begun := time.Now()
	blc.ready.Store(false)
	blc.mu.Lock()
	blc.leaving = true
	blc.mu.Unlock()
	blc.log.Info("leaving", zap.Time("deadline", deadline))
	look := time.NewTicker(busyTick)
	defer look.Stop()
	for now := range look.C {
		blc.mu.Lock()
		last := blc.lastAt
		blc.mu.Unlock()
		quiet := now.Sub(last) >= leaveQuiet && now.Sub(begun) >= leaveAtLeast
		if quiet || !now.Before(deadline) {
			return
		}
	}
}

func (blc *balancer) awake() {
	select {
	case blc.wake <- struct{}{}:
	default:
	}
}

// clientReader reads packets of clients.
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
		blc.fromClients(box, count, time.Now())
	}
}

func (blc *balancer) fromClients(box *mmsg.Inbox, count int, now time.Time) {
	blc.mu.Lock()
	defer blc.mu.Unlock()
	blc.lastAt = now
	for i := range count {
		pkt, ok := platform.ParsePacket(box.Data(i))
		if !ok {
			blc.meter.malformed.Inc(1)
			continue
		}
		blc.table.HandleClientPacket(pkt, box.Data(i), now)
		blc.perform(now)
	}
	blc.flush(now)
}

// agentReader reads datagrams of agents and other balancers.
type agentReader struct{ blc *balancer }

// Serve runs until the socket is closed.
func (rdr *agentReader) Serve(context.Context) error {
	blc := rdr.blc
	box := mmsg.NewInbox(0)
	for {
		count, err := blc.peers.Read(box)
		if err != nil {
			return suture.ErrDoNotRestart
		}
		blc.fromPeers(box, count, time.Now())
	}
}

func (blc *balancer) fromPeers(box *mmsg.Inbox, count int, now time.Time) {
	blc.mu.Lock()
	defer blc.mu.Unlock()
	for i := range count {
		hdr, ok := encap.Parse(box.Data(i))
		if !ok {
			blc.meter.malformed.Inc(1)
			continue
		}
		from := box.Source(i)
		blc.noteAgent(hdr, from, now)
		if hdr.Kind() == encap.Heartbeat {
			blc.handleHeartbeat(hdr, from, now)
			blc.noteNamed(box.Data(i)[encap.HeaderBytes:], now)
			continue
		}
		blc.table.HandleAgentDatagram(hdr, box.Data(i)[encap.HeaderBytes:], from.Addr().As4(), now)
		blc.perform(now)
	}
	blc.flush(now)
}

func (blc *balancer) noteAgent(hdr encap.Header, from netip.AddrPort, now time.Time) {
	agt := blc.fleet.Agent(from.Addr().As4())
	if agt == nil {
		return
	}
	silent := agt.UnansweredFor(askAgainTime, now)
	changed := agt.NoteHeard(hdr, now)
	if silent {
		blc.table.QueryAgain(agt)
	}
	if changed {
		blc.log.Info("agent", zap.Stringer("vm", from.Addr()), zap.Bool("leaving", hdr.Leaving()), zap.Bool("upstreamDown", hdr.UpstreamDown()))
	}
}

// perform does what the table decided.
func (blc *balancer) perform(now time.Time) {
	for _, act := range blc.table.TakeActions() {
		switch act.Kind() {
		case track.Send:
			blc.post.framed(act.Header(), act.Packet(), addrOf(act.Agent(), blc.self.Port()))
		case track.Reset:
			blc.toUser.packet(platform.NewReset(act.Key(), act.Seq()), addrOf(act.Key().Client().IP(), blc.set.PacketListen().Port()))
			blc.note(act, "reset", now)
		case track.Notice:
			blc.note(act, "flow", now)
		}
	}
}

// note logs a decision with what decided it. Each cause is a message of its own,
// so that a frequent one does not have a rare one dropped.
func (blc *balancer) note(act track.Action, outcome string, now time.Time) {
	blc.meter.cause(act.Cause())
	agt := blc.fleet.Agent(act.Agent())
	if act.Cause() == track.Answered && agt != nil {
		blc.meter.answered(agt.Upstream().Service(), act.Took())
	}
	ent := blc.log.Check(zap.InfoLevel, outcome+" "+act.Cause().String())
	if ent == nil {
		return
	}
	fields := []zap.Field{zap.Stringer("flow", act.Key()), zap.Uint64("version", blc.tracker.State().Version()), logs.Age("stateAge", blc.rep.ConfirmedAt(), now)}
	if agt != nil {
		fields = append(fields, zap.Stringer("agent", netip.AddrFrom4(act.Agent())), zap.String("upstream", agt.Upstream().ID()), zap.Float64("requests", agt.Load().Requests()),
			zap.Int("flows", agt.Load().Flows()), zap.Int("pending", agt.PendingOpenings()), logs.Age("loadAge", agt.HeardAt(), now))
	}
	if act.Took() > 0 {
		fields = append(fields, zap.Duration("took", act.Took()))
	}
	ent.Write(fields...)
}

func (blc *balancer) flush(now time.Time) {
	blc.table.SendQueries(now)
	blc.perform(now)
	blc.post.flush()
	blc.toUser.flush()
	if blc.table.NeedsTick() {
		blc.awake()
	}
}

// tick handles the passing of time and returns when the next tick is due.
func (blc *balancer) tick(now time.Time) time.Time {
	blc.mu.Lock()
	defer blc.mu.Unlock()
	blc.fleet.Tick(now)
	blc.tracker.Confirm(blc.rep.ConfirmedAt())
	blc.table.Tick(now)
	blc.perform(now)
	blc.sendHeartbeats(now)
	blc.flush(now)
	blc.measure(now)
	if blc.table.NeedsTick() {
		return now.Add(busyTick)
	}
	return now.Add(idleTick)
}

// measure brings the gauges up to date.
func (blc *balancer) measure(now time.Time) {
	if now.Before(blc.gaugeAt) {
		return
	}
	blc.gaugeAt = now.Add(gaugeInterval)
	blc.gauges.hold("flowsHinted", float64(blc.table.Hints()))
	blc.gauges.hold("upstreamsListed", float64(blc.fleet.Len()))
	blc.gauges.holdCommon(blc.base, now)
}
