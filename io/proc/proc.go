// Package proc builds the balancer and the agent process from their parts and runs
// each under one supervisor tree.
package proc

import (
	"context"
	"time"

	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"lagoondrum/core/lists"
	"lagoondrum/core/table"
	"lagoondrum/core/token"
	"lagoondrum/io/admin"
	"lagoondrum/io/agent"
	"lagoondrum/io/carry"
	"lagoondrum/io/conf"
	"lagoondrum/io/entry"
	"lagoondrum/io/feed"
	"lagoondrum/io/logs"
	"lagoondrum/io/peer"
	"lagoondrum/io/stats"
	"lagoondrum/io/trust"
)

// Timing of the start and the end of a process.
const (
	peerTimeout   = 3 * time.Second // Without an answer from a peer a process serves after this long.
	readyInterval = 20 * time.Millisecond
	lingerTime    = time.Second // A balancer continues to forward for this long after SIGTERM.
)

// base holds the parts that a balancer and an agent have in common.
type base struct {
	set   *conf.Settings
	idn   *trust.Identity
	scope *stats.Scope
	log   *zap.Logger
	lists *feed.Lists
	mesh  *peer.Mesh
	sup   *suture.Supervisor
	ready chan struct{} // Closed by waitReady when the process may serve.
}

func newBase(set *conf.Settings) (*base, error) {
	idn, err := trust.Load(trust.NewFiles(set.TLSFiles()))
	if err != nil {
		return nil, err
	}
	log, err := newLogger(set)
	if err != nil {
		return nil, err
	}
	scope := stats.New(set.Name())
	bas := &base{set: set, idn: idn, scope: scope, log: log, ready: make(chan struct{})}
	bas.lists = feed.New(set.Place(), scope, log)
	bas.sup = suture.New(set.Name(), suture.Spec{EventHook: bas.logEvent})
	return bas, nil
}

func newLogger(set *conf.Settings) (*zap.Logger, error) {
	cfg := zap.NewProductionConfig()
	cfg.DisableCaller = true
	cfg.DisableStacktrace = true
	cfg.OutputPaths = []string{"stdout"}
	level, err := zap.ParseAtomicLevel(set.LogLevel())
	if err != nil {
		return nil, err
	}
	cfg.Level = level
	log, err := cfg.Build()
	if err != nil {
		return nil, err
	}
	return log.With(zap.String("process", set.Name())), nil
}

func (bas *base) logEvent(evt suture.Event) {
	bas.scope.Counter("supervisorEvents").Inc(1)
	bas.log.Warn("supervisor", zap.String("event", evt.String()))
}

// connect opens the mesh and adds it and the readers of the lists to the supervisor.
// The worker takes relayed work; a balancer has none and passes nil.
func (bas *base) connect(worker peer.Worker) error {
	bas.mesh = peer.New(bas.set.Place(), bas.idn, bas.lists, bas.set.Seeds(), worker, bas.scope, bas.log)
	if err := bas.mesh.Listen(); err != nil {
		return err
	}
	bas.lists.Subscribe(bas.mesh.Changed)
	bas.mesh.Supervise(bas.sup)
	for _, rdr := range feed.NewReaders(bas.lists, bas.set.Platform()) {
		bas.sup.Add(rdr)
	}
	return nil
}

// waitReady waits until every list is in force, and for at most peerTimeout until a peer
// has answered, so that a process does not rely on stale lists of the platform while a
// peer has newer ones. It reports false when ctx ends first.
func (bas *base) waitReady(ctx context.Context) bool {
	deadline := time.Now().Add(peerTimeout)
	tick := time.NewTicker(readyInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case now := <-tick.C:
			if bas.lists.Complete() && (bas.mesh.Heard() || now.After(deadline)) {
				close(bas.ready)
				bas.log.Info("ready")
				return true
			}
		}
	}
}

func (bas *base) close() {
	bas.mesh.Close()
	_ = bas.scope.Close()
	_ = bas.log.Sync()
}

