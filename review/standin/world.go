package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ports are the ports that are the same on all machines of a run.
type ports struct{ datagram, ready, control, peer, outbound, app, metrics, store uint16 }

// machine is a machine with one process of the system.
type machine struct {
	name, role, zone, service string
	ip                        [4]byte
	mu                        sync.Mutex
	cmd                       *exec.Cmd
	exited                    chan struct{}
	logFile                   *os.File
	starts                    int
	misses                    int // Readiness checks that failed in a row.
	inRotation                bool
}

// opening is an opening packet that made a backend create a flow.
type opening struct {
	backend string
	key     flowKey
	at      time.Time
}

// world is one small deployment with its stand-ins.
type world struct {
	root, dir string
	subnet    [2]byte
	port      ports
	store     *store
	fronts    []*machine
	sides     []*machine
	seeds     string
	trouble   bool

	mu       sync.Mutex
	rec      *os.File
	start    time.Time
	openings []opening
	opens    map[flowKey][]string // Backends at which the flow opened.
	runs     map[string][]string  // Backends that ran a request, by its ID.
	arrivals map[flowKey][]arrival
}

// arrival is a packet of a flow, other than an opening, that reached a backend.
type arrival struct {
	backend string
	at      time.Time
	holds   bool // The backend holds the flow.
}

// must ends a case that could not run.
func (w *world) must(err error) {
	if err != nil {
		w.record("the case could not run: %v", err)
		w.close()
		os.Exit(2)
	}
}

// newWorld prepares a run in a temporary folder, on the loopback addresses
// 127.SUBNET.x.y.
func newWorld(caseDir string, subnet [2]byte) *world {
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rec, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w := &world{root: root, dir: dir, subnet: subnet, rec: rec, start: time.Now(), trouble: os.Getenv("TROUBLE") != "0",
		store: newStore(), opens: map[flowKey][]string{}, runs: map[string][]string{}, arrivals: map[flowKey][]arrival{}}
	w.choosePorts()
	return w
}

// ip returns the address 127.SUBNET.net.host.
func (w *world) ip(last byte) [4]byte { return [4]byte{127, w.subnet[0], w.subnet[1], last} }

// choosePorts picks ports that are free.
func (w *world) choosePorts() {
	for range 100 {
		base := uint16(20000 + 10*rand.IntN(1000))
		free := true
		for off := uint16(0); off < 8; off++ {
			addr := fmt.Sprintf("0.0.0.0:%d", base+off)
			tcp, err := net.Listen("tcp4", addr)
			if err == nil {
				tcp.Close()
			}
			udp, udpErr := net.ListenPacket("udp4", addr)
			if udpErr == nil {
				udp.Close()
			}
			free = free && err == nil && udpErr == nil
		}
		if free {
			w.port = ports{base, base + 1, base + 2, base + 3, base + 4, base + 5, base + 6, base + 7}
			return
		}
	}
	w.must(fmt.Errorf("no free ports"))
}

// record writes a line to record.txt, with the time since the start.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.rec, "%8.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) noteOpening(bck *backend, key flowKey) {
	w.mu.Lock()
	w.openings = append(w.openings, opening{bck.id, key, time.Now()})
	w.mu.Unlock()
	w.record("backend %s: opening of %s", bck.id, key.client)
}

func (w *world) noteOpen(bck *backend, key flowKey) {
	w.mu.Lock()
	w.opens[key] = append(w.opens[key], bck.id)
	w.mu.Unlock()
	w.record("backend %s: flow %s is open", bck.id, key.client)
}

func (w *world) noteRun(bck *backend, key flowKey, id string) {
	w.mu.Lock()
	w.runs[id] = append(w.runs[id], bck.id)
	w.mu.Unlock()
	w.record("backend %s: runs request %s of %s", bck.id, id, key.client)
}

func (w *world) noteArrival(bck *backend, key flowKey, holds bool) {
	w.mu.Lock()
	w.arrivals[key] = append(w.arrivals[key], arrival{bck.id, time.Now(), holds})
	w.mu.Unlock()
	if !holds {
		w.record("backend %s: returns a packet of %s, which it does not hold", bck.id, key.client)
	}
}

