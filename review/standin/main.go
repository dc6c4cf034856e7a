// Command drive plays the cases of the review: it starts the project's processes with
// stand-ins of the platform's store, its routers, backends and clients, and exits with
// 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// Bounds of the site povltavi-lavky.
const (
	contact     = 4000 * time.Millisecond
	drainBound  = 3000 * time.Millisecond
	configApply = 3000 * time.Millisecond
	budget      = 2500 * time.Millisecond
)

// Names of the site povltavi-lavky; a case of another site sets its own.
var (
	feed     = "plaque-feed"
	upload   = "photo-upload"
	zones    = []string{"karlin", "smichov", "podoli"}
	services = []string{feed, upload}
	board    = endpoint{[4]byte{198, 18, 0, 1}, 8443}
	scans    = endpoint{[4]byte{198, 18, 0, 2}, 8443}
)

func main() {
	runtime.LockOSThread() // The processes die with the thread that started them.
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: drive CASE FOLDER")
		os.Exit(2)
	}
	cases := map[string]func(string){"idle": playIdle, "history": playHistory, "foreign": playForeign, "seeds": playSeeds, "lists": playLists, "clock": playClock, "tries": playTries}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(2)
	}
	play(os.Args[2])
}

// deploy starts fronts, and sides with their backends: feeds of the one service and
// uploads of the other.
func (w *world) deploy(fronts, feeds, uploads int) []*backend {
	for i := range fronts {
		w.addFront(fmt.Sprintf("front-%d", i+1), zones[i%len(zones)], w.ip(byte(10+i)))
	}
	if w.seeds == "" {
		w.seeds = w.seedList(w.fronts[:min(3, fronts)])
	}
	for i := range feeds + uploads {
		service := feed
		if i >= feeds {
			service = upload
		}
		w.addSide(fmt.Sprintf("side-%d", i+1), zones[i%len(zones)], service, w.ip(byte(30+i)))
	}
	for _, mch := range append(w.fronts, w.sides...) {
		w.run(mch, true)
	}
	var backends []*backend
	for i, mch := range w.sides {
		backends = append(backends, w.startBackend(fmt.Sprintf("i-%04x%d", 0xa1b0+i*77, i+1), mch.service, mch.ip, mch.zone))
	}
	w.probe()
	return backends
}

// seedList returns the control addresses of machines.
func (w *world) seedList(machines []*machine) string {
	var seeds []string
	for _, mch := range machines {
		seeds = append(seeds, netip.AddrPortFrom(netip.AddrFrom4(mch.ip), w.port.control).String())
	}
	return strings.Join(seeds, ",")
}

// openFlows opens flows that each get one answer, some at a time.
func (w *world) openFlows(cli *client, count int) []*clientFlow {
	const atOnce = 6
	flows := make([]*clientFlow, count)
	errs := make(chan error, count)
	for worker := range atOnce {
		go func() {
			for i := worker; i < count; i += atOnce {
				flw, out := cli.open(board)
				if out == answered {
					out, _ = flw.request(fmt.Sprintf("first-%d", i+1), budget)
				}
				flows[i] = flw
				if out != answered {
					errs <- fmt.Errorf("flow %d could not be opened: %s", i+1, out)
					continue
				}
				errs <- nil
			}
		}()
	}
	for range count {
		w.must(<-errs)
	}
	return flows
}

// secondRequests sends another request on each flow, one after each gap, and returns the
// resets of the system that reached flows whose backend lives.
func (w *world) secondRequests(flows []*clientFlow, gap time.Duration) (broken []string) {
	type result struct {
		flw *clientFlow
		out outcome
	}
	results := make(chan result, len(flows))
	for i, flw := range flows {
		go func() {
			out, _ := flw.request(fmt.Sprintf("second-%d", i+1), budget)
			results <- result{flw, out}
		}()
		time.Sleep(gap)
	}
	for range flows {
		res := <-results
		if res.out == systemReset {
			broken = append(broken, fmt.Sprintf("FLOW: %s, open at backend %s, got a reset that its backend did not send (front %s)", res.flw.key.client, w.holder(res.flw.key), res.flw.via))
		}
	}
	return broken
}

// playIdle: the operator raises idle-timeout-ms while flows are open.
func playIdle(dir string) {
	w := newWorld(dir, [2]byte{61, 10})
	idle := 8000
	if !w.trouble {
		idle = 15000
	}
	w.publish(1, idle, services, board.route("r-board", feed), scans.route("r-scans", upload))
	w.deploy(2, 3, 1)
	w.awaitReady(15 * time.Second)
	sleepUntil(w.start.Add(6 * time.Second))
	flows := w.openFlows(w.startClient(w.ip(90)), 6)
	quietSince := time.Now()
	time.Sleep(time.Second)
	if w.trouble {
		w.publish(2, 15000, services, board.route("r-board", feed), scans.route("r-scans", upload))
	}
	sleepUntil(quietSince.Add(10 * time.Second))
	w.record("the flows have been idle for %.1f s", time.Since(quietSince).Seconds())
	w.finish(w.secondRequests(flows, 0))
}

