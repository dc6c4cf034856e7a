package fault

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/io/caller"
	"lagoondrum/io/stand"
)

const (
	readyTimeout  = 20 * time.Second      // For a process to become ready, and for the streams of one activity.
	workTimeout   = 8 * time.Second       // Default timeout of a request.
	maxEditDelay  = 14 * time.Second      // Every process has an edit in force within this time.
	maxDrainDelay = 5 * time.Second       // A draining upstream gets no new work after this time.
	basePort      = 21000                 // First port of the first test's region; the others are 1000 apart.
	workDuration  = 20 * time.Millisecond // How long an upstream takes for a request by default.
)

// binaryPath is the lagoondrum binary that TestMain builds.
var binaryPath string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "lagoondrum")
	if err != nil {
		panic(err)
	}
	binaryPath = filepath.Join(dir, "lagoondrum")
	out, err := exec.Command("go", "build", "-o", binaryPath, "lagoondrum/cmd/lagoondrum").CombinedOutput()
	if err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// region runs the balancers and agents of a scene as processes, and its platform,
// upstreams and fabric as stand-ins in the test process.
type region struct {
	t         *testing.T
	scn       *stand.Scene
	platform  *stand.Platform
	upstreams map[string]*stand.Upstream // By the name of the agent's host.
	procs     map[string]*exec.Cmd       // By host name.
	fabric    *stand.Fabric
	revisions map[string]uint64 // Last published revision of each list.
	logFile   *os.File          // Output of all processes.
}

// newRegion starts a region on ports from firstPort on, and waits until every
// process is ready. The test's cleanup stops it.
func newRegion(t *testing.T, firstPort int) *region {
	t.Helper()
	dir := t.TempDir()
	scn := stand.NewScene(dir, firstPort)
	assert.NilError(t, scn.Write())
	logFile, err := os.Create(filepath.Join(dir, "log"))
	assert.NilError(t, err)
	reg := &region{
		t: t, scn: scn, platform: stand.NewPlatform(), upstreams: make(map[string]*stand.Upstream),
		procs: make(map[string]*exec.Cmd), fabric: stand.NewFabric(scn.EntryPorts()...),
		revisions: make(map[string]uint64), logFile: logFile,
	}
	for name, body := range scn.Lists() {
		reg.publish(name, body)
	}
	reg.serve(scn.PlatformPort(), reg.platform)
	for _, hst := range scn.Agents() {
		ups := stand.NewUpstream(hst.Service, 4, workDuration, 0)
		reg.upstreams[hst.Name] = ups
		reg.serve(hst.Upstream, ups)
	}
	for _, hst := range scn.Hosts() {
		reg.start(hst.Name)
	}
	t.Cleanup(reg.shutDown)
	reg.awaitAllReady()
	return reg
}

// serve runs an HTTP server on a loopback port until the test ends.
func (reg *region) serve(port int, handler http.Handler) {
	lsn, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
	assert.NilError(reg.t, err)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(lsn) }()
	reg.t.Cleanup(func() { _ = server.Close() })
}

// publish publishes a list at the platform under the next revision.
func (reg *region) publish(name, body string) {
	reg.revisions[name]++
	reg.platform.Publish(name, reg.revisions[name], []byte(body))
}

// start starts the process of a host; it does not wait until it is ready.
func (reg *region) start(name string) {
	file := filepath.Join(reg.scn.Dir(), "settings", name+".ini")
	cmd := exec.Command(binaryPath, "-s", file, reg.role(name))
	cmd.Stdout, cmd.Stderr = reg.logFile, reg.logFile
	assert.NilError(reg.t, cmd.Start())
	reg.procs[name] = cmd
}

// role returns the subcommand of a host's process. Balancers are named ZONE-bN.
func (reg *region) role(name string) string {
	if strings.Contains(name, "-b") {
		return "balancer"
	}
	return "agent"
}

func (reg *region) signal(name string, sig syscall.Signal) {
	assert.NilError(reg.t, reg.procs[name].Process.Signal(sig))
}

// kill kills a process and waits until it has exited.
func (reg *region) kill(name string) {
	reg.signal(name, syscall.SIGKILL)
	_ = reg.procs[name].Wait()
}

// lastLines is how many lines of each process a failed test logs.
const lastLines = 8

// shutDown kills every process. If the test failed, it logs which processes had
// exited before and the last lines of each, and keeps the whole output in a file.
func (reg *region) shutDown() {
	failed := reg.t.Failed()
	for name, cmd := range reg.procs {
		if failed && reg.hasExited(name) {
			reg.t.Logf("%s had exited before the test ended", name)
		}
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if failed {
			reg.t.Logf("%s: %v", name, cmd.ProcessState)
		}
	}
	if failed {
		reg.logOutput()
	}
}

