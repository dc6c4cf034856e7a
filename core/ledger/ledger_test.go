package ledger_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/ledger"
	"lagoondrum/core/lists"
	"lagoondrum/core/relay"
)

var (
	now   = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	owner = ledger.NewOwner(netip.MustParseAddrPort("10.0.0.1:7842"), 42)
)

func keys(t *testing.T) *lists.Keys {
	t.Helper()
	kys, err := lists.ParseKeys(fmt.Appendf(nil, "[key 1]\nsecret = %064x\n[key 2]\nsecret = %064x\n[end]\n", 1, 2))
	assert.NilError(t, err)
	return kys
}

func TestWorkIDIsBoundToCustomer(t *testing.T) {
	kys := keys(t)
	ses, ok := ledger.New(owner).Open()
	assert.Assert(t, ok)
	text := ledger.FormatID(ses.Prefix(kys.All()[0], "till-7"), 9)
	id, err := ledger.ParseID(text, "till-7", kys.Find)
	assert.NilError(t, err)
	assert.Equal(t, id, ledger.NewID(ses, 9))
	for name, tc := range map[string]struct{ text, customer string }{
		"other customer": {text, "till-8"},
		"altered prefix": {"B" + text[1:], "till-7"},
		"no counter":     {text[:len(text)-2], "till-7"},
		"counter 0":      {text[:len(text)-1] + "0", "till-7"},
		"empty":          {"", "till-7"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ledger.ParseID(tc.text, tc.customer, kys.Find)
			assert.ErrorContains(t, err, "not a work ID")
		})
	}
}

// assertBegin checks the type of the verdict of Begin.
func assertBegin(t *testing.T, ldg *ledger.Ledger, id ledger.ID, want ledger.Verdict) {
	t.Helper()
	got := ldg.Begin(id, now.Add(time.Minute))
	assert.Equal(t, fmt.Sprintf("%T", got), fmt.Sprintf("%T", want))
}

// assertStart checks whether Start allows the work, and returns the attempt.
func assertStart(t *testing.T, ldg *ledger.Ledger, id ledger.ID, want bool) ledger.Attempt {
	t.Helper()
	att, ok := ldg.Start(id, now)
	assert.Equal(t, ok, want)
	return att
}

func TestReleaseIgnoresEarlierAttempts(t *testing.T) {
	ldg := ledger.New(owner)
	ses, _ := ldg.Open()
	id := ledger.NewID(ses, 1)
	assertBegin(t, ldg, id, ledger.Fresh{})
	ldg.Release(id, 0)
	first := assertStart(t, ldg, id, true)
	ldg.Release(id, first)
	assertStart(t, ldg, id, true)
	ldg.Release(id, first)
	assertStart(t, ldg, id, false)
}

func TestForgottenWorkIsNotBegunAgain(t *testing.T) {
	ldg := ledger.New(owner)
	ses, _ := ldg.Open()
	id := ledger.NewID(ses, 1)
	assertBegin(t, ldg, id, ledger.Fresh{})
	assertStart(t, ldg, id, true)
	ldg.Finish(id, relay.Done, ledger.NewAnswer(200, nil, []byte("ok")))
	assertBegin(t, ldg, id, ledger.Known{})
	ldg.Sweep(now.Add(time.Hour))
	assert.Equal(t, ldg.Len(), 0)
	assert.Equal(t, ldg.Bytes(), 0)
	assertBegin(t, ldg, id, ledger.Forgotten{})
	assertBegin(t, ldg, ledger.NewID(ses, 2), ledger.Fresh{})
}

func TestFullLedgerRefuses(t *testing.T) {
	ldg := ledger.New(owner)
	ses, _ := ldg.Open()
	for counter := range uint32(ledger.MaxEntries) {
		assertBegin(t, ldg, ledger.NewID(ses, counter+1), ledger.Fresh{})
	}
	refused := ledger.NewID(ses, ledger.MaxEntries+1)
	assertBegin(t, ldg, refused, ledger.Full{})
	first := ledger.NewID(ses, 1)
	ldg.Finish(first, relay.NotRun, ledger.Answer{})
	ldg.Sweep(now.Add(time.Hour))
	assertBegin(t, ldg, refused, ledger.Forgotten{}) // The caller was told that it did not run.
	assertBegin(t, ldg, ledger.NewID(ses, ledger.MaxEntries+2), ledger.Fresh{})
}

func TestStartedWorkIsNeverReportedNotRun(t *testing.T) {
	ldg := ledger.New(owner)
	ses, _ := ldg.Open()
	id := ledger.NewID(ses, 1)
	assertBegin(t, ldg, id, ledger.Fresh{})
	assertStart(t, ldg, id, true)
	ldg.Finish(id, relay.NotRun, ledger.Answer{})
	known, _ := ldg.Lookup(id)
	assert.Equal(t, known.Outcome, relay.Unknown)
}

func TestWorkIsNotStartedPastItsDeadline(t *testing.T) {
	ldg := ledger.New(owner)
	ses, _ := ldg.Open()
	id := ledger.NewID(ses, 1)
	assertBegin(t, ldg, id, ledger.Fresh{})
	_, ok := ldg.Start(id, now.Add(time.Minute))
	assert.Assert(t, !ok)
}
