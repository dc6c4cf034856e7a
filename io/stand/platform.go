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
	fileInterval  = 50 * time.Millisecond
	revisionField = "Lagoondrum-Revision"
	valuesPath    = "/v1/values/"
)

// Platform answers reads and watches of published values, and nothing else.
//
//	GET /v1/values/NAME?after=REVISION&wait=SECONDS
//
// answers 200 with the value and its revision once that is above after, 304
// when it is not within wait, and 404 for an unknown name.
type Platform struct {
	mu     sync.Mutex
	values map[string]value
	change chan struct{}
	down   bool
	calls  int
}

type value struct {
	revision uint64
	body     []byte
}

// NewPlatform returns a platform without values.
func NewPlatform() *Platform {
	return &Platform{values: make(map[string]value), change: make(chan struct{})}
}

// Publish sets a value.
func (plt *Platform) Publish(name string, revision uint64, body []byte) {
	plt.mu.Lock()
	defer plt.mu.Unlock()
	plt.values[name] = value{revision, body}
	close(plt.change)
	plt.change = make(chan struct{})
}

// SetDown makes every call fail, or ends that.
func (plt *Platform) SetDown(down bool) {
	plt.mu.Lock()
	defer plt.mu.Unlock()
	plt.down = down
	close(plt.change)
	plt.change = make(chan struct{})
}

// Calls returns how many calls were answered.
func (plt *Platform) Calls() int {
	plt.mu.Lock()
	defer plt.mu.Unlock()
	return plt.calls
}

// ServeHTTP answers one read or watch.
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
		change, down := plt.change, plt.down
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
		case <-change:
		case <-deadline:
			rw.WriteHeader(http.StatusNotModified)
			return
		case <-req.Context().Done():
			return
		}
	}
}

// PublishDir publishes NAME.ini of a directory whenever it changes, under the
// revision in NAME.rev. A file called down takes the platform down.
func (plt *Platform) PublishDir(dir string, stop <-chan struct{}) {
	seen := make(map[string]string)
	isDown := false
	for {
		plt.publishChanged(dir, seen)
		_, err := os.Stat(filepath.Join(dir, "down"))
		if down := err == nil; down != isDown {
			isDown = down
			plt.SetDown(down)
		}
		select {
		case <-stop:
			return
		case <-time.After(fileInterval):
		}
	}
}

func (plt *Platform) publishChanged(dir string, seen map[string]string) {
	files, _ := filepath.Glob(filepath.Join(dir, "*.rev"))
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".rev")
		raw, err := os.ReadFile(file)
		text := strings.TrimSpace(string(raw))
		revision, perr := strconv.ParseUint(text, 10, 64)
		if err != nil || perr != nil || seen[name] == text {
			continue
		}
		body, err := os.ReadFile(filepath.Join(dir, name+".ini"))
		if err != nil {
			continue
		}
		seen[name] = text
		plt.Publish(name, revision, body)
	}
}