// playHistory: all fronts are killed, the operator moves a route to another service
// meanwhile, and the fronts start again.
func playHistory(dir string) {
	w := newWorld(dir, [2]byte{61, 20})
	w.publish(1, 15000, services, board.route("r-board", feed), scans.route("r-scans", upload))
	w.deploy(4, 7, 3)
	w.awaitReady(15 * time.Second)
	sleepUntil(w.start.Add(6 * time.Second))
	flows := w.openFlows(w.startClient(w.ip(90)), 100)
	quietSince := time.Now()
	if w.trouble {
		for _, mch := range w.fronts {
			w.signal(mch, syscall.SIGKILL)
		}
		for _, mch := range w.fronts {
			w.awaitExit(mch, time.Second)
		}
	}
	time.Sleep(time.Second)
	w.publish(2, 15000, services, board.route("r-board", upload), scans.route("r-scans", upload))
	time.Sleep(time.Second)
	if w.trouble {
		for _, mch := range w.fronts {
			w.run(mch, false)
		}
	}
	time.Sleep(time.Second)
	w.awaitReady(5 * time.Second)
	sleepUntil(quietSince.Add(2*time.Second + contact + 3*time.Second))
	w.record("the flows have been idle for %.1f s; the fronts have run for more than contact-ms", time.Since(quietSince).Seconds())
	if w.trouble {
		w.signal(w.sides[9], syscall.SIGSTOP)
		time.AfterFunc(3500*time.Millisecond, func() { w.signal(w.sides[9], syscall.SIGCONT) })
	}
	w.finish(w.secondRequests(flows, 30*time.Millisecond))
}

// playForeign: another writer leaves an entry with a service that is not named and the
// address of a backend, and the fronts are stopped and started in turn.
func playForeign(dir string) {
	w := newWorld(dir, [2]byte{61, 30})
	w.publish(1, 15000, services, board.route("r-board", feed), scans.route("r-scans", upload))
	backends := w.deploy(3, 3, 1)
	w.awaitReady(15 * time.Second)
	sleepUntil(w.start.Add(6 * time.Second))
	cli := w.startClient(w.ip(90))
	flows := w.openFlows(cli, 40)
	if w.trouble {
		entry := map[string]any{"service": "not-in-use", "address": netip.AddrPortFrom(netip.AddrFrom4(backends[0].ip), w.port.app).String(), "zone": "karlin",
			"version": "v1", "slots": 4, "state": "ready", "cold-remaining-ms": 0, "sequence": 1, "born": time.Now().UnixMilli()}
		value, _ := json.Marshal(entry)
		w.store.put("servers/i-foreign", value)
		w.record("store: another writer wrote servers/i-foreign: %s", value)
	}
	time.Sleep(4 * time.Second)
	first := w.fronts[0]
	w.signal(first, syscall.SIGTERM)
	w.awaitExit(first, 6*time.Second)
	w.run(first, false)
	time.Sleep(2 * time.Second)
	w.finish(w.secondRequests(flows, 0))
}

// playSeeds: the three fronts that the seed addresses name lose power, and a backend
// leaves.
func playSeeds(dir string) {
	w := newWorld(dir, [2]byte{61, 60})
	w.publish(1, 15000, services, board.route("r-board", feed), scans.route("r-scans", upload))
	backends := w.deploy(4, 7, 3)
	w.awaitReady(15 * time.Second)
	sleepUntil(w.start.Add(10 * time.Second))
	cli := w.startClient(w.ip(90))
	seeds, other := w.fronts[:3], w.fronts[3]
	killed := time.Now()
	if w.trouble {
		for _, mch := range seeds {
			w.signal(mch, syscall.SIGKILL)
		}
	}
	sleepUntil(killed.Add(100 * time.Millisecond))
	left := []leave{backends[0].leave()}
	restarted := !w.trouble
	w.finish(w.openAfter(cli, &left, killed.Add(8*time.Second), other.name, func() {
		if !restarted && time.Since(killed) >= 3500*time.Millisecond {
			restarted = true
			for _, mch := range seeds {
				w.awaitExit(mch, time.Second)
				w.run(mch, false)
			}
		}
	}))
}

// playLists: the fronts that were the seeds are stopped and started in turn, with seed
// addresses that name the other fronts; later three backends leave, one after the other.
func playLists(dir string) {
	w := newWorld(dir, [2]byte{61, 80})
	w.publish(1, 15000, services, board.route("r-board", feed), scans.route("r-scans", upload))
	backends := w.deploy(6, 7, 3)
	w.awaitReady(15 * time.Second)
	sleepUntil(w.start.Add(8 * time.Second))
	if w.trouble {
		w.seeds = w.seedList(w.fronts[3:])
		w.record("processes that start now get the seed addresses %s", w.seeds)
		for _, mch := range w.fronts[:3] {
			w.signal(mch, syscall.SIGTERM)
			w.awaitExit(mch, 6*time.Second)
			w.run(mch, false)
			time.Sleep(1300 * time.Millisecond)
		}
	}
	w.awaitReady(10 * time.Second)
	time.Sleep(2 * contact)
	w.record("store: reads of the machines, by age: %v", w.store.readers(time.Now()))
	begun := time.Now()
	left := []leave{backends[0].leave()}
	w.finish(w.openAfter(w.startClient(w.ip(90)), &left, begun.Add(13*time.Second), "", func() {
		if len(left) < 3 && time.Since(begun) >= time.Duration(2*len(left))*time.Second {
			left = append(left, backends[len(left)].leave())
		}
	}))
}

