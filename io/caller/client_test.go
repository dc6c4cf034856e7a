package caller

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

func TestAnswersAreJudged(t *testing.T) {
	for name, tc := range map[string]struct {
		status  int
		outcome string
		want    error
	}{
		"done":                {http.StatusOK, "done", nil},
		"done with a failure": {http.StatusInternalServerError, "done", nil},
		"not run":             {http.StatusServiceUnavailable, "notRun", &NotRunError{}},
		"unknown":             {http.StatusBadGateway, "unknown", &UnknownError{}},
		"no outcome":          {http.StatusBadGateway, "", &UnknownError{}},
		"refused":             {http.StatusForbidden, "notRun", &RefusedError{}},
		"refused with an ID":  {http.StatusForbidden, "unknown", &RefusedError{}},
		"malformed request":   {http.StatusBadRequest, "notRun", &RefusedError{}},
	} {
		t.Run(name, func(t *testing.T) {
			rsp := &http.Response{StatusCode: tc.status, Header: http.Header{outcomeField: {tc.outcome}}}
			ans, err := classify(rsp, nil, "work")
			assert.Equal(t, ans != nil, err == nil)
			assert.Equal(t, fmt.Sprintf("%T", err), fmt.Sprintf("%T", tc.want))
		})
	}
}
