package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"math/bits"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond // Between two reports of a backend.
	zoneName  = "karlin"
)

// terms are the bounds of a deployment.
type terms struct {
	applyMillis    int
	drainMillis    int
	evacuateMillis int // 0: not stated.
	coldOverage    float64
	coldSlack      float64
	graceSeconds   int
}

// Terms of the deployments that the cases name.
var (
	lavky   = terms{applyMillis: 3000, drainMillis: 3000, graceSeconds: 6}
	grown   = terms{applyMillis: 5000, drainMillis: 5000, graceSeconds: 6}
	sondrio = terms{applyMillis: 5000, drainMillis: 5000, evacuateMillis: 5000, coldOverage: 1.5, coldSlack: 5, graceSeconds: 6}
)

// ports are the same on all machines.
type ports struct{ packets, outbound, app, ready, peer, metrics, store uint16 }

// world is one small deployment on loopback addresses.
type world struct {
	rec     *record
	dir     string
	program string
	trms    terms
	prefix  string // Of all addresses, as 127.93.
	prts    ports
	store   *store
	router  *router
	clients *clients
	seeds   []*machine // The first front unless set.

	mu    sync.Mutex
	procs []*proc
}

// machine is a machine of the system.
type machine struct {
	wld  *world
	name string
	ip   netip.Addr
	role string
	proc *proc
	runs int
}

// side is a machine beside a backend.
type side struct {
	machine
	service  string
	app      netip.AddrPort
	outbound netip.AddrPort
}

// proc is a process of the project that the case started.
type proc struct {
	cmd  *exec.Cmd
	done chan struct{}
}

func newWorld(rec *record, dir, program string, trms terms) (*world, error) {
	wld := &world{rec: rec, dir: dir, program: program, trms: trms, prefix: fmt.Sprintf("127.%d.", 40+rand.IntN(200))}
	free := make([]uint16, 7)
	for i := range free {
		lst, err := net.Listen("tcp4", wld.ip("9.1").String()+":0")
		if err != nil {
			return nil, err
		}
		defer lst.Close()
		free[i] = uint16(lst.Addr().(*net.TCPAddr).Port)
	}
	wld.prts = ports{packets: free[0], outbound: free[1], app: free[2], ready: free[3], peer: free[4], metrics: free[5], store: free[6]}
	var err error
	if wld.store, err = newStore(wld.at("9.2", wld.prts.store).String()); err != nil {
		return nil, err
	}
	if wld.clients, err = newClients(wld, wld.at("8.1", wld.prts.packets)); err != nil {
		return nil, err
	}
	wld.router = newRouter(wld)
	return wld, nil
}

func (wld *world) ip(rest string) netip.Addr { return netip.MustParseAddr(wld.prefix + rest) }

func (wld *world) at(rest string, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(wld.ip(rest), port)
}

// route returns the address of a route.
func (wld *world) route(num int) netip.AddrPort { return wld.at(fmt.Sprintf("7.%d", num), 8443) }

func (wld *world) newFront(num int) *machine {
	return &machine{wld: wld, name: fmt.Sprintf("front-%d", num), ip: wld.ip(fmt.Sprintf("1.%d", num)), role: "balancer"}
}

func (wld *world) newSide(num int, service string) *side {
	ip := wld.ip(fmt.Sprintf("2.%d", num))
	return &side{
		machine: machine{wld: wld, name: fmt.Sprintf("side-%d", num), ip: ip, role: "agent"},
		service: service, app: netip.AddrPortFrom(ip, wld.prts.app), outbound: netip.AddrPortFrom(ip, wld.prts.outbound),
	}
}

// settings returns a settings file as deploy/process.ini gives it.
func (mch *machine) settings(first bool, extra string) string {
	wld := mch.wld
	at := func(port uint16) string { return netip.AddrPortFrom(mch.ip, port).String() }
	var sb strings.Builder
	fmt.Fprintf(&sb, "[process]\nname = %s\nzone = %s\nregion = praha\nfabric = packets\nfirstStart = %v\n\n", mch.name, zoneName, first)
	fmt.Fprintf(&sb, "[peer]\naddress = %s\nseeds = %s\n\n", at(wld.prts.peer), strings.Join(wld.seedAddrs(), ","))
	fmt.Fprintf(&sb, "[platform]\naddress = %s\napplyMillis = %d\ndrainMillis = %d\n", wld.at("9.2", wld.prts.store), wld.trms.applyMillis, wld.trms.drainMillis)
	if wld.trms.evacuateMillis > 0 {
		fmt.Fprintf(&sb, "evacuateMillis = %d\ncoldOverage = %v\ncoldSlack = %v\n", wld.trms.evacuateMillis, wld.trms.coldOverage, wld.trms.coldSlack)
	}
	fmt.Fprintf(&sb, "contracts = base,drain,config,cost,recover,flows,platform\n")
	fmt.Fprintf(&sb, "[packets]\nlisten = %s\nready = %s\nmetrics = %s\nlinkMbps = 1000.0\ngraceSeconds = %d\n%s", at(wld.prts.packets), at(wld.prts.ready), at(wld.prts.metrics), wld.trms.graceSeconds, extra)
	return sb.String()
}

