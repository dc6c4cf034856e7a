package admin

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"

	"lagoondrum/core/lists"
)

// everyTeam is the team that sees every customer.
const everyTeam = "*"

type teamKey struct{}

// guard lets a request through that carries a team's bearer token. Without
// tokens in the settings the API is on loopback, and everybody sees everything.
func (adm *Admin) guard(next http.HandlerFunc) http.HandlerFunc {
	teams := adm.set.AdminTokens()
	return func(rw http.ResponseWriter, req *http.Request) {
		team, ok := teamOf(teams, req.Header.Get("Authorization"))
		if !ok {
			writeAPIError(rw, http.StatusUnauthorized, "unauthorized", "a team's bearer token is needed")
			return
		}
		next(rw, req.WithContext(context.WithValue(req.Context(), teamKey{}, team)))
	}
}

func teamOf(teams map[string]string, header string) (string, bool) {
	if len(teams) == 0 {
		return everyTeam, true
	}
	given := strings.TrimPrefix(header, "Bearer ")
	for token, team := range teams {
		if subtle.ConstantTimeCompare([]byte(token), []byte(given)) == 1 {
			return team, true
		}
	}
	return "", false
}

// sees reports whether the team of a request may see a customer.
func sees(req *http.Request, cu *lists.Customer) bool {
	team, _ := req.Context().Value(teamKey{}).(string)
	return team == everyTeam || team == cu.Team()
}
