package lists_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lagoondrum/core/inidoc"
	"lagoondrum/core/lists"
)

const validPlans = `[service feed]
[plan gold]
[grant gold feed]
address = 192.0.2.1
upstreams = 2
share = 0.5
[end]
`

// assertFault checks that a list is refused with a fault at a line whose reason
// contains a text.
func assertFault(t *testing.T, name lists.Name, raw string, line int, reason string) {
	t.Helper()
	_, err := lists.Parse(name, []byte(raw))
	fs, ok := err.(*inidoc.Faults)
	assert.Assert(t, ok, "the error is not a *inidoc.Faults: %v", err)
	for _, fault := range fs.All() {
		if fault.Line() == line && strings.Contains(fault.Reason(), reason) {
			return
		}
	}
	t.Fatalf("no fault %q at line %d in:\n%s", reason, line, fs)
}

func TestInvalidPlansAreRefused(t *testing.T) {
	grant := "[service feed]\n[plan gold]\n[grant gold feed]\naddress = 192.0.2.1\nupstreams = 2\nshare = 0.6\n"
	for name, tc := range map[string]struct {
		raw    string
		line   int
		reason string
	}{
		"empty":                 {"", 1, "empty"},
		"truncated":             {grant, 7, "truncated"},
		"unknown plan":          {strings.Replace(validPlans, "[plan gold]", "[plan silver]", 1), 3, "unknown plan gold"},
		"unknown service":       {strings.Replace(validPlans, "[service feed]", "[service other]", 1), 3, "unknown service feed"},
		"zero upstreams":        {strings.Replace(validPlans, "upstreams = 2", "upstreams = 0", 1), 5, "not a whole number"},
		"share over 1":          {strings.Replace(validPlans, "0.5", "1.5", 1), 6, "not a fraction"},
		"share not finite":      {strings.Replace(validPlans, "0.5", "NaN", 1), 6, "not a fraction"},
		"shares sum over 1":     {grant + "[plan silver]\n[grant silver feed]\naddress = 192.0.2.2\nupstreams = 1\nshare = 0.5\n[end]\n", 8, "more than 1"},
		"duplicate address":     {grant + "[plan silver]\n[grant silver feed]\naddress = 192.0.2.1\nupstreams = 1\nshare = 0.1\n[end]\n", 9, "duplicate address"},
		"unknown key":           {strings.Replace(validPlans, "share", "shares", 1), 6, "unknown key shares"},
		"unknown section":       {"[plans gold]\n[end]\n", 1, "unknown section"},
		"not INI":               {"hello\n[end]\n", 1, "neither"},
		"unclosed title":        {"[plan gold\n[end]\n", 1, "not closed"},
		"NUL byte":              {"[plan gold]\n\x00\n[end]\n", 2, "NUL"},
		"too large":             {strings.Repeat("# x\n", inidoc.MaxBytes/4+1), 0, "larger"},
		"section after the end": {"[plan gold]\n[end]\n[plan silver]\n", 4, "truncated"},
	} {
		t.Run(name, func(t *testing.T) { assertFault(t, lists.PlansName, tc.raw, tc.line, tc.reason) })
	}
}

func TestAllFaultsOfAListAreReported(t *testing.T) {
	raw := "[service feed]\n[plan gold]\n[grant gold other]\naddress = here\nupstreams = 0\nshare = 2\n[end]\n"
	_, err := lists.ParsePlans([]byte(raw))
	fs, ok := err.(*inidoc.Faults)
	assert.Assert(t, ok)
	assert.Equal(t, len(fs.All()), 4, "%s", fs)
}

func TestInvalidCustomersAreRefused(t *testing.T) {
	customerA := "[customer a]\nplan = gold\ncertificate = a\n"
	for name, tc := range map[string]struct {
		raw    string
		line   int
		reason string
	}{
		"duplicate customer":    {customerA + customerA + "[end]\n", 4, "stands already on line 1"},
		"duplicate certificate": {customerA + "[customer b]\nplan = gold\ncertificate = a\n[end]\n", 6, "duplicate certificate"},
		"no plan":               {"[customer a]\ncertificate = a\n[end]\n", 1, "needs plan"},
		"only an end section":   {"[end]\n", 1, "no sections"},
	} {
		t.Run(name, func(t *testing.T) { assertFault(t, lists.CustomersName, tc.raw, tc.line, tc.reason) })
	}
}

func TestCRLFAndBOMAreAccepted(t *testing.T) {
	for name, raw := range map[string]string{
		"CRLF": strings.ReplaceAll(validPlans, "\n", "\r\n"),
		"BOM":  "\xef\xbb\xbf" + validPlans,
	} {
		t.Run(name, func(t *testing.T) {
			pls, err := lists.ParsePlans([]byte(raw))
			assert.NilError(t, err)
			_, ok := pls.ByAddress(netip.MustParseAddr("192.0.2.1"))
			assert.Assert(t, ok)
		})
	}
}

func ExampleParsePlans() {
	pls, err := lists.ParsePlans([]byte(validPlans))
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, gr := range pls.Grants() {
		fmt.Println(gr.Plan(), gr.Service(), gr.Address(), gr.Upstreams(), gr.Share())
	}
	// Output: gold feed 192.0.2.1 2 0.5
}

func FuzzParse(f *testing.F) {
	f.Add("plans", []byte(validPlans))
	f.Add("customers", []byte("[customer a]\nplan = gold\ncertificate = a\n[end]\n"))
	f.Add("vms", []byte("[vm a]\naddress = 10.0.0.1:1\nzone = z\nservice = feed\n[end]\n"))
	f.Add("keys", []byte("[key 1]\nsecret = 00\n[end]\n"))
	f.Add("plans", []byte("[\n=\n]["))
	f.Fuzz(func(t *testing.T, name string, raw []byte) {
		if _, err := lists.Parse(lists.Name(name), raw); err != nil {
			assert.Assert(t, err.Error() != "")
		}
	})
}
