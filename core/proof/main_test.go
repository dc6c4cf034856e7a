package proof

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// seed makes every run of the state machines the same.
const seed = "20261204"

// cases is how many courses of events each property is driven through.
const cases = "1000"

var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", seed)
	}
	if checks := flag.Lookup("rapid.checks"); checks.Value.String() == checks.DefValue {
		_ = flag.Set("rapid.checks", cases)
	}
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "5s") // A caught mutant needs no smallest course.
	os.Exit(m.Run())
}

// recorder is a test that may fail without failing the run.
type recorder struct {
	name   string
	failed bool
	said   string
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
	rec.said = fmt.Sprintf(format, args...)
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

// assertCaught checks that a property fails for a broken decision.
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
		t.Fatal("the oracle did not catch the broken decision")
	}
}