// seedAddrs returns the addresses of the seeds.
func (wld *world) seedAddrs() []string {
	if len(wld.seeds) == 0 {
		return []string{wld.at("1.1", wld.prts.peer).String()}
	}
	var addrs []string
	for _, mch := range wld.seeds {
		addrs = append(addrs, netip.AddrPortFrom(mch.ip, wld.prts.peer).String())
	}
	return addrs
}

// lateFronts returns balancers whose addresses put them last in the order in which
// balancers take over from lost readers (rankOf in core/mirror). Any address may occur.
func (wld *world) lateFronts(count int) []*machine {
	const slots = 15
	var all []*machine
	for num := 10; num < 250 && len(all) < count; num++ {
		if mch := wld.newFront(num); xxh64(mch.ip.As4())%slots >= slots-2 {
			all = append(all, mch)
		}
	}
	return all
}

// xxh64 returns the hash XXH64 of an IP address.
func xxh64(ip [4]byte) uint64 {
	const (
		prime1 uint64 = 11400714785074694791
		prime2 uint64 = 14029467366897019727
		prime3 uint64 = 1609587929392839161
		prime5 uint64 = 2870177450012600261
	)
	hsh := prime5 + 4 ^ uint64(binary.LittleEndian.Uint32(ip[:]))*prime1
	hsh = bits.RotateLeft64(hsh, 23)*prime2 + prime3
	hsh = (hsh ^ hsh>>33) * prime2
	hsh = (hsh ^ hsh>>29) * prime3
	return hsh ^ hsh>>32
}

// losePower kills the machine's process, and starts it again after some time.
func (mch *machine) losePower(darkTime time.Duration) {
	mch.wld.rec.note("%s loses power", mch.name)
	prc := mch.proc
	_ = prc.cmd.Process.Kill()
	go func() {
		<-prc.done
		time.Sleep(darkTime)
		_ = mch.start(false)
	}()
}

// start starts the machine's process. Only the first start of all is a first start.
func (mch *machine) start(first bool) error { return mch.startWith(first, "") }

func (sid *side) start(first bool) error {
	return sid.startWith(first, fmt.Sprintf("outbound = %s\n\n[upstream]\naddress = %s\nservice = %s\n", sid.outbound, sid.app, sid.service))
}

func (mch *machine) startWith(first bool, extra string) error {
	mch.runs++
	path := filepath.Join(mch.wld.dir, mch.name+".ini")
	if err := os.WriteFile(path, []byte(mch.settings(first, extra)), 0o600); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(mch.wld.dir, fmt.Sprintf("%s-%d.log", mch.name, mch.runs)))
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(mch.wld.program, mch.role, "--settings", path)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "LAGOONDRUM_BOOT=" + path}
	if err := cmd.Start(); err != nil {
		return err
	}
	prc := &proc{cmd: cmd, done: make(chan struct{})}
	go func() { _ = cmd.Wait(); close(prc.done) }()
	mch.proc = prc
	mch.wld.mu.Lock()
	mch.wld.procs = append(mch.wld.procs, prc)
	mch.wld.mu.Unlock()
	mch.wld.rec.note("%s %s starts, process %d", mch.role, mch.name, cmd.Process.Pid)
	return nil
}

// terminate sends SIGTERM, and SIGKILL after the grace time, and returns a channel
// that is closed when the process has ended.
func (mch *machine) terminate() chan struct{} {
	prc := mch.proc
	mch.wld.rec.note("%s %s gets SIGTERM", mch.role, mch.name)
	_ = prc.cmd.Process.Signal(syscall.SIGTERM)
	go func() {
		select {
		case <-prc.done:
		case <-time.After(time.Duration(mch.wld.trms.graceSeconds) * time.Second):
			_ = prc.cmd.Process.Kill()
		}
	}()
	return prc.done
}

// close ends all processes.
func (wld *world) close() {
	wld.mu.Lock()
	defer wld.mu.Unlock()
	for _, prc := range wld.procs {
		select {
		case <-prc.done:
		default:
			_ = prc.cmd.Process.Kill()
			<-prc.done
		}
	}
}