// RunBalancer runs a balancer until ctx ends.
func RunBalancer(ctx context.Context, set *conf.Settings) error {
	if set.Packets() {
		return runPackets(ctx, set, carry.RunBalancer)
	}
	bas, err := newBase(set)
	if err != nil {
		return err
	}
	ent, err := entry.New(set.EntryPort(), set.Place(), bas.scope, bas.log)
	if err != nil {
		return err
	}
	upd := &tableUpdater{ent: ent, locality: set.Place(), lists: bas.lists, keyring: token.NewKeyring()}
	bas.lists.Subscribe(upd.update)
	if err := bas.connect(nil); err != nil {
		return err
	}
	ent.Supervise(bas.sup)
	bas.sup.Add(admin.New(set, bas.lists, bas.scope, admin.Balancer{Entry: ent}, bas.ready))
	supCtx, cancel := context.WithCancel(context.Background())
	done := bas.sup.ServeBackground(supCtx)
	if bas.waitReady(ctx) {
		<-ctx.Done()
		bas.log.Info("stopping")
		time.Sleep(lingerTime)
	}
	ent.Close()
	bas.close()
	cancel()
	<-done
	return nil
}

// logFlushTimeout is how long a process waits at its end until its last log lines are
// written.
const logFlushTimeout = 200 * time.Millisecond

// runPackets runs a process whose callers send packets in the platform's own format.
func runPackets(ctx context.Context, set *conf.Settings, run func(context.Context, *conf.Settings, *zap.Logger, *logs.Output) error) error {
	level, err := zap.ParseAtomicLevel(set.LogLevel())
	if err != nil {
		return err
	}
	log, out := logs.New(set.Name(), level.Level())
	err = run(ctx, set, log, out)
	if err != nil {
		log.Error("process failed", zap.Error(err))
	}
	out.Close(time.Now().Add(logFlushTimeout))
	return err
}

// tableUpdater builds a new table and gives it to the data path of a balancer whenever
// a list has changed.
type tableUpdater struct {
	ent      *entry.Entry
	locality table.Locality
	lists    *feed.Lists
	keyring  *token.Keyring
}

func (upd *tableUpdater) update(lists.Name) {
	if kys := upd.lists.Keys(); kys != nil {
		upd.keyring = upd.keyring.With(kys, time.Now())
	}
	upd.ent.SetTable(table.New(upd.lists.Plans(), upd.lists.VMs(), upd.locality), upd.keyring)
}

// RunAgent runs an agent until ctx ends and its drain is complete.
func RunAgent(ctx context.Context, set *conf.Settings) error {
	if set.Packets() {
		return runPackets(ctx, set, carry.RunAgent)
	}
	bas, err := newBase(set)
	if err != nil {
		return err
	}
	agt, err := agent.New(set.Place(), set.Service(), set.Upstream(), bas.lists, bas.scope, bas.log)
	if err != nil {
		return err
	}
	bas.lists.Subscribe(agt.SetLists)
	if err := bas.connect(agt.Worker()); err != nil {
		return err
	}
	agt.SetMesh(bas.mesh)
	bas.sup.Add(admin.New(set, bas.lists, bas.scope, admin.Agent{Agent: agt}, bas.ready))
	supCtx, cancel := context.WithCancel(context.Background())
	done := bas.sup.ServeBackground(supCtx)
	if bas.waitReady(ctx) {
		err = bas.serveAgent(ctx, agt)
	}
	agt.Close()
	bas.close()
	cancel()
	<-done
	return err
}

// serveAgent serves until ctx ends and then drains the agent.
func (bas *base) serveAgent(ctx context.Context, agt *agent.Agent) error {
	if err := agt.Supervise(bas.sup, bas.idn); err != nil {
		return err
	}
	<-ctx.Done()
	agt.Drain(bas.set.DrainDeadline(time.Now()))
	<-agt.Stopped()
	return nil
}
