package stand

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Header fields by which the callers and upstreams of a test count runs and misrouted
// requests without relying on the system.
const (
	OrderField   = "Stand-Order"   // Name of an order, the same in all attempts to have it run.
	ServiceField = "Stand-Service" // Service that the caller intends to reach.
)

// Paths of the upstream stand-in. Any other path runs work.
const (
	LivePath   = "/live"
	ReportPath = "/stand/report"
	ModePath   = "/stand/mode"
)

const writeInterval = 100 * time.Millisecond // Between lines of a stream and between parts of an answer.

// Mode is the way in which an upstream handles work.
type Mode string

// The modes of an upstream.
const (
	Normal   Mode = "normal"
	Shedding Mode = "shedding" // Refuses all work with 503 and runs none.
	Failing  Mode = "failing"  // Runs work and answers it with 500.
	Breaking Mode = "breaking" // Runs work and breaks the connection instead of answering.
)

// Report holds the counts of an upstream since its start.
type Report struct {
	Service      string               `json:"service"`
	Runs         map[string]int       `json:"runs"`         // Runs by name of the order.
	RanAt        map[string]time.Time `json:"ranAt"`        // When the last run of an order began.
	Misrouted    int                  `json:"misrouted"`    // Requests that were meant for another service.
	Shed         int                  `json:"shed"`         // Work that was refused.
	Streams      int64                `json:"streams"`      // Streams that are open now.
	MostAtOnce   int                  `json:"mostAtOnce"`   // Largest number of slots in use at the same time.
	LastNewWork  time.Time            `json:"lastNewWork"`  // When the latest work began to run.
	Interrupted  int                  `json:"interrupted"`  // Work whose connection ended before its answer.
	StreamsBegun int                  `json:"streamsBegun"` // Streams opened since the start.
}

// Upstream runs work in a limited number of slots and serves streams of numbered
// lines. Work that finds no free slot is refused with 503.
type Upstream struct {
	service  string
	slots    int
	workTime time.Duration
	coldTime time.Duration
	started  time.Time
	streams  atomic.Int64

	mu      sync.Mutex
	mode    Mode
	running int
	report  Report
}

// NewUpstream returns an upstream of a service. Work takes workTime, and four times
// as long until coldTime has passed since the start.
func NewUpstream(service string, slots int, workTime, coldTime time.Duration) *Upstream {
	return &Upstream{
		service: service, slots: slots, workTime: workTime, coldTime: coldTime, started: time.Now(), mode: Normal,
		report: Report{Service: service, Runs: make(map[string]int), RanAt: make(map[string]time.Time)},
	}
}

// SetMode sets the way in which the upstream handles work.
func (ups *Upstream) SetMode(mode Mode) {
	ups.mu.Lock()
	defer ups.mu.Unlock()
	ups.mode = mode
}

// Report returns a copy of the counts.
func (ups *Upstream) Report() Report {
	ups.mu.Lock()
	defer ups.mu.Unlock()
	rep := ups.report
	rep.Streams = ups.streams.Load()
	rep.Runs = make(map[string]int, len(ups.report.Runs))
	for order, runs := range ups.report.Runs {
		rep.Runs[order] = runs
	}
	rep.RanAt = maps.Clone(ups.report.RanAt)
	return rep
}

// ServeHTTP serves one request: a report, a change of mode, a stream or work.
func (ups *Upstream) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	switch req.URL.Path {
	case ReportPath:
		_ = json.NewEncoder(rw).Encode(ups.Report())
	case ModePath:
		ups.SetMode(Mode(req.URL.Query().Get("set")))
	case LivePath:
		ups.countMisrouted(req)
		ups.serveStream(rw, req)
	default:
		ups.countMisrouted(req)
		ups.serveWork(rw, req)
	}
}

// countMisrouted counts a request whose caller intended to reach another service.
func (ups *Upstream) countMisrouted(req *http.Request) {
	if intended := req.Header.Get(ServiceField); intended != "" && intended != ups.service {
		ups.mu.Lock()
		defer ups.mu.Unlock()
		ups.report.Misrouted++
	}
}

// serveWork runs one piece of work and answers it as the mode says.
func (ups *Upstream) serveWork(rw http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	mode, ok := ups.acquireSlot(req.Header.Get(OrderField))
	if !ok {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer ups.releaseSlot()
	select {
	case <-time.After(ups.workTimeOf(req)):
	case <-req.Context().Done():
		ups.mu.Lock()
		defer ups.mu.Unlock()
		ups.report.Interrupted++
		return
	}
	switch mode {
	case Failing:
		rw.WriteHeader(http.StatusInternalServerError)
	case Breaking:
		panic(http.ErrAbortHandler)
	default:
		fmt.Fprintf(rw, "%s ran %s of %d bytes\n", ups.service, req.Header.Get(OrderField), len(body))
		ups.writeParts(rw, req)
	}
}

// writeParts adds as many parts to the answer as the query asks for, one every
// 100 ms.
func (ups *Upstream) writeParts(rw http.ResponseWriter, req *http.Request) {
	parts, _ := strconv.Atoi(req.URL.Query().Get("parts"))
	ctl := http.NewResponseController(rw)
	for num := range parts {
		_ = ctl.Flush() // Lets the agent detect a caller that is gone.
		time.Sleep(writeInterval)
		fmt.Fprintf(rw, "part %d\n", num)
	}
}

// acquireSlot takes a slot for an order and counts its run. It returns false when no
// slot is free or the mode is Shedding.
func (ups *Upstream) acquireSlot(order string) (Mode, bool) {
	ups.mu.Lock()
	defer ups.mu.Unlock()
	if ups.running >= ups.slots || ups.mode == Shedding {
		ups.report.Shed++
		return ups.mode, false
	}
	ups.running++
	ups.report.MostAtOnce = max(ups.report.MostAtOnce, ups.running)
	ups.report.Runs[order]++
	ups.report.LastNewWork = time.Now()
	ups.report.RanAt[order] = ups.report.LastNewWork
	return ups.mode, true
}

// releaseSlot frees a slot.
func (ups *Upstream) releaseSlot() {
	ups.mu.Lock()
	defer ups.mu.Unlock()
	ups.running--
}

// workTimeOf returns how long the work of a request takes. The query can set it in
// milliseconds.
func (ups *Upstream) workTimeOf(req *http.Request) time.Duration {
	if millis, err := strconv.Atoi(req.URL.Query().Get("millis")); err == nil {
		return time.Duration(millis) * time.Millisecond
	}
	if time.Since(ups.started) < ups.coldTime {
		return 4 * ups.workTime
	}
	return ups.workTime
}

// serveStream writes numbered lines until the request ends, beginning with the number
// after Last-Event-ID.
func (ups *Upstream) serveStream(rw http.ResponseWriter, req *http.Request) {
	ups.streams.Add(1)
	defer ups.streams.Add(-1)
	ups.mu.Lock()
	ups.report.StreamsBegun++
	ups.mu.Unlock()
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-ID"))
	ctl := http.NewResponseController(rw)
	tick := time.NewTicker(writeInterval)
	defer tick.Stop()
	for num := last + 1; ; num++ {
		if _, err := fmt.Fprintf(rw, "%d\n", num); err != nil || ctl.Flush() != nil {
			return
		}
		select {
		case <-tick.C:
		case <-req.Context().Done():
			return
		}
	}
}
