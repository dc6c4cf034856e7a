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
	fleetBasePort       = 23000            // First port of the scene.
	settleTime          = 4 * time.Second  // From readiness to the start of the measurement.
	steadyWindow        = 10 * time.Second // Time over which the steady state is measured.
	editCount           = 10               // Revisions of the customers list that are published.
	clockTicksPerSecond = 100              // Unit of the CPU times in /proc/PID/stat.
	pageBytes           = 4096             // Unit of the sizes in /proc/PID/statm.
	fleetTimeout        = 30 * time.Second // Longest wait for a process to be ready or to adopt a list.
)

// fleet is a running scene. Each balancer and each agent is a child process; this
// process serves the platform stand-in.
type fleet struct {
	scn            *stand.Scene
	platform       *stand.Platform
	procs          map[string]*exec.Cmd // By name of the process.
	binary         string               // Path of the lagoondrum binary.
	platformServer *http.Server
}

// notReadyError reports a process that did not become ready within fleetTimeout.
type notReadyError struct{ name string }

func (err *notReadyError) Error() string { return err.name + " did not become ready in time" }

// startFleet starts a scene with a number of upstreams of each of its services,
// and waits until every process is ready. The lagoondrum binary is expected beside
// this one.
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
		scn: stand.NewSceneOf(dir, fleetBasePort, feeds, photos), platform: stand.NewPlatform(),
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
	flt.platformServer = &http.Server{Handler: flt.platform}
	go func() { _ = flt.platformServer.Serve(lsn) }()
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

// start starts a process of the scene.
func (flt *fleet) start(hst stand.Host) error {
	role := "agent"
	if hst.Service == "" {
		role = "balancer"
	}
	cmd := exec.Command(flt.binary, "-s", filepath.Join(flt.scn.Dir(), "settings", hst.Name+".ini"), role)
	flt.procs[hst.Name] = cmd
	return cmd.Start()
}

// stop kills every process and removes the files of the scene.
func (flt *fleet) stop() {
	for _, cmd := range flt.procs {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	_ = flt.platformServer.Close()
	_ = os.RemoveAll(flt.scn.Dir())
}

// awaitReady waits until a process is ready.
func (flt *fleet) awaitReady(hst stand.Host) error {
	for deadline := time.Now().Add(fleetTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if hst.Ready() {
			return nil
		}
	}
	return &notReadyError{hst.Name}
}

// controlBytes returns the bytes that a process has sent to and received from its
// peers, TLS included, or 0 if its admin port does not answer.
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

// meanControlBytes returns the control bytes per process.
func (flt *fleet) meanControlBytes() float64 {
	total := 0.0
	for _, hst := range flt.scn.Hosts() {
		total += controlBytes(hst)
	}
	return total / float64(len(flt.scn.Hosts()))
}

// cpuSeconds returns the CPU time of a process in seconds, user and system
// together, or 0 if /proc cannot be read.
func (flt *fleet) cpuSeconds(name string) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", flt.procs[name].Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / clockTicksPerSecond
}

// residentBytes returns the resident memory of a process in bytes, or 0 if /proc
// cannot be read.
func (flt *fleet) residentBytes(name string) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", flt.procs[name].Process.Pid))
	if err != nil {
		return 0
	}
	pages, _ := strconv.ParseFloat(strings.Fields(string(raw))[1], 64)
	return pages * pageBytes
}

// fleetSeries holds the series over the number of processes.
type fleetSeries struct {
	steadyBytes, editBytes, platformCalls, adoptionTime, balancerCPU, agentCPU, balancerMemory, agentMemory, restartTime, restartBytes *series
}

