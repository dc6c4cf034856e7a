package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ports are the ports that are the same on all machines.
type ports struct{ datagram, outbound, ready, peer, metrics, app uint16 }

// world is a small deployment on loopback addresses.
type world struct {
	bin      string // The project's program.
	dir      string // A temporary folder.
	rec      *record
	store    *entryStore
	storeAt  netip.AddrPort
	router   *router
	subnet   byte
	ports    ports
	grace    string
	first    bool
	fronts   []*machine
	sides    []*machine
	backends []*backend
	judge    func(att *attempt, flw openFlow, now time.Time)
}

// entryStore is a store whose backends' entries change only with more than their
// sequence.
type entryStore struct {
	*store
	mu    sync.Mutex
	known map[string]string
}

func (sto *entryStore) putEntry(key string, entry map[string]any, state string) {
	sto.mu.Lock()
	same := sto.known[key] == state
	sto.known[key] = state
	sto.mu.Unlock()
	if !same {
		sto.put(key, entry)
	}
}

// machine is a machine with one process of the system.
type machine struct {
	wld      *world
	name     string
	role     string
	zone     string
	ip       netip.Addr
	service  string
	settings string
	log      *os.File
	cmd      *exec.Cmd
	exited   chan struct{}
}

func newWorld(bin, dir, recordPath string) (*world, error) {
	rec, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	wld := &world{bin: bin, dir: dir, rec: rec, grace: "6", first: true}
	if err := wld.pickPorts(); err != nil {
		return nil, err
	}
	sto, err := newStore(wld.storeAt)
	if err != nil {
		return nil, err
	}
	wld.store = &entryStore{store: sto, known: make(map[string]string)}
	wld.router = newRouter(wld)
	return wld, nil
}

func (wld *world) ip(num int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, wld.subnet, 7, byte(num)})
}

// pickPorts picks a subnet of the loopback net and ports that are free there.
func (wld *world) pickPorts() error {
	for range 50 {
		wld.subnet = byte(20 + rand.IntN(200))
		var picked []uint16
		for range 6 {
			lst, err := net.Listen("tcp4", netip.AddrPortFrom(wld.ip(1), 0).String())
			if err != nil {
				break
			}
			defer lst.Close()
			picked = append(picked, lst.Addr().(*net.TCPAddr).AddrPort().Port())
		}
		lst, err := net.Listen("tcp4", netip.AddrPortFrom(wld.ip(250), 0).String())
		if err != nil || len(picked) < 6 {
			continue
		}
		wld.storeAt = lst.Addr().(*net.TCPAddr).AddrPort()
		_ = lst.Close()
		wld.ports = ports{picked[0], picked[1], picked[2], picked[3], picked[4], picked[5]}
		return nil
	}
	return errors.New("no free ports on the loopback net")
}

func (wld *world) at(ip netip.Addr, port uint16) netip.AddrPort { return netip.AddrPortFrom(ip, port) }

// seeds returns the control addresses of at most three fronts.
func (wld *world) seeds() string {
	var all []string
	for _, mch := range wld.fronts[:min(len(wld.fronts), 3)] {
		all = append(all, wld.at(mch.ip, wld.ports.peer).String())
	}
	return strings.Join(all, ",")
}

func (wld *world) addFront(zone string) *machine {
	num := len(wld.fronts) + 10
	mch := &machine{wld: wld, name: fmt.Sprintf("front-%s-%d", zone, num), role: "balancer", zone: zone, ip: wld.ip(num)}
	wld.fronts = append(wld.fronts, mch)
	return mch
}

func (wld *world) addSide(zone, service string) *machine {
	num := len(wld.sides) + 30
	mch := &machine{wld: wld, name: fmt.Sprintf("side-%s-%d", zone, num), role: "agent", zone: zone, ip: wld.ip(num), service: service}
	wld.sides = append(wld.sides, mch)
	return mch
}

