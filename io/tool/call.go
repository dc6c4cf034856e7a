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
	maxLatencyMicros = 60_000_000
	latencyDigits    = 3
	drainLoad        = 30 * time.Second // Work under way at the end of a load may take this long.
)

// Target says which service to call and as whom.
type Target struct {
	Address string
	Port    int
	Cert    string
	Key     string
	CA      string
}

// BadAddressError reports an address that is no IP number.
type BadAddressError struct{ address string }

func (err *BadAddressError) Error() string { return err.address + " is not an IP number" }

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

// Call has one piece of work run and prints the answer's body.
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

// Load is a run of work over a number of flows.
type Load struct {
	Flows   int
	Rate    int // Pieces of work per second over all flows.
	Seconds int
	Method  string
	Path    string
	JSON    bool
}

// loadReport is what a load has measured.
type loadReport struct {
	Work    int            `json:"work"`
	Done    int            `json:"done"`
	NotRun  int            `json:"notRun"`
	Unknown int            `json:"unknown"`
	Refused int            `json:"refused"`
	Retries int            `json:"retries"`
	Millis  map[string]int `json:"latencyMillis"`
}

// loadRun collects a load's outcomes.
type loadRun struct {
	mu      sync.Mutex
	report  loadReport
	latency *hdrhistogram.Histogram
}

// RunLoad drives work at a steady rate and prints a report.
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
		wait.Go(func() { run.one(clients[num%ld.Flows], ld) })
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
	wait.Wait()
	return run.print(out, ld.JSON)
}

func (run *loadRun) one(cln *caller.Client, ld Load) {
	ctx, cancel := context.WithTimeout(context.Background(), drainLoad)
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
		_ = run.latency.RecordValue(took.Microseconds()) // A longer one than the histogram holds is not counted.
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
	for name, quantile := range map[string]float64{"p50": 50, "p90": 90, "p99": 99, "max": 100} {
		rep.Millis[name] = int(run.latency.ValueAtQuantile(quantile) / 1000)
	}
	if asJSON {
		return json.NewEncoder(out).Encode(rep)
	}
	_, err := fmt.Fprintf(out, "work %d, done %d, not run %d, unknown %d, refused %d, retries %d\nlatency p50 %d ms, p90 %d ms, p99 %d ms, max %d ms\n",
		rep.Work, rep.Done, rep.NotRun, rep.Unknown, rep.Refused, rep.Retries,
		rep.Millis["p50"], rep.Millis["p90"], rep.Millis["p99"], rep.Millis["max"])
	return err
}
