package carry

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"

	"lagoondrum/io/conf"
	"lagoondrum/io/logs"
)

// The test binary is run as a balancer or an agent when these variables are set.
const (
	roleVariable     = "LAGOONDRUM_TEST_ROLE"
	settingsVariable = "LAGOONDRUM_TEST_SETTINGS"
)

func TestMain(m *testing.M) {
	roles := map[string]runFunc{"balancer": RunBalancer, "agent": RunAgent}
	if run := roles[os.Getenv(roleVariable)]; run != nil {
		os.Exit(runAsProcess(run))
	}
	os.Exit(m.Run())
}

// runAsProcess runs a balancer or an agent until SIGTERM, and returns its exit code.
func runAsProcess(run runFunc) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	set, err := conf.Load(os.Getenv(settingsVariable))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	log, out := logs.New(set.Name(), zapcore.InfoLevel)
	defer out.Close(time.Now().Add(time.Second))
	if err := run(ctx, set, log, out); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// realProcess is a balancer or an agent in a process of its own.
type realProcess struct {
	name   string
	exited chan struct{}

	mu     sync.Mutex
	output bytes.Buffer
}

// Write records output of the process.
func (prc *realProcess) Write(raw []byte) (int, error) {
	prc.mu.Lock()
	defer prc.mu.Unlock()
	return prc.output.Write(raw)
}

// lines returns how many lines of the output contain all words.
func (prc *realProcess) lines(words ...string) int {
	prc.mu.Lock()
	defer prc.mu.Unlock()
	count := 0
	for line := range strings.Lines(prc.output.String()) {
		matches := true
		for _, word := range words {
			matches = matches && strings.Contains(line, word)
		}
		if matches {
			count++
		}
	}
	return count
}

func (prc *realProcess) alive() bool {
	select {
	case <-prc.exited:
		return false
	default:
		return true
	}
}

// startRealProcess starts a process of a role, and ends it with the test.
func startRealProcess(t *testing.T, role string, num int, sto *storeStandIn, service string) *realProcess {
	t.Helper()
	prc := &realProcess{name: fmt.Sprintf("%s %d", role, num), exited: make(chan struct{})}
	file := filepath.Join(t.TempDir(), "settings.ini")
	text := settingsText(num, sto, service, vmAddr(firstBalancer, peerPort).String())
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), roleVariable+"="+role, settingsVariable+"="+file)
	cmd.Stdout, cmd.Stderr = prc, prc
	assert.NilError(t, cmd.Start())
	go func() {
		_ = cmd.Wait()
		close(prc.exited)
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-prc.exited
	})
	return prc
}

// startRealFleet starts a balancer that reads the platform, and a balancer and an agent
// that learn from it.
func startRealFleet(t *testing.T, sto *storeStandIn) []*realProcess {
	t.Helper()
	prcs := []*realProcess{startRealProcess(t, "balancer", firstBalancer, sto, "")}
	awaitReady(t, firstBalancer)
	prcs = append(prcs, startRealProcess(t, "balancer", secondBalancer, sto, ""), startRealProcess(t, "agent", firstUpstream, sto, "feed"))
	awaitReady(t, secondBalancer)
	awaitReady(t, firstUpstream)
	return prcs
}

// oddKey is the key of the entry of another writer.
const oddKey = "servers/odd"

// entryWith returns an entry of an upstream in which one field has another value, or is
// added.
func entryWith(field, value string) string {
	fields := map[string]string{"service": `"feed"`, "address": fmt.Sprintf("%q", vmAddr(secondUpstream, upstreamPort)), "zone": `"z"`, "version": `"v1"`,
		"slots": "4", "state": `"ready"`, "cold-remaining-ms": "0", "sequence": "1", "born": "1"}
	fields[field] = value
	var parts []string
	for name, val := range fields {
		parts = append(parts, fmt.Sprintf("%q:%s", name, val))
	}
	return "{" + strings.Join(parts, ",") + "}"
}

