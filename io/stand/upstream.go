package stand

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Header fields by which callers and upstreams count without the system.
const (
	OrderField   = "Stand-Order"   // Names one order through all its attempts.
	ServiceField = "Stand-Service" // The service that the caller means.
)

// Paths of the upstream stand-in.
const (
	LivePath   = "/live"
	ReportPath = "/stand/report"
	ModePath   = "/stand/mode"
)

const lineInterval = 100 * time.Millisecond

// Mode is how an upstream behaves.
type Mode string

// The modes of an upstream.
const (
	Normal   Mode = "normal"
	Shedding Mode = "shedding" // Refuses all work with 503, and runs none of it.
	Failing  Mode = "failing"  // Runs work and answers 500.
	Breaking Mode = "breaking" // Runs work and breaks the connection.
)

// Report is what an upstream counted.
type Report struct {
	Service      string         `json:"service"`
	Runs         map[string]int `json:"runs"` // By order.
	Misrouted    int            `json:"misrouted"`
	Shed         int            `json:"shed"`
	Streams      int64          `json:"streams"`
	MostAtOnce   int            `json:"mostAtOnce"`
	LastNewWork  time.Time      `json:"lastNewWork"`
	Interrupted  int            `json:"interrupted"` // Work whose connection ended before its answer.
	StreamsBegun int            `json:"streamsBegun"`
}

// Upstream runs work in a number of slots and streams numbered lines.
type Upstream struct {
	service string
	slots   int
	work    time.Duration
	cold    time.Duration
	started time.Time
	streams atomic.Int64

	mu      sync.Mutex
	mode    Mode
	running int
	report  Report
}

// NewUpstream returns an upstream of a service. Work takes a time; until cold
// has passed since the start it takes four times as long.
func NewUpstream(service string, slots int, work, cold time.Duration) *Upstream {
	return &Upstream{
		service: service, slots: slots, work: work, cold: cold, started: time.Now(), mode: Normal,
		report: Report{Service: service, Runs: make(map[string]int)},
	}
}

// SetMode changes how the upstream behaves.
func (ups *Upstream) SetMode(mode Mode) {
	ups.mu.Lock()
	defer ups.mu.Unlock()
	ups.mode = mode
}

// Report returns a copy of what was counted.
func (ups *Upstream) Report() Report {
	ups.mu.Lock()
	defer ups.mu.Unlock()
	rep := ups.report
	rep.Streams = ups.streams.Load()
	rep.Runs = make(map[string]int, len(ups.report.Runs))
	for order, runs := range ups.report.Runs {
		rep.Runs[order] = runs
	}
	return rep
}

// ServeHTTP serves one request.
func (ups *Upstream) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	switch req.URL.Path {
	case ReportPath:
		_ = json.NewEncoder(rw).Encode(ups.Report())
	case ModePath:
		ups.SetMode(Mode(req.URL.Query().Get("set")))
	case LivePath:
		ups.noteService(req)
		ups.live(rw, req)
	default:
		ups.noteService(req)
		ups.run(rw, req)
	}
}

func (ups *Upstream) noteService(req *http.Request) {
	if meant := req.Header.Get(ServiceField); meant != "" && meant != ups.service {
		ups.mu.Lock()
		defer ups.mu.Unlock()
		ups.report.Misrouted++
	}
}

func (ups *Upstream) run(rw http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	mode, ok := ups.begin(req.Header.Get(OrderField))
	if !ok {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer ups.end()
	select {
	case <-time.After(ups.duration(req)):
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
		ups.answerSlowly(rw, req)
	}
}

// answerSlowly adds the answer parts that the query asks for, one each 100 ms.
func (ups *Upstream) answerSlowly(rw http.ResponseWriter, req *http.Request) {
	parts, _ := strconv.Atoi(req.URL.Query().Get("parts"))
	ctl := http.NewResponseController(rw)
	for num := range parts {
		_ = ctl.Flush() // A caller that is gone is seen by the agent.
		time.Sleep(lineInterval)
		fmt.Fprintf(rw, "part %d\n", num)
	}
}

func (ups *Upstream) begin(order string) (Mode, bool) {
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
	return ups.mode, true
}

func (ups *Upstream) end() {
	ups.mu.Lock()
	defer ups.mu.Unlock()
	ups.running--
}

// duration is the time that work takes; the query may ask for another.
func (ups *Upstream) duration(req *http.Request) time.Duration {
	if millis, err := strconv.Atoi(req.URL.Query().Get("millis")); err == nil {
		return time.Duration(millis) * time.Millisecond
	}
	if time.Since(ups.started) < ups.cold {
		return 4 * ups.work
	}
	return ups.work
}

// live streams numbered lines from the one after Last-Event-ID.
func (ups *Upstream) live(rw http.ResponseWriter, req *http.Request) {
	ups.streams.Add(1)
	defer ups.streams.Add(-1)
	ups.mu.Lock()
	ups.report.StreamsBegun++
	ups.mu.Unlock()
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-ID"))
	ctl := http.NewResponseController(rw)
	tick := time.NewTicker(lineInterval)
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
