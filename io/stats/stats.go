// Package stats keeps the counters and histograms of a process in tally and
// renders them for scraping.
package stats

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	tally "github.com/uber-go/tally/v4"
)

// reportInterval is how often tally hands over what has changed.
const reportInterval = time.Second

// latencyBuckets reach from half a millisecond to about 16 seconds.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 16)

// Scope holds the metrics of one process.
type Scope struct {
	root   tally.Scope
	page   *page
	closer io.Closer
}

// New returns an empty scope for a process.
func New(process string) *Scope {
	pg := &page{values: make(map[string]float64)}
	root, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:    "lagoondrum",
		Separator: "_",
		Tags:      map[string]string{"process": process},
		Reporter:  pg,
	}, reportInterval)
	return &Scope{root: root, page: pg, closer: closer}
}

// Counter returns a counter; tags come in pairs of name and value.
func (sc *Scope) Counter(name string, tags ...string) tally.Counter {
	return sc.tagged(tags).Counter(name)
}

// Gauge returns a gauge.
func (sc *Scope) Gauge(name string, tags ...string) tally.Gauge { return sc.tagged(tags).Gauge(name) }

// Latency returns a histogram of durations.
func (sc *Scope) Latency(name string, tags ...string) tally.Histogram {
	return sc.tagged(tags).Histogram(name, latencyBuckets)
}

func (sc *Scope) tagged(tags []string) tally.Scope {
	if len(tags) == 0 {
		return sc.root
	}
	pairs := make(map[string]string, len(tags)/2)
	for i := 0; i+1 < len(tags); i += 2 {
		pairs[tags[i]] = tags[i+1]
	}
	return sc.root.Tagged(pairs)
}

// Close stops the reporting.
func (sc *Scope) Close() error { return sc.closer.Close() }

// ServeHTTP writes every metric in the text format that scrapers read.
func (sc *Scope) ServeHTTP(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set("Content-Type", "text/plain; version=0.0.4")
	sc.page.write(rw)
}

// page is a tally reporter that keeps the last value of every metric.
type page struct {
	mu     sync.Mutex
	values map[string]float64
}

func (pg *page) Capabilities() tally.Capabilities { return pg }
func (pg *page) Reporting() bool                  { return true }
func (pg *page) Tagging() bool                    { return true }
func (pg *page) Flush()                           {}

func (pg *page) ReportCounter(name string, tags map[string]string, value int64) {
	pg.add(seriesOf(name, tags), float64(value))
}

func (pg *page) ReportGauge(name string, tags map[string]string, value float64) {
	pg.mu.Lock()
	defer pg.mu.Unlock()
	pg.values[seriesOf(name, tags)] = value
}

func (pg *page) ReportTimer(name string, tags map[string]string, took time.Duration) {
	pg.add(seriesOf(name+"_seconds_sum", tags), took.Seconds())
	pg.add(seriesOf(name+"_seconds_count", tags), 1)
}

func (pg *page) ReportHistogramValueSamples(name string, tags map[string]string, _ tally.Buckets, _, upper float64, samples int64) {
	pg.add(seriesOf(name+"_bucket", withTag(tags, "upTo", fmt.Sprint(upper))), float64(samples))
}

func (pg *page) ReportHistogramDurationSamples(name string, tags map[string]string, _ tally.Buckets, _, upper time.Duration, samples int64) {
	pg.add(seriesOf(name+"_seconds_bucket", withTag(tags, "upTo", fmt.Sprint(upper.Seconds()))), float64(samples))
}

func (pg *page) add(series string, value float64) {
	pg.mu.Lock()
	defer pg.mu.Unlock()
	pg.values[series] += value
}

func (pg *page) write(out io.Writer) {
	pg.mu.Lock()
	defer pg.mu.Unlock()
	names := make([]string, 0, len(pg.values))
	for name := range pg.values {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(out, "%s %v\n", name, pg.values[name])
	}
}

func withTag(tags map[string]string, name, value string) map[string]string {
	all := map[string]string{name: value}
	for tag, val := range tags {
		all[tag] = val
	}
	return all
}

func seriesOf(name string, tags map[string]string) string {
	pairs := make([]string, 0, len(tags))
	for tag, value := range tags {
		pairs = append(pairs, fmt.Sprintf("%s=%q", tag, value))
	}
	sort.Strings(pairs)
	return name + "{" + strings.Join(pairs, ",") + "}"
}