// leave is the ack of a backend's report that it leaves.
type leave struct {
	backend string
	acked   time.Time
}

func (bck *backend) leave() leave {
	bck.drain()
	return leave{bck.id, time.Now()}
}

// openAfter opens flows until the deadline, and returns the openings that were sent
// later than the bound after the ack of a backend's leaving, through a front or through
// any, and reached that backend.
func (w *world) openAfter(cli *client, left *[]leave, deadline time.Time, front string, step func()) (broken []string) {
	for time.Now().Before(deadline) {
		step()
		sent := time.Now()
		flw, out := cli.open(board)
		if out == answered {
			flw.close()
		}
		for _, lve := range *left {
			if opn, ran := w.openingAt(lve.backend, flw.key); ran && (front == "" || flw.via == front) && sent.Sub(lve.acked) > drainBound {
				broken = append(broken, fmt.Sprintf("DRAIN: an opening of %s through %s reached backend %s %d ms after the ack of its leaving", flw.key.client, flw.via, lve.backend, opn.at.Sub(lve.acked).Milliseconds()))
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return broken
}

// openingAt returns the opening by which a backend took a flow.
func (w *world) openingAt(backend string, key flowKey) (opening, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, opn := range w.openings {
		if opn.backend == backend && opn.key == key {
			return opn, true
		}
	}
	return opening{}, false
}

// playClock: a backend starts while the time of day of its machine is ahead; after the
// clock has been set back, the machine's agent is stopped and started again.
func playClock(dir string) {
	const ahead = 2400 * time.Millisecond
	w := newWorld(dir, [2]byte{61, 100})
	w.publish(1, 15000, services, board.route("r-board", feed), scans.route("r-scans", upload))
	w.deploy(2, 2, 1)
	w.awaitReady(15 * time.Second)
	sleepUntil(w.start.Add(8 * time.Second))
	added := w.addSide("side-9", zones[0], feed, w.ip(50))
	w.run(added, false)
	time.Sleep(300 * time.Millisecond)
	born := time.Now()
	if w.trouble {
		born = born.Add(ahead)
	}
	w.record("the time of day of %s is %v ahead as its backend starts", added.name, time.Until(born).Round(100*time.Millisecond))
	bck := w.startBackendBorn("i-added", feed, added.ip, added.zone, born)
	time.Sleep(400 * time.Millisecond)
	flows := w.openFlows(w.startClient(w.ip(90)), 18)
	time.Sleep(100 * time.Millisecond)
	w.record("the time of day of %s is right again", added.name)
	w.signal(added, syscall.SIGTERM)
	w.awaitExit(added, 6*time.Second)
	time.Sleep(300 * time.Millisecond)
	w.run(added, false)
	time.Sleep(contact + time.Second)
	_ = bck
	w.finish(w.secondRequests(flows, 0))
}

// playTries: a route moves to another service, all processes are killed and start again,
// and a front is rolled while the clients of open flows send on.
func playTries(dir string) {
	feed, upload = "order-desk", "sheet-server"
	zones, services = []string{"paarl", "ceres", "grabouw", "wellington"}, []string{feed, upload}
	w := newWorld(dir, [2]byte{61, 120})
	w.publish(1, 15000, services, board.route("r-board", feed), scans.route("r-scans", upload))
	w.deploy(4, 7, 4)
	w.awaitReady(15 * time.Second)
	sleepUntil(w.start.Add(6 * time.Second))
	flows := w.openFlows(w.startClient(w.ip(90)), 40)
	w.publish(2, 15000, services, board.route("r-board", upload), scans.route("r-scans", upload))
	time.Sleep(time.Second)
	if w.trouble {
		all := append(w.fronts, w.sides...)
		for _, mch := range all {
			w.signal(mch, syscall.SIGKILL)
		}
		for _, mch := range all {
			w.awaitExit(mch, time.Second)
		}
		time.Sleep(time.Second)
		for _, mch := range all {
			w.run(mch, false)
		}
	}
	time.Sleep(contact + time.Second)
	w.awaitReady(5 * time.Second)
	go w.secondRequests(flows, 0)
	time.Sleep(100 * time.Millisecond)
	if w.trouble {
		w.signal(w.fronts[0], syscall.SIGTERM)
		w.awaitExit(w.fronts[0], 6*time.Second)
		w.run(w.fronts[0], false)
	}
	time.Sleep(2 * time.Second)
	var broken []string
	for _, flw := range flows {
		if count := w.misled(flw.key, 2*time.Second); count >= 3 {
			broken = append(broken, fmt.Sprintf("FLOW: %d packets of %s, open at backend %s, reached other backends and none its own within 2 s", count, flw.key.client, w.holder(flw.key)))
		}
	}
	w.finish(broken)
}