// writeSettings writes the settings as the project's template of settings
// (deploy/process.ini) has them.
func (mch *machine) writeSettings(first bool) error {
	wld, pts := mch.wld, mch.wld.ports
	text := fmt.Sprintf("[process]\nname = %s\nzone = %s\nregion = praha\nfabric = packets\nfirstStart = %v\n\n[peer]\naddress = %v\nseeds = %s\n\n", mch.name, mch.zone, first, wld.at(mch.ip, pts.peer), wld.seeds())
	text += fmt.Sprintf("[platform]\naddress = %v\napplyMillis = 3000\ndrainMillis = 3000\ncontracts = base,drain,config,cost,recover,flows,platform\n", wld.storeAt)
	text += fmt.Sprintf("[packets]\nlisten = %v\nready = %v\nmetrics = %v\nlinkMbps = 1000.0\ngraceSeconds = %s\n", wld.at(mch.ip, pts.datagram), wld.at(mch.ip, pts.ready), wld.at(mch.ip, pts.metrics), wld.grace)
	if mch.role == "agent" {
		text += fmt.Sprintf("outbound = %v\n\n[upstream]\naddress = %v\nservice = %s\n", wld.at(mch.ip, pts.outbound), wld.at(mch.ip, pts.app), mch.service)
	}
	mch.settings = filepath.Join(wld.dir, mch.name+".ini")
	next := mch.settings + ".next"
	if err := os.WriteFile(next, []byte(text), 0o644); err != nil {
		return err
	}
	return os.Rename(next, mch.settings)
}

// start starts the machine's process with the command of the deploy file.
func (mch *machine) start(first bool) error {
	if err := mch.writeSettings(first); err != nil {
		return err
	}
	if mch.log == nil {
		file, err := os.Create(filepath.Join(mch.wld.dir, mch.name+".log"))
		if err != nil {
			return err
		}
		mch.log = file
	}
	cmd := exec.Command(mch.wld.bin, mch.role, "--settings", mch.settings)
	cmd.Stdout, cmd.Stderr = mch.log, mch.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	mch.wld.rec.note("start %s", mch.name)
	mch.cmd, mch.exited = cmd, make(chan struct{})
	go func(exited chan struct{}) {
		err := cmd.Wait()
		mch.wld.rec.note("exit %s (%v)", mch.name, err)
		close(exited)
	}(mch.exited)
	return nil
}

func (mch *machine) signal(sig syscall.Signal) {
	if mch.cmd != nil {
		mch.wld.rec.note("signal %s %v", mch.name, sig)
		_ = mch.cmd.Process.Signal(sig)
	}
}

// restart stops a machine's process as the platform does, and starts it again some time
// after it has ended.
func (wld *world) restart(mch *machine, dst *disturbances, after time.Duration) {
	dst.note(mch)
	mch.signal(syscall.SIGTERM)
	<-mch.exited
	time.Sleep(after)
	if err := mch.start(false); err != nil {
		wld.rec.note("start of %s failed: %v", mch.name, err)
	}
	dst.note(mch)
}

// sideOf returns the machine beside which a backend runs.
func (wld *world) sideOf(bck *backend) *machine {
	for i, other := range wld.backends {
		if other == bck {
			return wld.sides[i]
		}
	}
	return nil
}

// isReady asks the process as the platform's routers do.
func (mch *machine) isReady() bool {
	hc := http.Client{Timeout: 300 * time.Millisecond}
	rsp, err := hc.Get("http://" + mch.wld.at(mch.ip, mch.wld.ports.ready).String() + "/api/ready")
	if err != nil {
		return false
	}
	_ = rsp.Body.Close()
	return rsp.StatusCode == http.StatusOK
}

