package admin

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"

	"lagoondrum/core/lists"
)

// wildcardTeam is the team that may see every customer.
const wildcardTeam = "*"

// teamKey is the context key of the team that made a request.
type teamKey struct{}

// authenticate passes on only requests with a team's bearer token. Without tokens
// in the settings the API listens on loopback only, and every request may see all
// customers.
func (adm *Admin) authenticate(next http.HandlerFunc) http.HandlerFunc {
	teams := adm.set.AdminTokens()
	return func(rw http.ResponseWriter, req *http.Request) {
		team, ok := teamOf(teams, req.Header.Get("Authorization"))
		if !ok {
			writeAPIError(rw, http.StatusUnauthorized, "unauthorized", "a team's bearer token is required")
			return
		}
		next(rw, req.WithContext(context.WithValue(req.Context(), teamKey{}, team)))
	}
}

// teamOf returns the team whose token an Authorization header carries. Tokens are
// compared in constant time, against timing attacks.
func teamOf(teams map[string]string, header string) (string, bool) {
	if len(teams) == 0 {
		return wildcardTeam, true
	}
	given := strings.TrimPrefix(header, "Bearer ")
	for token, team := range teams {
		if subtle.ConstantTimeCompare([]byte(token), []byte(given)) == 1 {
			return team, true
		}
	}
	return "", false
}

// canSee reports whether the team of a request may see a customer.
func canSee(req *http.Request, cu *lists.Customer) bool {
	team, _ := req.Context().Value(teamKey{}).(string)
	return team == wildcardTeam || team == cu.Team()
}
