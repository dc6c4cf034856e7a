package stand

import (
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	dirScanInterval = 50 * time.Millisecond
	revisionField   = "Lagoondrum-Revision"
	valuesPath      = "/v1/values/"
)

// Platform is an HTTP server for reads and watches of published values. The only
// request is
//
//	GET /v1/values/NAME?after=REVISION&wait=SECONDS
//
// The answer is 200 with the value and its revision as soon as the revision is above
// REVISION, 304 when it is not within SECONDS, and 404 for an unknown name.
type Platform struct {
	mu      sync.Mutex
	values  map[string]value
	changed chan struct{} // Closed and replaced when values or down change.
	down    bool
	calls   int
}

// value is one revision of a published value.
type value struct {
	revision uint64
	body     []byte
}

// NewPlatform returns a platform that has no values yet.
func NewPlatform() *Platform {
	return &Platform{values: make(map[string]value), changed: make(chan struct{})}
}

// Publish sets a value and its revision, and answers the requests that wait for it.
func (plt *Platform) Publish(name string, revision uint64, body []byte) {
	plt.mu.Lock()
	defer plt.mu.Unlock()
	plt.values[name] = value{revision, body}
	close(plt.changed)
	plt.changed = make(chan struct{})
}

// SetDown sets whether every request is answered with 503, also those that wait.
func (plt *Platform) SetDown(down bool) {
	plt.mu.Lock()
	defer plt.mu.Unlock()
	plt.down = down
	close(plt.changed)
	plt.changed = make(chan struct{})
}

// Calls returns how many requests were received.
func (plt *Platform) Calls() int {
	plt.mu.Lock()
	defer plt.mu.Unlock()
	return plt.calls
}

// ServeHTTP answers one read or watch of a value.
func (plt *Platform) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	name := strings.TrimPrefix(req.URL.Path, valuesPath)
	after, _ := strconv.ParseUint(req.URL.Query().Get("after"), 10, 64)
	seconds, _ := strconv.Atoi(req.URL.Query().Get("wait"))
	deadline := time.After(time.Duration(seconds) * time.Second)
	plt.mu.Lock()
	plt.calls++
	plt.mu.Unlock()
	for {
		plt.mu.Lock()
		val, ok := plt.values[name]
		changed, down := plt.changed, plt.down
		plt.mu.Unlock()
		switch {
		case down:
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		case !ok:
			rw.WriteHeader(http.StatusNotFound)
			return
		case val.revision > after:
			rw.Header().Set(revisionField, strconv.FormatUint(val.revision, 10))
			_, _ = rw.Write(val.body)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			rw.WriteHeader(http.StatusNotModified)
			return
		case <-req.Context().Done():
			return
		}
	}
}

// PublishDir publishes the file NAME.ini of a directory whenever the revision in
// NAME.rev changes, until stop is closed. The platform is down while the directory
// has a file called down.
func (plt *Platform) PublishDir(dir string, stop <-chan struct{}) {
	published := make(map[string]string)
	isDown := false
	for {
		plt.publishChanged(dir, published)
		_, err := os.Stat(filepath.Join(dir, "down"))
		if down := err == nil; down != isDown {
			isDown = down
			plt.SetDown(down)
		}
		select {
		case <-stop:
			return
		case <-time.After(dirScanInterval):
		}
	}
}

// publishChanged publishes the values whose revision differs from the published one.
// published holds the text of the published revision by name.
func (plt *Platform) publishChanged(dir string, published map[string]string) {
	revFiles, _ := filepath.Glob(filepath.Join(dir, "*.rev"))
	for _, file := range revFiles {
		name := strings.TrimSuffix(filepath.Base(file), ".rev")
		raw, err := os.ReadFile(file)
		text := strings.TrimSpace(string(raw))
		revision, parseErr := strconv.ParseUint(text, 10, 64)
		if err != nil || parseErr != nil || published[name] == text {
			continue
		}
		body, err := os.ReadFile(filepath.Join(dir, name+".ini"))
		if err != nil {
			continue
		}
		published[name] = text
		plt.Publish(name, revision, body)
	}
}