// startAll starts the machines and a backend on every side machine, and waits until the
// processes are ready and know the backends.
func (wld *world) startAll(slots int, work func() time.Duration) error {
	for _, mch := range append(append([]*machine(nil), wld.fronts...), wld.sides...) {
		if err := mch.start(true); err != nil {
			return err
		}
	}
	for i, mch := range wld.sides {
		cfg := backendConfig{id: fmt.Sprintf("i-%d", i), service: mch.service, zone: mch.zone, app: wld.at(mch.ip, wld.ports.app), outbound: wld.at(mch.ip, wld.ports.outbound), slots: slots, queue: 4 * slots, heartbeat: 1200 * time.Millisecond, work: work}
		bck, err := newBackend(wld, cfg)
		if err != nil {
			return err
		}
		wld.backends = append(wld.backends, bck)
	}
	if err := wld.awaitReady(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	return nil
}

// awaitReady waits until all processes are ready.
func (wld *world) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, mch := range append(append([]*machine(nil), wld.fronts...), wld.sides...) {
		for !mch.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", mch.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// close ends every process that the world has started.
func (wld *world) close() {
	for _, mch := range append(append([]*machine(nil), wld.fronts...), wld.sides...) {
		if mch.cmd != nil {
			_ = mch.cmd.Process.Signal(syscall.SIGCONT)
			_ = mch.cmd.Process.Kill()
			<-mch.exited
		}
	}
}

func (wld *world) judgeReset(att *attempt, flw openFlow, now time.Time) {
	if wld.judge != nil {
		wld.judge(att, flw, now)
	}
}

// route is a route of the desired state.
type route struct {
	name, service, kind string
	address             netip.AddrPort
	timeoutMs, targetMs int
	priority            int
}

// putState writes a desired state.
func (wld *world) putState(version int, idleMs int, services []string, routes ...route) {
	var rts, svcs []map[string]any
	for _, rte := range routes {
		rts = append(rts, map[string]any{"name": rte.name, "host": rte.address.Addr().String(), "prefix": fmt.Sprintf("/%d/", rte.address.Port()), "type": rte.kind,
			"timeout-ms": rte.timeoutMs, "target-latency-ms": rte.targetMs, "priority": rte.priority, "service": rte.service, "max-attempts": 2})
	}
	for _, name := range services {
		svcs = append(svcs, map[string]any{"name": name, "health-path": "/health", "max-conns": 2000, "protocol": "h1", "tls": false})
	}
	raw, _ := json.Marshal(map[string]any{"version": version, "routes": rts, "services": svcs,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": idleMs}})
	wld.store.put("op/config", raw)
	wld.rec.note("desired state %d acknowledged: %s", version, raw)
}

// router stands in for the platform's routers: it hashes flows over the balancers that
// are in rotation.
type router struct {
	wld    *world
	mu     sync.Mutex
	misses map[*machine]int
}

func newRouter(wld *world) *router { return &router{wld: wld, misses: make(map[*machine]int)} }

// watch asks every balancer twice a second whether it is ready, until stop is closed.
func (rtr *router) watch(stop <-chan struct{}) {
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	for {
		for _, mch := range rtr.wld.fronts {
			go func() {
				ok := mch.isReady()
				rtr.mu.Lock()
				defer rtr.mu.Unlock()
				if ok {
					rtr.misses[mch] = 0
				} else {
					rtr.misses[mch]++
				}
			}()
		}
		select {
		case <-stop:
			return
		case <-tick.C:
		}
	}
}

// candidates returns the balancers that the packets of a zone's clients go to: those of
// the zone that are in rotation, all of the zone if these are fewer than half, and those
// of other zones if there are none.
func (rtr *router) candidates(zone string) []*machine {
	var own, ready, others []*machine
	for _, mch := range rtr.wld.fronts {
		up := rtr.misses[mch] < 2
		switch {
		case mch.zone != zone && up:
			others = append(others, mch)
		case mch.zone == zone:
			own = append(own, mch)
			if up {
				ready = append(ready, mch)
			}
		}
	}
	switch {
	case len(ready) == 0:
		return others
	case 2*len(ready) < len(own):
		return own
	default:
		return ready
	}
}

// pick returns the address of the balancer that a flow's packets go to now.
func (rtr *router) pick(zone string, key flowKey) (netip.AddrPort, bool) {
	rtr.mu.Lock()
	defer rtr.mu.Unlock()
	var best *machine
	var bestScore uint64
	for _, mch := range rtr.candidates(zone) {
		sum := fnv.New64a()
		fmt.Fprint(sum, key.client, key.service, mch.ip)
		score := sum.Sum64()
		score ^= score >> 33
		score *= 0xff51afd7ed558ccd
		score ^= score >> 33
		if best == nil || score > bestScore {
			best, bestScore = mch, score
		}
	}
	if best == nil {
		return netip.AddrPort{}, false
	}
	return rtr.wld.at(best.ip, rtr.wld.ports.datagram), true
}
