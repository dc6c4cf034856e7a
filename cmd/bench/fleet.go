package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"lagoondrum/io/stand"
)

const (
	fleetPorts  = 23000
	settleTime  = 4 * time.Second
	steadyTime  = 10 * time.Second
	edits       = 10
	ticksPerSec = 100 // Of /proc/PID/stat.
	pageBytes   = 4096
	fleetWait   = 30 * time.Second
)

// fleet is a scene whose processes run for a measurement.
type fleet struct {
	scn      *stand.Scene
	platform *stand.Platform
	procs    map[string]*exec.Cmd
	binary   string
	server   *http.Server
}

// notReadyError reports a process that did not become ready.
type notReadyError struct{ name string }

func (err *notReadyError) Error() string { return err.name + " is not ready" }

func startFleet(feeds, photos int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "bench")
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	flt := &fleet{
		scn: stand.NewSceneOf(dir, fleetPorts, feeds, photos), platform: stand.NewPlatform(),
		procs: make(map[string]*exec.Cmd), binary: filepath.Join(filepath.Dir(self), "lagoondrum"),
	}
	if err := flt.scn.Write(); err != nil {
		return nil, err
	}
	for name, body := range flt.scn.Lists() {
		flt.platform.Publish(name, 1, []byte(body))
	}
	lsn, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", flt.scn.PlatformPort()))
	if err != nil {
		return nil, err
	}
	flt.server = &http.Server{Handler: flt.platform}
	go func() { _ = flt.server.Serve(lsn) }()
	for _, hst := range flt.scn.Hosts() {
		if err := flt.start(hst); err != nil {
			return nil, err
		}
	}
	for _, hst := range flt.scn.Hosts() {
		if err := flt.awaitReady(hst); err != nil {
			return nil, err
		}
	}
	return flt, nil
}

func (flt *fleet) start(hst stand.Host) error {
	role := "agent"
	if hst.Service == "" {
		role = "balancer"
	}
	cmd := exec.Command(flt.binary, "-s", filepath.Join(flt.scn.Dir(), "settings", hst.Name+".ini"), role)
	flt.procs[hst.Name] = cmd
	return cmd.Start()
}

func (flt *fleet) end() {
	for _, cmd := range flt.procs {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	_ = flt.server.Close()
	_ = os.RemoveAll(flt.scn.Dir())
}

func (flt *fleet) awaitReady(hst stand.Host) error {
	for deadline := time.Now().Add(fleetWait); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if hst.Ready() {
			return nil
		}
	}
	return &notReadyError{hst.Name}
}

// controlBytes returns what a process sent and received for control.
func controlBytes(hst stand.Host) float64 {
	rsp, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/metrics", hst.Admin))
	if err != nil {
		return 0
	}
	defer rsp.Body.Close()
	total := 0.0
	for lines := bufio.NewScanner(rsp.Body); lines.Scan(); {
		if !strings.HasPrefix(lines.Text(), "lagoondrum_controlBytes") {
			continue
		}
		fields := strings.Fields(lines.Text())
		value, _ := strconv.ParseFloat(fields[len(fields)-1], 64)
		total += value
	}
	return total
}

func (flt *fleet) control() float64 {
	total := 0.0
	for _, hst := range flt.scn.Hosts() {
		total += controlBytes(hst)
	}
	return total / float64(len(flt.scn.Hosts()))
}

// cpuOf returns the seconds of CPU that a process has used.
func (flt *fleet) cpuOf(name string) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", flt.procs[name].Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / ticksPerSec
}

// memoryOf returns the resident memory of a process in bytes.
func (flt *fleet) memoryOf(name string) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", flt.procs[name].Process.Pid))
	if err != nil {
		return 0
	}
	pages, _ := strconv.ParseFloat(strings.Fields(string(raw))[1], 64)
	return pages * pageBytes
}

// fleetSeries are the slopes by fleet size.
type fleetSeries struct {
	steady, perEdit, calls, inForce, balancerCPU, agentCPU, balancerMem, agentMem, restart, restartBytes *series
}