// hasExited reports whether a process has exited, waited for or not.
func (reg *region) hasExited(name string) bool {
	if reg.exited(name) {
		return true
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", reg.procs[name].Process.Pid))
	return err != nil || strings.Contains(string(raw), ") Z ")
}

// logOutput logs the last lines of every process and the path of a copy of the
// whole output.
func (reg *region) logOutput() {
	raw, err := os.ReadFile(reg.logFile.Name())
	if err != nil {
		reg.t.Logf("output of the processes: %v", err)
		return
	}
	var all, other []string
	byProcess := make(map[string][]string)
	for line := range strings.Lines(string(raw)) {
		all = append(all, line)
		_, rest, found := strings.Cut(line, `"process":"`)
		name, _, _ := strings.Cut(rest, `"`)
		if !found {
			other = append(other, line) // A panic, for example.
			continue
		}
		byProcess[name] = append(byProcess[name], line)
	}
	byProcess["no process"] = other
	for name, lines := range byProcess {
		reg.t.Logf("%s:\n%s", name, strings.Join(lines[max(0, len(lines)-lastLines):], ""))
	}
	kept, err := os.CreateTemp("", "lagoondrum-fault-*.log")
	if err != nil {
		reg.t.Logf("output of the processes is not kept: %v", err)
		return
	}
	defer func() { _ = kept.Close() }()
	if _, err := kept.WriteString(strings.Join(all, "")); err != nil {
		reg.t.Logf("output of the processes is not kept whole: %v", err)
	}
	reg.t.Logf("output of all processes: %s", kept.Name())
}

// client returns a new client of a customer; it connects through the fabric.
func (reg *region) client(customer string) *caller.Client {
	idn, err := reg.scn.Identity(customer)
	assert.NilError(reg.t, err)
	cln := caller.New(caller.Config{
		Address: stand.AddressOf(customer), Port: 443, TLS: idn.Caller(), Dialer: reg.fabric,
	})
	reg.t.Cleanup(cln.Close)
	return cln
}

// awaitAllReady waits until every process is ready.
func (reg *region) awaitAllReady() {
	reg.t.Helper()
	for _, hst := range reg.scn.Hosts() {
		reg.awaitReady(hst)
	}
}

// awaitReady waits until the process of a host is ready.
func (reg *region) awaitReady(hst stand.Host) {
	reg.t.Helper()
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if hst.Ready() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	reg.t.Fatalf("%s is not ready after %s", hst.Name, readyTimeout)
}

// host returns the host of a name.
func (reg *region) host(name string) stand.Host {
	for _, hst := range reg.scn.Hosts() {
		if hst.Name == name {
			return hst
		}
	}
	reg.t.Fatalf("the scene has no host %q", name)
	return stand.Host{}
}

// request is one request of a caller, with its answer or error.
type request struct {
	id      string // Sent in stand.OrderField, by which the upstreams count runs.
	query   string
	body    string
	timeout time.Duration // 0 stands for workTimeout.
	ans     *caller.Answer
	err     error
}

// do sends a request and stores its answer or error.
func (reg *region) do(cln *caller.Client, customer string, req *request) {
	if req.timeout == 0 {
		req.timeout = workTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), req.timeout)
	defer cancel()
	req.ans, req.err = cln.Do(ctx, caller.Request{
		Method: http.MethodPost, Path: "/order" + req.query, Body: []byte(req.body),
		Header: http.Header{stand.OrderField: {req.id}, stand.ServiceField: {stand.ServiceOf(customer)}},
	})
}

// runs returns how many times the upstreams ran a request.
func (reg *region) runs(id string) int {
	total := 0
	for _, ups := range reg.upstreams {
		total += ups.Report().Runs[id]
	}
	return total
}

// ranAt returns when the upstreams last began to run a request.
func (reg *region) ranAt(id string) time.Time {
	var last time.Time
	for _, ups := range reg.upstreams {
		if at := ups.Report().RanAt[id]; at.After(last) {
			last = at
		}
	}
	return last
}

// assertAtMostOnce checks what must hold for every request under every fault: it ran
// at most once, it ran if it was answered, and it did not run if the caller got a
// NotRunError.
func (reg *region) assertAtMostOnce(t *testing.T, req *request) {
	t.Helper()
	runs := reg.runs(req.id)
	assert.Assert(t, runs <= 1, "%s ran %d times", req.id, runs)
	switch err := req.err.(type) {
	case nil:
		assert.Equal(t, runs, 1, "%s was answered but did not run", req.id)
	case *caller.NotRunError:
		assert.Equal(t, runs, 0, "%s ran although it was reported as not run: %v", req.id, err)
	}
}

// assertComplete checks that a request was answered, and that an answer of status 200
// has the upstream's body.
func (reg *region) assertComplete(t *testing.T, req *request) {
	t.Helper()
	reg.assertAtMostOnce(t, req)
	assert.NilError(t, req.err, req.id)
	if req.ans.Status == http.StatusOK {
		assert.Assert(t, strings.Contains(string(req.ans.Body), fmt.Sprintf("ran %s of %d bytes", req.id, len(req.body))))
	}
}

// assertNoneMisrouted checks that no upstream got a request for another service.
func (reg *region) assertNoneMisrouted(t *testing.T) {
	t.Helper()
	for name, ups := range reg.upstreams {
		assert.Equal(t, ups.Report().Misrouted, 0, name)
	}
}

// exited reports whether a process has exited and was waited for.
func (reg *region) exited(name string) bool { return reg.procs[name].ProcessState != nil }

// awaitRevision waits until a process reports that a revision of a list, or a higher
// one, is in force there.
func (reg *region) awaitRevision(t *testing.T, hst stand.Host, list string, want uint64, deadline time.Time) {
	t.Helper()
	for time.Now().Before(deadline) {
		if hst.Revision(list) >= want {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("%s does not have revision %d of %s in force", hst.Name, want, list)
}

// awaitAnyBalancer waits until one balancer has a revision of a list in force. It
// polls without a pause, so as to return early in the propagation of the edit.
func (reg *region) awaitAnyBalancer(t *testing.T, list string, want uint64, deadline time.Time) {
	t.Helper()
	for time.Now().Before(deadline) {
		for _, hst := range reg.scn.Balancers() {
			if hst.Revision(list) >= want {
				return
			}
		}
	}
	t.Fatalf("no balancer has revision %d of %s in force", want, list)
}