// misled returns how many packets of a flow reached other backends within span, while
// none reached its own; the largest number of any such time.
func (w *world) misled(key flowKey, span time.Duration) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	most := 0
	all := w.arrivals[key]
	for i, first := range all {
		count := 0
		for _, arr := range all[i:] {
			if arr.at.Sub(first.at) >= span {
				break
			}
			if arr.holds {
				count = 0
				break
			}
			count++
		}
		most = max(most, count)
	}
	return most
}

// holder returns the backend at which a flow opened.
func (w *world) holder(key flowKey) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Join(w.opens[key], ",")
}

// addFront and addSide add a machine, and its own way to the store.
func (w *world) addFront(name, zone string, ip [4]byte) *machine {
	mch := &machine{name: name, role: "balancer", zone: zone, ip: ip}
	w.fronts = append(w.fronts, mch)
	w.connect(mch)
	return mch
}

func (w *world) addSide(name, zone, service string, ip [4]byte) *machine {
	mch := &machine{name: name, role: "agent", zone: zone, service: service, ip: ip}
	w.sides = append(w.sides, mch)
	w.connect(mch)
	return mch
}

// storeAddr returns the address at which a machine reaches the store.
func (w *world) storeAddr(mch *machine) string {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, w.subnet[0], w.subnet[1] + 1, mch.ip[3]}), w.port.store).String()
}

func (w *world) connect(mch *machine) {
	lst, err := net.Listen("tcp4", w.storeAddr(mch))
	w.must(err)
	w.store.serve(mch.name, lst)
}

// settings are those of deploy/process.ini for this machine.
func (w *world) settings(mch *machine, first bool) string {
	ip := netip.AddrFrom4(mch.ip)
	set := fmt.Sprintf("[process]\nname = %s\nzone = %s\nregion = region-1\nfabric = packets\nfirstStart = %v\n\n[peer]\naddress = %s:%d\nseeds = %s\n\n"+
		"[platform]\naddress = %s\n\n[packets]\nlisten = %s:%d\nready = %s:%d\nmetrics = %s:%d\nlinkMbps = 1000.0\ngraceSeconds = 6\n",
		mch.name, mch.zone, first, ip, w.port.peer, w.seeds, w.storeAddr(mch), ip, w.port.datagram, ip, w.port.ready, ip, w.port.metrics)
	if mch.role == "agent" {
		set += fmt.Sprintf("outbound = %s:%d\n\n[upstream]\naddress = %s:%d\nservice = %s\n", ip, w.port.outbound, ip, w.port.app, mch.service)
	}
	return set
}

// run starts the machine's process with the command of the deploy file.
func (w *world) run(mch *machine, first bool) {
	mch.mu.Lock()
	defer mch.mu.Unlock()
	file := filepath.Join(w.dir, mch.name+".ini")
	w.must(os.WriteFile(file, []byte(w.settings(mch, first)), 0o644))
	mch.starts++
	log, err := os.Create(filepath.Join(w.dir, fmt.Sprintf("%s-%d.log", mch.name, mch.starts)))
	w.must(err)
	cmd := exec.Command(filepath.Join(w.root, "target/lagoondrum"), mch.role, "--settings", file)
	cmd.Dir, cmd.Stdout, cmd.Stderr = w.root, log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	w.must(cmd.Start())
	mch.cmd, mch.logFile, mch.exited = cmd, log, make(chan struct{})
	go func(exited chan struct{}) {
		cmd.Wait()
		log.Close()
		close(exited)
	}(mch.exited)
	w.record("machine %s: process started", mch.name)
}

// signal sends a signal to the machine's process.
func (w *world) signal(mch *machine, sig syscall.Signal) {
	mch.mu.Lock()
	defer mch.mu.Unlock()
	if mch.cmd != nil {
		mch.cmd.Process.Signal(sig)
		w.record("machine %s: %s", mch.name, sig)
	}
}

// awaitExit waits until the machine's process has ended, and kills it after the grace.
func (w *world) awaitExit(mch *machine, grace time.Duration) {
	select {
	case <-mch.exited:
	case <-time.After(grace):
		w.signal(mch, syscall.SIGKILL)
		<-mch.exited
	}
	w.record("machine %s: process ended", mch.name)
}

