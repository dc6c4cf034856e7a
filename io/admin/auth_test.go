package admin

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"lagoondrum/core/lists"
	"lagoondrum/io/conf"
)

const guardedSettings = "[admin]\naddress = 10.0.0.1:80\ncert = c\nkey = k\ntokens = povltavi:one, ropewalk:two, *:all\n"

func TestGuardKnowsTeams(t *testing.T) {
	set, err := conf.Parse("s.ini", []byte(guardedSettings))
	assert.NilError(t, err)
	cus, err := lists.ParseCustomers([]byte("[customer a]\nplan = p\ncertificate = a\nteam = povltavi\n[end]\n"))
	assert.NilError(t, err)
	adm := &Admin{set: set}
	for name, tc := range map[string]struct {
		header string
		status int
		sees   bool
	}{
		"no token":        {"", http.StatusUnauthorized, false},
		"wrong token":     {"Bearer three", http.StatusUnauthorized, false},
		"own team":        {"Bearer one", http.StatusOK, true},
		"other team":      {"Bearer two", http.StatusOK, false},
		"every customers": {"Bearer all", http.StatusOK, true},
	} {
		t.Run(name, func(t *testing.T) {
			seen := false
			handler := adm.guard(func(_ http.ResponseWriter, req *http.Request) { seen = sees(req, cus.All()[0]) })
			req := httptest.NewRequest(http.MethodGet, "/v1/customers", nil)
			req.Header.Set("Authorization", tc.header)
			rec := httptest.NewRecorder()
			handler(rec, req)
			assert.Equal(t, rec.Code, tc.status)
			assert.Equal(t, seen, tc.sees)
		})
	}
}
