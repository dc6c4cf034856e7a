package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"lagoondrum/io/caller"
	"lagoondrum/io/stand"
)

// Times of the faults and of the end of a run, counted from when each customer's
// first request has been answered.
const (
	killBalancerAt = 6 * time.Second
	drainAgentAt   = 11 * time.Second
	editListAt     = 17 * time.Second
	endAt          = 25 * time.Second
	readyTimeout   = 15 * time.Second
)

// Load of a run. The first three are numbers of callers, by customer.
const (
	goldTills     = 40
	silverTills   = 20
	engravers     = 10
	workInterval  = 400 * time.Millisecond
	burstInterval = 5 * time.Second
	burstSize     = 5
	workTimeout   = 10 * time.Second
	maxLineGap    = 5 * time.Second // A stream without a line for longer than this is broken.
	probeStreak   = 30              // Consecutive new connections that must be accepted before an edit counts as in force.
)

// Upper limits that users require for an edit and a drain.
const (
	editLimit  = 14 * time.Second
	drainLimit = 5 * time.Second
)

// driveCommand is the command drive.
type driveCommand struct{ command *kingpin.CmdClause }

func newDriveCommand(app *kingpin.Application) *driveCommand {
	return &driveCommand{command: app.Command("drive", "Open streams and send work through the scene under faults, and print a summary.")}
}

// driver performs one run. Its counts come only from callers and upstreams, never from the
// system.
type driver struct {
	scene          *stand.Scene
	dir            string
	fabric         *stand.Fabric
	tally          tally
	drainStartedAt time.Time
	editedAt       time.Time
	editSeenAt     time.Time // When the edit was first seen in force; zero if it was not.
}

// run performs a run from the first requests to the summary.
func (dcm *driveCommand) run(ctx context.Context, scn *stand.Scene) error {
	drv := &driver{scene: scn, dir: scn.Dir(), fabric: stand.NewFabric(scn.EntryPorts()...)}
	drv.tally.answered = make(map[string]int)
	if err := drv.awaitReady(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, endAt)
	defer cancel()
	var wait sync.WaitGroup
	drv.startCallers(ctx, &wait)
	drv.injectFaults(ctx)
	<-ctx.Done()
	wait.Wait()
	return drv.printResult()
}

// client returns a new client for a customer, whose packets pass through the fabric.
func (drv *driver) client(customer string) (*caller.Client, error) {
	idn, err := drv.scene.Identity(customer)
	if err != nil {
		return nil, err
	}
	return caller.New(caller.Config{
		Address: stand.AddressOf(customer), Port: 443, TLS: idn.Caller(), Dialer: drv.fabric,
	}), nil
}