// measureFleet measures fleets of several sizes.
func measureFleet(rep *report) error {
	const xLabel = "processes"
	ser := fleetSeries{
		steadyBytes:    rep.addSeries("Control bytes per second and node in steady state", xLabel, "bytes/s"),
		editBytes:      rep.addSeries("Control bytes per edit and node", xLabel, "bytes"),
		platformCalls:  rep.addSeries("Platform calls per second of the fleet", xLabel, "calls/s"),
		adoptionTime:   rep.addSeries("Seconds from an edit to in force everywhere, longest of 10", xLabel, "s"),
		balancerCPU:    rep.addSeries("CPU of an idle balancer", xLabel, "% of a core"),
		agentCPU:       rep.addSeries("CPU of an idle agent", xLabel, "% of a core"),
		balancerMemory: rep.addSeries("Resident memory of an idle balancer", xLabel, "MB"),
		agentMemory:    rep.addSeries("Resident memory of an idle agent", xLabel, "MB"),
		restartTime:    rep.addSeries("Seconds for a restarted balancer to be ready", xLabel, "s"),
		restartBytes:   rep.addSeries("Control bytes for a restarted balancer to be ready", xLabel, "bytes"),
	}
	for _, agents := range []int{3, 10, 22, 42} {
		flt, err := startFleet(agents-2, 2)
		if err != nil {
			return err
		}
		err = flt.measureSize(&ser)
		flt.stop()
		if err != nil {
			return err
		}
	}
	return nil
}

// measureSize measures the steady state, edits and a restart of a fleet, and adds
// one point to each series.
func (flt *fleet) measureSize(ser *fleetSeries) error {
	size := float64(len(flt.scn.Hosts()))
	balancer, agent := flt.scn.Balancers()[0], flt.scn.Agents()[0]
	time.Sleep(settleTime)
	bytesBefore, callsBefore := flt.meanControlBytes(), flt.platform.Calls()
	balancerBefore, agentBefore := flt.cpuSeconds(balancer.Name), flt.cpuSeconds(agent.Name)
	time.Sleep(steadyWindow)
	seconds := steadyWindow.Seconds()
	steadyRate := (flt.meanControlBytes() - bytesBefore) / seconds
	ser.steadyBytes.addPoint(size, steadyRate)
	ser.platformCalls.addPoint(size, float64(flt.platform.Calls()-callsBefore)/seconds)
	ser.balancerCPU.addPoint(size, 100*(flt.cpuSeconds(balancer.Name)-balancerBefore)/seconds)
	ser.agentCPU.addPoint(size, 100*(flt.cpuSeconds(agent.Name)-agentBefore)/seconds)
	ser.balancerMemory.addPoint(size, flt.residentBytes(balancer.Name)/1e6)
	ser.agentMemory.addPoint(size, flt.residentBytes(agent.Name)/1e6)
	flt.measureEdits(ser, size, steadyRate)
	return flt.measureRestart(ser, size, balancer)
}

// measureEdits publishes revisions of the customers list, at most one a second,
// and measures the longest time until one is in force everywhere and the control
// bytes per revision beyond those of the steady state.
func (flt *fleet) measureEdits(ser *fleetSeries, size, steadyRate float64) {
	longest := 0.0
	start, bytesBefore := time.Now(), flt.meanControlBytes()
	for num := range editCount {
		published := time.Now()
		body := stand.CustomersList(stand.Customers[:2+num%2]...)
		flt.platform.Publish("customers", uint64(num+2), []byte(body))
		for _, hst := range flt.scn.Hosts() {
			for hst.Revision("customers") < uint64(num+2) && time.Since(published) < fleetTimeout {
				time.Sleep(5 * time.Millisecond)
			}
		}
		longest = max(longest, time.Since(published).Seconds())
		time.Sleep(time.Until(published.Add(time.Second)))
	}
	time.Sleep(2 * time.Second) // Processes update their exported counters once a second.
	editBytes := flt.meanControlBytes() - bytesBefore - steadyRate*time.Since(start).Seconds()
	ser.editBytes.addPoint(size, max(editBytes, 0)/editCount)
	ser.adoptionTime.addPoint(size, longest)
}

// measureRestart kills a process and measures the time and the control bytes that
// it takes to be ready again.
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
	ser.restartTime.addPoint(size, time.Since(start).Seconds())
	time.Sleep(1500 * time.Millisecond) // Processes update their exported counters once a second.
	ser.restartBytes.addPoint(size, controlBytes(hst))
	return nil
}