// router is the platform's router: it hashes flows over the balancers in rotation.
type router struct {
	wld *world

	mu     sync.Mutex
	fronts []*rotation
}

// rotation is the place of one balancer in the rotation.
type rotation struct {
	mch    *machine
	in     bool
	misses int
}

func newRouter(wld *world) *router { return &router{wld: wld} }

// add has the router probe a balancer, twice a second.
func (rtr *router) add(mch *machine) {
	rot := &rotation{mch: mch}
	rtr.mu.Lock()
	rtr.fronts = append(rtr.fronts, rot)
	rtr.mu.Unlock()
	go func() {
		cli := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
		for range time.Tick(500 * time.Millisecond) {
			rsp, err := cli.Get("http://" + netip.AddrPortFrom(mch.ip, rtr.wld.prts.ready).String() + "/api/ready")
			ok := err == nil && rsp.StatusCode == http.StatusOK
			if err == nil {
				_ = rsp.Body.Close()
			}
			rtr.noteProbe(rot, ok)
		}
	}()
}

func (rtr *router) noteProbe(rot *rotation, ok bool) {
	rtr.mu.Lock()
	defer rtr.mu.Unlock()
	before := rot.in
	if ok {
		rot.misses, rot.in = 0, true
	} else if rot.misses++; rot.misses >= 2 {
		rot.in = false
	}
	if rot.in != before {
		rtr.wld.rec.note("%s in rotation: %v", rot.mch.name, rot.in)
	}
}

// inRotation reports whether a balancer is in the rotation.
func (rtr *router) inRotation(mch *machine) bool {
	rtr.mu.Lock()
	defer rtr.mu.Unlock()
	for _, rot := range rtr.fronts {
		if rot.mch == mch {
			return rot.in
		}
	}
	return false
}

// choose returns the balancer of a flow: by rendezvous hashing, so that only the flows
// of a balancer that joins or leaves move. If fewer than half are in the rotation, all
// are used.
func (rtr *router) choose(key flowKey) netip.AddrPort {
	rtr.mu.Lock()
	defer rtr.mu.Unlock()
	in := 0
	for _, rot := range rtr.fronts {
		if rot.in {
			in++
		}
	}
	var best *machine
	var highest uint64
	for _, rot := range rtr.fronts {
		if score := scoreOf(key, rot.mch); (rot.in || 2*in < len(rtr.fronts)) && (best == nil || score > highest) {
			best, highest = rot.mch, score
		}
	}
	return netip.AddrPortFrom(best.ip, rtr.wld.prts.packets)
}

func scoreOf(key flowKey, mch *machine) uint64 {
	hsh := fnv.New64a()
	_, _ = hsh.Write([]byte(key.client.String() + ">" + key.route.String() + "@" + mch.ip.String()))
	num := hsh.Sum64()
	num ^= num >> 33
	num *= 0xff51afd7ed558ccd
	return num ^ num>>33
}

// errNotRun reports that a case could not run.
var errNotRun = errors.New("the case could not run")

// await waits until a condition holds.
func await(what string, timeout time.Duration, cond func() bool) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if cond() {
			return nil
		}
	}
	return fmt.Errorf("%w: %s did not happen within %s", errNotRun, what, timeout)
}

// route entry of a desired state.
type routeEntry struct {
	addr    netip.AddrPort
	service string
}

// putState writes a desired state.
func (wld *world) putState(version int, routes []routeEntry, services []string, coldRate float64) {
	rts, svcs := []map[string]any{}, []map[string]any{}
	for num, rte := range routes {
		rts = append(rts, map[string]any{"name": fmt.Sprintf("r-%d", num), "host": rte.addr.Addr().String(), "prefix": "/" + strconv.Itoa(int(rte.addr.Port())) + "/",
			"type": "unsafe", "timeout-ms": 3000, "target-latency-ms": 200, "priority": 1, "service": rte.service, "max-attempts": 2})
	}
	for _, name := range services {
		svc := map[string]any{"name": name, "health-path": "/health", "max-conns": 2000, "protocol": "h1", "tls": false}
		if coldRate > 0 {
			svc["cold-start-s"], svc["cold-per-s"] = 2.0, coldRate
		}
		svcs = append(svcs, svc)
	}
	rev := wld.store.putJSON("op/config", map[string]any{"version": version, "routes": rts, "services": svcs, "limits": map[string]any{"idle-timeout-ms": 15000}})
	wld.rec.note("the store acknowledges version %d, revision %d", version, rev)
}
