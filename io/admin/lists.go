package admin

import (
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/rest/httpx"

	"lagoondrum/core/lists"
)

// listState is what the API tells about one list.
type listState struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	AgeSeconds      float64  `json:"ageSeconds"`
	RefusedRevision uint64   `json:"refusedRevision,omitempty"`
	Faults          []string `json:"faults,omitempty"`
}

type listsBody struct {
	Lists            []listState `json:"lists"`
	ConfirmedSeconds float64     `json:"confirmedSeconds"`
}

func (adm *Admin) listsInForce(rw http.ResponseWriter, _ *http.Request) {
	body := listsBody{ConfirmedSeconds: sinceSeconds(adm.lists.Confirmed())}
	for _, name := range lists.Names() {
		body.Lists = append(body.Lists, adm.listState(name))
	}
	httpx.OkJson(rw, body)
}

func (adm *Admin) listState(name lists.Name) listState {
	sta := adm.lists.State(name)
	out := listState{Name: string(name), Revision: sta.Version().Revision(), AgeSeconds: sinceSeconds(sta.Since())}
	if ref := sta.Refusal(); ref != nil {
		out.RefusedRevision = ref.Revision()
		out.Faults = faultLines(ref.Err())
	}
	return out
}

// sinceSeconds returns the age of a time in seconds, -1 for none.
func sinceSeconds(at time.Time) float64 {
	if at.IsZero() {
		return -1
	}
	return time.Since(at).Seconds()
}