// awaitReady waits until a request of each customer has been answered.
func (drv *driver) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, customer := range []string{"till-gold", "till-silver", "engraver"} {
		cln, err := drv.client(customer)
		if err != nil {
			return err
		}
		_, err = cln.Do(ctx, caller.Request{Method: http.MethodGet, Path: "/ready"})
		cln.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

// startCallers starts every caller; wait waits for them.
func (drv *driver) startCallers(ctx context.Context, wait *sync.WaitGroup) {
	for _, group := range []struct {
		customer string
		count    int
		streams  bool
	}{{"till-gold", goldTills, true}, {"till-silver", silverTills, true}, {"engraver", engravers, false}} {
		for i := range group.count {
			wait.Go(func() { drv.runCaller(ctx, group.customer, i, group.streams) })
		}
	}
}

// runCaller runs one caller until ctx ends: a stream if streams is set, work at a
// constant rate, and bursts of work.
func (drv *driver) runCaller(ctx context.Context, customer string, num int, streams bool) {
	cln, err := drv.client(customer)
	if err != nil {
		drv.tally.addFailure(err)
		return
	}
	defer cln.Close()
	var wait sync.WaitGroup
	if streams {
		wait.Go(func() { drv.watchStream(ctx, cln) })
	}
	tick := time.NewTicker(workInterval)
	defer tick.Stop()
	burst := time.Now().Add(burstInterval)
	for order := 0; ctx.Err() == nil; {
		count := 1
		if time.Now().After(burst) {
			count, burst = burstSize, burst.Add(burstInterval)
		}
		for range count {
			order++
			name := fmt.Sprintf("%s-%d-%d", customer, num, order)
			wait.Go(func() { drv.placeOrder(cln, customer, name) })
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
	wait.Wait()
}

// placeOrder has one order run and records its answer.
func (drv *driver) placeOrder(cln *caller.Client, customer, name string) {
	ctx, cancel := context.WithTimeout(context.Background(), workTimeout)
	defer cancel()
	ans, err := cln.Do(ctx, caller.Request{
		Method: http.MethodPost, Path: "/order", Body: []byte(strings.Repeat("x", 600)),
		Header: http.Header{stand.OrderField: {name}, stand.ServiceField: {stand.ServiceOf(customer)}},
	})
	complete := err == nil && string(ans.Body) == fmt.Sprintf("%s ran %s of 600 bytes\n", stand.ServiceOf(customer), name)
	drv.tally.addOrder(name, complete, err)
}

// watchStream reads a stream to the end of the run. The flow is broken when a line
// is missing, repeated or late, or when the connection was lost.
func (drv *driver) watchStream(ctx context.Context, cln *caller.Client) {
	drv.tally.addFlow()
	str, err := cln.Stream(ctx, stand.LivePath, func(line string) string { return line })
	if err != nil {
		drv.tally.addBrokenFlow("open: " + err.Error())
		return
	}
	defer str.Close()
	last, lastAt := 0, time.Now()
	for {
		line, err := str.Next()
		if ctx.Err() != nil {
			break
		}
		num, parseErr := strconv.Atoi(line)
		if err != nil || parseErr != nil || num != last+1 || time.Since(lastAt) > maxLineGap {
			drv.tally.addBrokenFlow(fmt.Sprintf("line %q after %d, gap %s: %v", line, last, time.Since(lastAt), err))
			return
		}
		last, lastAt = num, time.Now()
	}
	if time.Since(lastAt) > maxLineGap || str.Resumes() > 0 {
		drv.tally.addBrokenFlow(fmt.Sprintf("%d resumes, last line %s ago", str.Resumes(), time.Since(lastAt)))
	}
}

// injectFaults kills a balancer, drains the agent of an upstream and edits a list.
func (drv *driver) injectFaults(ctx context.Context) {
	begin := time.Now()
	drv.runAt(ctx, begin.Add(killBalancerAt), func() { drv.signalProcess(drv.scene.Balancers()[1].Name, syscall.SIGKILL) })
	drv.runAt(ctx, begin.Add(drainAgentAt), func() {
		drv.drainStartedAt = time.Now()
		drv.signalProcess(drv.drainedAgent().Name, syscall.SIGTERM)
	})
	drv.runAt(ctx, begin.Add(editListAt), func() {
		drv.editedAt = time.Now()
		if err := drv.scene.Publish("customers", 2, stand.CustomersList(stand.Customers...)); err != nil {
			drv.tally.addFailure(err)
		}
		drv.editSeenAt = drv.awaitEdit(ctx)
	})
}

// drainedAgent returns the agent that the run drains.
func (drv *driver) drainedAgent() stand.Host { return drv.scene.Agents()[1] }

// runAt calls act at a time, unless ctx ends first.
func (drv *driver) runAt(ctx context.Context, at time.Time, act func()) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(at)):
		act()
	}
}

// signalProcess sends a signal to a process by the ID in its PID file.
func (drv *driver) signalProcess(name string, sig syscall.Signal) {
	raw, err := os.ReadFile(filepath.Join(drv.dir, name+".pid"))
	if err != nil {
		drv.tally.addFailure(err)
		return
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(raw)))
	if err == nil {
		err = syscall.Kill(pid, sig)
	}
	if err != nil {
		drv.tally.addFailure(err)
	}
}

// awaitEdit opens new connections as the customer that the edit allows, until
// probeStreak of them in a row are accepted. It returns when the first of these was
// accepted, or the zero time when ctx ends before.
func (drv *driver) awaitEdit(ctx context.Context) time.Time {
	var first time.Time
	for streak := 0; streak < probeStreak && ctx.Err() == nil; {
		if drv.probeAccepted(ctx) {
			if streak == 0 {
				first = time.Now()
			}
			streak++
			continue
		}
		streak = 0
	}
	if ctx.Err() != nil {
		return time.Time{}
	}
	return first
}

// probeAccepted reports whether a request over a new connection succeeds as the
// customer that the edit allows.
func (drv *driver) probeAccepted(ctx context.Context) bool {
	cln, err := drv.client("newcomer")
	if err != nil {
		return false
	}
	defer cln.Close()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_, err = cln.Do(ctx, caller.Request{Method: http.MethodGet, Path: "/probe"})
	return err == nil
}

// fetchReports returns the report of every upstream, by the name of its agent.
func (drv *driver) fetchReports() (map[string]stand.Report, error) {
	all := make(map[string]stand.Report)
	for _, hst := range drv.scene.Agents() {
		rsp, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d%s", hst.Upstream, stand.ReportPath))
		if err != nil {
			return nil, err
		}
		var rep stand.Report
		err = json.NewDecoder(rsp.Body).Decode(&rep)
		_ = rsp.Body.Close()
		if err != nil {
			return nil, err
		}
		all[hst.Name] = rep
	}
	return all, nil
}
