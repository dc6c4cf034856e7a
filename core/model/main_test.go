package model

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// defaultSeed makes the random event sequences the same in every run. The flag
// -rapid.seed overrides it.
const defaultSeed = "20261204"

// defaultChecks is the number of event sequences generated per property. The
// flag -rapid.checks overrides it.
const defaultChecks = "1000"

// epoch is the start of virtual time.
var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", defaultSeed)
	}
	if checks := flag.Lookup("rapid.checks"); checks.Value.String() == checks.DefValue {
		_ = flag.Set("rapid.checks", defaultChecks)
	}
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "5s") // The failure of a mutant needs no minimal event sequence.
	os.Exit(m.Run())
}

// recorder is a rapid.TB that records a failure instead of failing the test run.
type recorder struct {
	name    string
	failed  bool
	message string
}

func (rec *recorder) Helper()                         {}
func (rec *recorder) Name() string                    { return rec.name }
func (rec *recorder) Logf(format string, args ...any) {}
func (rec *recorder) Log(args ...any)                 {}
func (rec *recorder) Skipf(string, ...any)            { runtime.Goexit() }
func (rec *recorder) Skip(...any)                     { runtime.Goexit() }
func (rec *recorder) SkipNow()                        { runtime.Goexit() }
func (rec *recorder) Errorf(format string, args ...any) {
	rec.failed = true
	rec.message = fmt.Sprintf(format, args...)
}
func (rec *recorder) Error(args ...any) { rec.Errorf("%s", fmt.Sprint(args...)) }
func (rec *recorder) Fatalf(format string, args ...any) {
	rec.Errorf(format, args...)
	runtime.Goexit()
}
func (rec *recorder) Fatal(args ...any) { rec.Fatalf("%s", fmt.Sprint(args...)) }
func (rec *recorder) FailNow()          { rec.failed = true; runtime.Goexit() }
func (rec *recorder) Fail()             { rec.failed = true }
func (rec *recorder) Failed() bool      { return rec.failed }

// assertCaught checks that a property fails for a mutant.
func assertCaught(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	rec := &recorder{name: t.Name()}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(rec, property)
	}()
	<-done
	if !rec.failed {
		t.Fatal("the oracle did not detect the mutant")
	}
}
