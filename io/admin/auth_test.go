package admin

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"lagoondrum/core/lists"
	"lagoondrum/io/conf"
)

const tokenSettings = "[admin]\naddress = 10.0.0.1:80\ncert = c\nkey = k\ntokens = povltavi:one, ropewalk:two, *:all\n"

func TestGuardKnowsTeams(t *testing.T) {
	set, err := conf.Parse("s.ini", []byte(tokenSettings))
	assert.NilError(t, err)
	cus, err := lists.ParseCustomers([]byte("[customer a]\nplan = p\ncertificate = a\nteam = povltavi\n[end]\n"))
	assert.NilError(t, err)
	adm := &Admin{set: set}
	for name, tc := range map[string]struct {
		header  string
		status  int
		visible bool
	}{
		"no token":            {"", http.StatusUnauthorized, false},
		"wrong token":         {"Bearer three", http.StatusUnauthorized, false},
		"own team":            {"Bearer one", http.StatusOK, true},
		"other team":          {"Bearer two", http.StatusOK, false},
		"token for all teams": {"Bearer all", http.StatusOK, true},
	} {
		t.Run(name, func(t *testing.T) {
			visible := false
			handler := adm.authenticate(func(_ http.ResponseWriter, req *http.Request) { visible = canSee(req, cus.All()[0]) })
			req := httptest.NewRequest(http.MethodGet, "/v1/customers", nil)
			req.Header.Set("Authorization", tc.header)
			rec := httptest.NewRecorder()
			handler(rec, req)
			assert.Equal(t, rec.Code, tc.status)
			assert.Equal(t, visible, tc.visible)
		})
	}
}
