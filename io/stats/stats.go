// Package stats collects the metrics of a process with tally and serves them for
// scraping.
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

// reportInterval is the time between two reports of changed metrics by tally.
const reportInterval = time.Second

// latencyBuckets are the upper bounds of the buckets of a latency histogram, from
// half a millisecond to about 16 seconds.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 16)

// Scope holds the metrics of one process and serves them over HTTP.
type Scope struct {
	root     tally.Scope
	reporter *reporter
	closer   io.Closer
}

// New returns a scope without metrics. Every series gets the label process.
func New(process string) *Scope {
	rep := &reporter{values: make(map[string]float64)}
	root, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:    "lagoondrum",
		Separator: "_",
		Tags:      map[string]string{"process": process},
		Reporter:  rep,
	}, reportInterval)
	return &Scope{root: root, reporter: rep, closer: closer}
}

// Counter returns a counter; tags are pairs of a name and a value.
func (sc *Scope) Counter(name string, tags ...string) tally.Counter {
	return sc.tagged(tags).Counter(name)
}

// Gauge returns a gauge; tags are pairs of a name and a value.
func (sc *Scope) Gauge(name string, tags ...string) tally.Gauge { return sc.tagged(tags).Gauge(name) }

// Latency returns a histogram of durations; tags are pairs of a name and a value.
func (sc *Scope) Latency(name string, tags ...string) tally.Histogram {
	return sc.tagged(tags).Histogram(name, latencyBuckets)
}

// tagged returns the root scope with tags added, which are pairs of a name and a value.
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

// Close stops the background reports of tally.
func (sc *Scope) Close() error { return sc.closer.Close() }

// ServeHTTP writes every series in the Prometheus text format. Unlike those of
// Prometheus, the buckets of a histogram are not cumulative, and the label upTo has
// their upper bound.
func (sc *Scope) ServeHTTP(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set("Content-Type", "text/plain; version=0.0.4")
	sc.reporter.write(rw)
}

// reporter is a tally reporter that keeps the current value of every series: the last
// value of a gauge, the sum of the reported changes of every other metric.
type reporter struct {
	mu     sync.Mutex
	values map[string]float64 // By series name.
}

func (rep *reporter) Capabilities() tally.Capabilities { return rep }
func (rep *reporter) Reporting() bool                  { return true }
func (rep *reporter) Tagging() bool                    { return true }
func (rep *reporter) Flush()                           {}

func (rep *reporter) ReportCounter(name string, tags map[string]string, value int64) {
	rep.add(seriesName(name, tags), float64(value))
}

func (rep *reporter) ReportGauge(name string, tags map[string]string, value float64) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	rep.values[seriesName(name, tags)] = value
}

func (rep *reporter) ReportTimer(name string, tags map[string]string, took time.Duration) {
	rep.add(seriesName(name+"_seconds_sum", tags), took.Seconds())
	rep.add(seriesName(name+"_seconds_count", tags), 1)
}

func (rep *reporter) ReportHistogramValueSamples(name string, tags map[string]string, _ tally.Buckets, _, upper float64, samples int64) {
	rep.add(seriesName(name+"_bucket", withTag(tags, "upTo", fmt.Sprint(upper))), float64(samples))
}

func (rep *reporter) ReportHistogramDurationSamples(name string, tags map[string]string, _ tally.Buckets, _, upper time.Duration, samples int64) {
	rep.add(seriesName(name+"_seconds_bucket", withTag(tags, "upTo", fmt.Sprint(upper.Seconds()))), float64(samples))
}

func (rep *reporter) add(series string, value float64) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	rep.values[series] += value
}

func (rep *reporter) write(out io.Writer) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	names := make([]string, 0, len(rep.values))
	for name := range rep.values {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(out, "%s %v\n", name, rep.values[name])
	}
}

func withTag(tags map[string]string, name, value string) map[string]string {
	all := map[string]string{name: value}
	for tag, val := range tags {
		all[tag] = val
	}
	return all
}

// seriesName returns the name of a metric with its tags in name order.
func seriesName(name string, tags map[string]string) string {
	pairs := make([]string, 0, len(tags))
	for tag, value := range tags {
		pairs = append(pairs, fmt.Sprintf("%s=%q", tag, value))
	}
	sort.Strings(pairs)
	return name + "{" + strings.Join(pairs, ",") + "}"
}
