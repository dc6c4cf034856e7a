package admin

import (
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/rest/httpx"

	"lagoondrum/core/lists"
)

// listState describes the version of a list that is in force, and the newest edit
// if it was refused.
type listState struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	AgeSeconds      float64  `json:"ageSeconds"`
	RefusedRevision uint64   `json:"refusedRevision,omitempty"`
	Faults          []string `json:"faults,omitempty"`
}

// listsBody is the answer of /v1/lists.
type listsBody struct {
	Lists            []listState `json:"lists"`
	ConfirmedSeconds float64     `json:"confirmedSeconds"` // Since the lists were last compared with the platform, -1 for never.
}

func (adm *Admin) listsInForce(rw http.ResponseWriter, _ *http.Request) {
	body := listsBody{ConfirmedSeconds: ageSeconds(adm.lists.Confirmed())}
	for _, name := range lists.Names() {
		body.Lists = append(body.Lists, adm.listState(name))
	}
	httpx.OkJson(rw, body)
}

func (adm *Admin) listState(name lists.Name) listState {
	sta := adm.lists.State(name)
	out := listState{Name: string(name), Revision: sta.Version().Revision(), AgeSeconds: ageSeconds(sta.Since())}
	if ref := sta.Refusal(); ref != nil {
		out.RefusedRevision = ref.Revision()
		out.Faults = faultLines(ref.Err())
	}
	return out
}

// ageSeconds returns the seconds since a time, -1 for the zero time.
func ageSeconds(at time.Time) float64 {
	if at.IsZero() {
		return -1
	}
	return time.Since(at).Seconds()
}