func nested(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// oddEntries are entries of another writer with one odd value each.
var oddEntries = map[string]string{
	"nested deeply":             entryWith("extra", nested(200_000)),
	"nested field":              entryWith("service", `{"name":{"name":"feed"}}`),
	"slots beyond every type":   entryWith("slots", "1e400"),
	"slots beyond an integer":   entryWith("slots", "99999999999999999999"),
	"slots too many":            entryWith("slots", "9223372036854775807"),
	"cold beyond every type":    entryWith("cold-remaining-ms", "1e400"),
	"cold too long":             entryWith("cold-remaining-ms", "1e300"),
	"sequence beyond":           entryWith("sequence", "-1e400"),
	"born beyond every type":    entryWith("born", "1e40"),
	"born too late":             entryWith("born", "9223372036854775807"),
	"born a fraction":           entryWith("born", "1.5"),
	"port out of range":         entryWith("address", `"127.0.7.12:65536"`),
	"port negative":             entryWith("address", `"127.0.7.12:-1"`),
	"port zero":                 entryWith("address", `"127.0.7.12:0"`),
	"port missing":              entryWith("address", `"127.0.7.12"`),
	"address of nobody":         entryWith("address", `"0.0.0.0:80"`),
	"address of everybody":      entryWith("address", `"255.255.255.255:80"`),
	"address of a group":        entryWith("address", `"224.0.0.1:80"`),
	"large field":               entryWith("service", `"`+strings.Repeat("s", 900_000)+`"`),
	"large address":             entryWith("address", `"`+strings.Repeat("9", 900_000)+`"`),
	"names in capitals":         strings.ToUpper(entryWith("state", `"ready"`)),
	"bytes that are not JSON":   "\xff\x00\xfe",
	"another value than fields": "17",
}

// oddItems are items of another writer with an odd key. Their value is odd, too, if the
// key is that of an upstream's entry.
var oddItems = map[string]string{
	"servers/" + strings.Repeat("k", 192): "17",
	"servers/a \"b\"\n\u2028../\x00":      "17",
	"servers/../op/config":                "17",
	"servers//":                           "17",
	"op/config/odd":                       "17",
	"other/" + strings.Repeat("k", 190):   strings.Repeat("v", 900_000),
	"op/" + strings.Repeat("\u00e9", 90):  entryWith("state", `"ready"`),
}

// followTime is how long a change may take to be in force everywhere.
const followTime = 3 * time.Second

// assertFollows publishes a version of the desired state and checks that every process
// lives and puts it in force in time.
func assertFollows(t *testing.T, sto *storeStandIn, version int, prcs []*realProcess) {
	t.Helper()
	sto.route(version, testAddress, "feed")
	deadline := time.Now().Add(followTime)
	for _, prc := range prcs {
		for prc.lines(`"desired state"`, fmt.Sprintf(`"version":%d,`, version)) == 0 {
			assert.Assert(t, prc.alive(), "%s has ended", prc.name)
			assert.Assert(t, time.Now().Before(deadline), "%s does not follow", prc.name)
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// assertNamesEntry checks that one line of each process names the odd entry.
func assertNamesEntry(t *testing.T, prcs []*realProcess) {
	t.Helper()
	for _, prc := range prcs {
		assert.Equal(t, prc.lines(`"invalid upstream entry"`, `"id":"odd"`), 1, "%s", prc.name)
		assert.Equal(t, prc.lines(`"invalid upstream entry"`), 1, "%s", prc.name)
	}
}

// Guards against processes that end, or stop following the platform's state, because of
// an odd entry of another writer.
func TestOddEntriesOfAnotherWriter(t *testing.T) {
	for name, value := range oddEntries {
		t.Run(name, func(t *testing.T) { playOddItem(t, oddKey, value, assertNamesEntry) })
	}
}

// Guards against the same because of an odd key.
func TestOddKeysOfAnotherWriter(t *testing.T) {
	for key, value := range oddItems {
		t.Run(fmt.Sprintf("%.20q", key), func(t *testing.T) {
			playOddItem(t, key, value, func(*testing.T, []*realProcess) {})
		})
	}
}

// playOddItem checks that real processes follow the platform's state although it has an
// odd item, from the start on or later. named checks what they log.
func playOddItem(t *testing.T, key, value string, named func(*testing.T, []*realProcess)) {
	t.Run("present at the start", func(t *testing.T) {
		sto := newListedStore(t)
		sto.put(key, value, false)
		prcs := startRealFleet(t, sto)
		assertFollows(t, sto, 2, prcs)
		named(t, prcs)
	})
	t.Run("arriving later", func(t *testing.T) {
		sto := newListedStore(t)
		prcs := startRealFleet(t, sto)
		sto.put(key, value, false)
		assertFollows(t, sto, 2, prcs)
		assertFollows(t, sto, 3, prcs)
		named(t, prcs)
	})
}

// newListedStore returns a store with a route and its upstream.
func newListedStore(t *testing.T) *storeStandIn {
	t.Helper()
	sto := newStore(t)
	sto.route(1, testAddress, "feed")
	sto.listUpstream(firstUpstream, "feed", "ready")
	return sto
}
