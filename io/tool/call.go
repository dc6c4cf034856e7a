package tool

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lagoondrum/io/caller"
	"lagoondrum/io/trust"
)

const (
	maxLatencyMicros = 60_000_000       // Upper limit of the latency histogram.
	latencyDigits    = 3                // Significant digits of the latency histogram.
	workTimeout      = 30 * time.Second // For each piece of work, so the last one may end this long after the load.
)

// Target is a service to call, with the caller's certificate.
type Target struct {
	Address string // The IP address of the service in the caller's plan.
	Port    int    // The UDP port of every address.
	Cert    string // The path of the caller's certificate.
	Key     string // The path of the caller's private key.
	CA      string // The path of the system's certificate authority.
}

// BadAddressError reports an address that is not an IP address.
type BadAddressError struct{ address string }

func (err *BadAddressError) Error() string { return err.address + " is not an IP address" }

func (tgt Target) config() (caller.Config, error) {
	addr, err := netip.ParseAddr(tgt.Address)
	if err != nil {
		return caller.Config{}, &BadAddressError{tgt.Address}
	}
	idn, err := trust.Load(trust.NewFiles(tgt.Cert, tgt.Key, tgt.CA, tgt.CA))
	if err != nil {
		return caller.Config{}, err
	}
	return caller.Config{Address: addr, Port: tgt.Port, TLS: idn.Caller()}, nil
}

// Call runs one piece of work and prints the body of the answer.
func Call(ctx context.Context, out io.Writer, tgt Target, method, path, body string) error {
	cfg, err := tgt.config()
	if err != nil {
		return err
	}
	cln := caller.New(cfg)
	defer cln.Close()
	ans, err := cln.Do(ctx, caller.Request{Method: method, Path: path, Body: []byte(body)})
	if err != nil {
		return err
	}
	_, err = out.Write(ans.Body)
	return err
}

// CallStream prints the lines of a stream until ctx ends.
func CallStream(ctx context.Context, out io.Writer, tgt Target, path string) error {
	cfg, err := tgt.config()
	if err != nil {
		return err
	}
	cln := caller.New(cfg)
	defer cln.Close()
	str, err := cln.Stream(ctx, path, func(line string) string { return line })
	if err != nil {
		return err
	}
	defer str.Close()
	for {
		line, err := str.Next()
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintln(out, line); err != nil {
			return err
		}
	}
}

// Load describes a load test: work at a steady rate over a number of flows.
type Load struct {
	Flows   int
	Rate    int // Pieces of work per second over all flows.
	Seconds int // The time during which work is started.
	Method  string
	Path    string
	JSON    bool // Print the report as JSON instead of text.
}

// loadReport holds the number of each outcome and the latencies of a load test.
type loadReport struct {
	Work    int            `json:"work"`
	Done    int            `json:"done"`
	NotRun  int            `json:"notRun"`
	Unknown int            `json:"unknown"`
	Refused int            `json:"refused"`
	Retries int            `json:"retries"`
	Millis  map[string]int `json:"latencyMillis"` // By percentile: p50, p90, p99, max.
}

// loadRun collects the results of a load test in progress.
type loadRun struct {
	mu      sync.Mutex
	report  loadReport
	latency *hdrhistogram.Histogram
}

// RunLoad starts work at a steady rate, spreads it over the flows in turn, waits for
// its outcomes and prints a report.
func RunLoad(ctx context.Context, out io.Writer, tgt Target, ld Load) error {
	cfg, err := tgt.config()
	if err != nil {
		return err
	}
	run := &loadRun{latency: hdrhistogram.New(1, maxLatencyMicros, latencyDigits)}
	clients := make([]*caller.Client, ld.Flows)
	for i := range clients {
		clients[i] = caller.New(cfg)
		defer clients[i].Close()
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(ld.Seconds)*time.Second)
	defer cancel()
	var wait sync.WaitGroup
	tick := time.NewTicker(time.Second / time.Duration(ld.Rate))
	defer tick.Stop()
	for num := 0; ctx.Err() == nil; num++ {
		wait.Go(func() { run.runWork(clients[num%ld.Flows], ld) })
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
	wait.Wait()
	return run.print(out, ld.JSON)
}

// runWork runs one piece of work and records its outcome.
func (run *loadRun) runWork(cln *caller.Client, ld Load) {
	ctx, cancel := context.WithTimeout(context.Background(), workTimeout)
	defer cancel()
	start := time.Now()
	ans, err := cln.Do(ctx, caller.Request{Method: ld.Method, Path: ld.Path})
	took := time.Since(start)
	run.mu.Lock()
	defer run.mu.Unlock()
	run.report.Work++
	switch err.(type) {
	case nil:
		run.report.Done++
		run.report.Retries += ans.Retries
		_ = run.latency.RecordValue(took.Microseconds()) // Latencies above maxLatencyMicros are not recorded.
	case *caller.NotRunError:
		run.report.NotRun++
	case *caller.UnknownError:
		run.report.Unknown++
	default:
		run.report.Refused++
	}
}

func (run *loadRun) print(out io.Writer, asJSON bool) error {
	rep := run.report
	rep.Millis = make(map[string]int)
	for name, percentile := range map[string]float64{"p50": 50, "p90": 90, "p99": 99, "max": 100} {
		rep.Millis[name] = int(run.latency.ValueAtQuantile(percentile) / 1000)
	}
	if asJSON {
		return json.NewEncoder(out).Encode(rep)
	}
	_, err := fmt.Fprintf(out, "work %d, done %d, not run %d, unknown %d, refused %d, retries %d\nlatency p50 %d ms, p90 %d ms, p99 %d ms, max %d ms\n",
		rep.Work, rep.Done, rep.NotRun, rep.Unknown, rep.Refused, rep.Retries,
		rep.Millis["p50"], rep.Millis["p90"], rep.Millis["p99"], rep.Millis["max"])
	return err
}
