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

// The course of a run, counted from the first answered request.
const (
	killAt     = 6 * time.Second
	drainAt    = 11 * time.Second
	editAt     = 17 * time.Second
	endAt      = 25 * time.Second
	readyLimit = 15 * time.Second
)

// The load of a run.
const (
	goldTills    = 40
	silverTills  = 20
	engravers    = 10
	workInterval = 400 * time.Millisecond
	burstEvery   = 5 * time.Second
	burstSize    = 5
	workLimit    = 10 * time.Second
	gapLimit     = 5 * time.Second // A stream without a line for this long is broken.
	probeStreak  = 30              // Fresh connections in a row that show an edit in force.
)

// The limits that users state for a run.
const (
	editLimit  = 14 * time.Second
	drainLimit = 5 * time.Second
)

type driveCommand struct{ command *kingpin.CmdClause }

func newDriveCommand(app *kingpin.Application) *driveCommand {
	return &driveCommand{command: app.Command("drive", "Drive streams and work through the scene and sum up.")}
}

// driver is one run. Its tallies come from callers and upstreams alone.
type driver struct {
	scn     *stand.Scene
	dir     string
	fabric  *stand.Fabric
	tally   tally
	drained time.Time
	edited  time.Time
	seen    time.Time
}

func (drv *driveCommand) run(ctx context.Context, scn *stand.Scene) error {
	run := &driver{scn: scn, dir: scn.Dir(), fabric: stand.NewFabric(scn.EntryPorts()...)}
	run.tally.answered = make(map[string]int)
	if err := run.awaitReady(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, endAt)
	defer cancel()
	var wait sync.WaitGroup
	run.startCallers(ctx, &wait)
	run.disturb(ctx)
	<-ctx.Done()
	wait.Wait()
	return run.sumUp()
}

func (run *driver) client(customer string) (*caller.Client, error) {
	idn, err := run.scn.Identity(customer)
	if err != nil {
		return nil, err
	}
	return caller.New(caller.Config{
		Address: stand.AddressOf(customer), Port: 443, TLS: idn.Caller(), Dialer: run.fabric,
	}), nil
}

func (run *driver) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for _, customer := range []string{"till-gold", "till-silver", "engraver"} {
		cln, err := run.client(customer)
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

func (run *driver) startCallers(ctx context.Context, wait *sync.WaitGroup) {
	for _, group := range []struct {
		customer string
		count    int
		streams  bool
	}{{"till-gold", goldTills, true}, {"till-silver", silverTills, true}, {"engraver", engravers, false}} {
		for i := range group.count {
			wait.Go(func() { run.till(ctx, group.customer, i, group.streams) })
		}
	}
}

// till is one caller: a stream that stays open, steady work, and bursts.
func (run *driver) till(ctx context.Context, customer string, num int, streams bool) {
	cln, err := run.client(customer)
	if err != nil {
		run.tally.fail(err)
		return
	}
	defer cln.Close()
	var wait sync.WaitGroup
	if streams {
		wait.Go(func() { run.watch(ctx, cln) })
	}
	tick := time.NewTicker(workInterval)
	defer tick.Stop()
	burst := time.Now().Add(burstEvery)
	for order := 0; ctx.Err() == nil; {
		count := 1
		if time.Now().After(burst) {
			count, burst = burstSize, burst.Add(burstEvery)
		}
		for range count {
			order++
			name := fmt.Sprintf("%s-%d-%d", customer, num, order)
			wait.Go(func() { run.order(cln, customer, name) })
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
	wait.Wait()
}

func (run *driver) order(cln *caller.Client, customer, name string) {
	ctx, cancel := context.WithTimeout(context.Background(), workLimit)
	defer cancel()
	ans, err := cln.Do(ctx, caller.Request{
		Method: http.MethodPost, Path: "/order", Body: []byte(strings.Repeat("x", 600)),
		Header: http.Header{stand.OrderField: {name}, stand.ServiceField: {stand.ServiceOf(customer)}},
	})
	whole := err == nil && string(ans.Body) == fmt.Sprintf("%s ran %s of 600 bytes\n", stand.ServiceOf(customer), name)
	run.tally.order(name, whole, err)
}

// watch reads a stream to the end of the run and counts it as broken when a
// line is missing or doubled, comes too late, or the connection was lost.
func (run *driver) watch(ctx context.Context, cln *caller.Client) {
	run.tally.flow()
	str, err := cln.Stream(ctx, stand.LivePath, func(line string) string { return line })
	if err != nil {
		run.tally.broken("open: " + err.Error())
		return
	}
	defer str.Close()
	last, lastAt := 0, time.Now()
	for {
		line, err := str.Next()
		if ctx.Err() != nil {
			break
		}
		num, perr := strconv.Atoi(line)
		if err != nil || perr != nil || num != last+1 || time.Since(lastAt) > gapLimit {
			run.tally.broken(fmt.Sprintf("line %q after %d, gap %s: %v", line, last, time.Since(lastAt), err))
			return
		}
		last, lastAt = num, time.Now()
	}
	if time.Since(lastAt) > gapLimit || str.Resumes() > 0 {
		run.tally.broken(fmt.Sprintf("%d resumes, last line %s ago", str.Resumes(), time.Since(lastAt)))
	}
}

// disturb kills a balancer, drains an upstream and edits a list.
func (run *driver) disturb(ctx context.Context) {
	begin := time.Now()
	run.after(ctx, begin.Add(killAt), func() { run.signal(run.scn.Balancers()[1].Name, syscall.SIGKILL) })
	run.after(ctx, begin.Add(drainAt), func() {
		run.drained = time.Now()
		run.signal(run.drainee().Name, syscall.SIGTERM)
	})
	run.after(ctx, begin.Add(editAt), func() {
		run.edited = time.Now()
		if err := run.scn.Publish("customers", 2, stand.CustomersList(stand.Customers...)); err != nil {
			run.tally.fail(err)
		}
		run.seen = run.probe(ctx)
	})
}

func (run *driver) drainee() stand.Host { return run.scn.Agents()[1] }

func (run *driver) after(ctx context.Context, at time.Time, act func()) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(at)):
		act()
	}
}

func (run *driver) signal(name string, sig syscall.Signal) {
	raw, err := os.ReadFile(filepath.Join(run.dir, name+".pid"))
	if err != nil {
		run.tally.fail(err)
		return
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(raw)))
	if err == nil {
		err = syscall.Kill(pid, sig)
	}
	if err != nil {
		run.tally.fail(err)
	}
}

// probe connects anew as the customer that the edit allows until many in a row
// are let in, and returns when the first of them was.
func (run *driver) probe(ctx context.Context) time.Time {
	var first time.Time
	for streak := 0; streak < probeStreak && ctx.Err() == nil; {
		if run.probeOnce(ctx) {
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

func (run *driver) probeOnce(ctx context.Context) bool {
	cln, err := run.client("newcomer")
	if err != nil {
		return false
	}
	defer cln.Close()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_, err = cln.Do(ctx, caller.Request{Method: http.MethodGet, Path: "/probe"})
	return err == nil
}

// reports asks every upstream what it counted.
func (run *driver) reports() (map[string]stand.Report, error) {
	all := make(map[string]stand.Report)
	for _, hst := range run.scn.Agents() {
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