func measureFleet(rep *report) error {
	const x = "processes"
	ser := fleetSeries{
		steady:       rep.slope("Control bytes per second and node in steady state", x, "bytes/s"),
		perEdit:      rep.slope("Control bytes per edit and node", x, "bytes"),
		calls:        rep.slope("Platform calls per second of the fleet", x, "calls/s"),
		inForce:      rep.slope("Seconds from an edit to in force everywhere, longest of 10", x, "s"),
		balancerCPU:  rep.slope("CPU of an idle balancer", x, "% of a core"),
		agentCPU:     rep.slope("CPU of an idle agent", x, "% of a core"),
		balancerMem:  rep.slope("Resident memory of an idle balancer", x, "MB"),
		agentMem:     rep.slope("Resident memory of an idle agent", x, "MB"),
		restart:      rep.slope("Seconds for a restarted balancer to be ready", x, "s"),
		restartBytes: rep.slope("Control bytes for a restarted balancer to be ready", x, "bytes"),
	}
	for _, agents := range []int{3, 10, 22, 42} {
		flt, err := startFleet(agents-2, 2)
		if err != nil {
			return err
		}
		err = flt.measure(&ser)
		flt.end()
		if err != nil {
			return err
		}
	}
	return nil
}

func (flt *fleet) measure(ser *fleetSeries) error {
	size := float64(len(flt.scn.Hosts()))
	balancer, agent := flt.scn.Balancers()[0], flt.scn.Agents()[0]
	time.Sleep(settleTime)
	bytes, calls := flt.control(), flt.platform.Calls()
	balancerCPU, agentCPU := flt.cpuOf(balancer.Name), flt.cpuOf(agent.Name)
	time.Sleep(steadyTime)
	seconds := steadyTime.Seconds()
	steady := (flt.control() - bytes) / seconds
	ser.steady.add(size, steady)
	ser.calls.add(size, float64(flt.platform.Calls()-calls)/seconds)
	ser.balancerCPU.add(size, 100*(flt.cpuOf(balancer.Name)-balancerCPU)/seconds)
	ser.agentCPU.add(size, 100*(flt.cpuOf(agent.Name)-agentCPU)/seconds)
	ser.balancerMem.add(size, flt.memoryOf(balancer.Name)/1e6)
	ser.agentMem.add(size, flt.memoryOf(agent.Name)/1e6)
	flt.measureEdits(ser, size, steady)
	return flt.measureRestart(ser, size, balancer)
}

func (flt *fleet) measureEdits(ser *fleetSeries, size, steady float64) {
	longest := 0.0
	start, before := time.Now(), flt.control()
	for num := range edits {
		at := time.Now()
		body := stand.CustomersList(stand.Customers[:2+num%2]...)
		flt.platform.Publish("customers", uint64(num+2), []byte(body))
		for _, hst := range flt.scn.Hosts() {
			for hst.Revision("customers") < uint64(num+2) && time.Since(at) < fleetWait {
				time.Sleep(5 * time.Millisecond)
			}
		}
		longest = max(longest, time.Since(at).Seconds())
		time.Sleep(time.Until(at.Add(time.Second)))
	}
	time.Sleep(2 * time.Second) // The counters are reported once a second.
	spent := flt.control() - before - steady*time.Since(start).Seconds()
	ser.perEdit.add(size, max(spent, 0)/edits)
	ser.inForce.add(size, longest)
}

func (flt *fleet) measureRestart(ser *fleetSeries, size float64, hst stand.Host) error {
	_ = flt.procs[hst.Name].Process.Kill()
	_ = flt.procs[hst.Name].Wait()
	start := time.Now()
	if err := flt.start(hst); err != nil {
		return err
	}
	if err := flt.awaitReady(hst); err != nil {
		return err
	}
	ser.restart.add(size, time.Since(start).Seconds())
	time.Sleep(1500 * time.Millisecond)
	ser.restartBytes.add(size, controlBytes(hst))
	return nil
}