// probe checks the readiness of the fronts twice a second, as the platform does.
func (w *world) probe() {
	cli := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, mch := range w.fronts {
		go func() {
			for range time.Tick(500 * time.Millisecond) {
				rsp, err := cli.Get(fmt.Sprintf("http://%s:%d/api/ready", netip.AddrFrom4(mch.ip), w.port.ready))
				good := err == nil && rsp.StatusCode == http.StatusOK
				if err == nil {
					rsp.Body.Close()
				}
				mch.mu.Lock()
				before := mch.inRotation
				if good {
					mch.misses, mch.inRotation = 0, true
				} else if mch.misses++; mch.misses >= 2 {
					mch.inRotation = false
				}
				after := mch.inRotation
				mch.mu.Unlock()
				if before != after {
					w.record("router: %s in rotation: %v", mch.name, after)
				}
			}
		}()
	}
}

// route returns the front of a flow by a steady hash over the fronts in rotation; over
// all of them if there is none.
func (w *world) route(key flowKey) *machine {
	var best *machine
	var highest uint64
	for _, all := range []bool{false, true} {
		for _, mch := range w.fronts {
			mch.mu.Lock()
			in := mch.inRotation
			mch.mu.Unlock()
			if !in && !all {
				continue
			}
			hash := fnv.New64a()
			fmt.Fprint(hash, key.client, key.service, mch.name)
			if score := mix(hash.Sum64()); best == nil || score > highest {
				best, highest = mch, score
			}
		}
		if best != nil {
			return best
		}
	}
	return best
}

// mix spreads a hash over all its bits.
func mix(sum uint64) uint64 {
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	sum *= 0xc4ceb9fe1a85ec53
	return sum ^ sum>>33
}

// route of the desired state.
type routeEntry struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Prefix      string `json:"prefix"`
	Type        string `json:"type"`
	TimeoutMs   int    `json:"timeout-ms"`
	TargetMs    int    `json:"target-latency-ms"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"max-attempts"`
}

func (ep endpoint) route(name, service string) routeEntry {
	return routeEntry{Name: name, Host: netip.AddrFrom4(ep.ip).String(), Prefix: fmt.Sprintf("/%d/", ep.port), Type: "safe",
		TimeoutMs: 2500, TargetMs: 150, Priority: 2, Service: service, MaxAttempts: 2}
}

// idleRoutes is how many further routes see no traffic.
const idleRoutes = 110

// publish writes a desired state; the return is the store's ack.
func (w *world) publish(version, idleMs int, services []string, routes ...routeEntry) {
	var svcs []map[string]any
	for _, name := range services {
		svcs = append(svcs, map[string]any{"name": name, "health-path": "/health", "max-conns": 2000, "protocol": "h1", "tls": false})
	}
	all := routes
	for i := range idleRoutes {
		all = append(all, endpoint{[4]byte{198, 18, 1, byte(i + 1)}, 8443}.route(fmt.Sprintf("r-idle-%d", i+1), services[i%len(services)]))
	}
	value, _ := json.Marshal(map[string]any{"version": version, "routes": all, "services": svcs, "limits": map[string]any{
		"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": idleMs}})
	w.store.put("op/config", value)
	var names []string
	for _, rte := range routes {
		names = append(names, rte.Name+" to "+rte.Service)
	}
	w.record("operator: version %d acknowledged: idle-timeout-ms %d, routes %s", version, idleMs, strings.Join(names, "; "))
}

// awaitReady waits until every front is in rotation.
func (w *world) awaitReady(limit time.Duration) {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		if !slices.ContainsFunc(w.fronts, func(mch *machine) bool {
			mch.mu.Lock()
			defer mch.mu.Unlock()
			return !mch.inRotation
		}) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	w.must(fmt.Errorf("the fronts are not ready"))
}

// close ends every process that was started.
func (w *world) close() {
	for _, mch := range append(slices.Clone(w.fronts), w.sides...) {
		if mch.cmd != nil {
			mch.cmd.Process.Signal(syscall.SIGCONT)
			mch.cmd.Process.Kill()
			<-mch.exited
		}
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs are in", w.dir)
		return
	}
	os.RemoveAll(w.dir)
}

// finish prints the verdict, ends all processes and exits.
func (w *world) finish(broken []string) {
	for _, line := range broken {
		w.record("BROKEN: %s", line)
		fmt.Println("BROKEN:", line)
	}
	w.close()
	if len(broken) > 0 {
		os.Exit(1)
	}
	w.record("the rule held")
	fmt.Println("the rule held")
	os.Exit(0)
}

func sleepUntil(at time.Time) { time.Sleep(time.Until(at)) }
