package admin

import (
	"net/http"

	"github.com/zeromicro/go-zero/rest/httpx"

	"lagoondrum/core/inidoc"
)

// apiError is the body of the answer to a request that the API refuses.
type apiError struct {
	Error  string   `json:"error"`
	Detail string   `json:"detail"`
	Faults []string `json:"faults,omitempty"`
}

func writeAPIError(rw http.ResponseWriter, status int, kind, detail string) {
	httpx.WriteJson(rw, status, apiError{Error: kind, Detail: detail})
}

// faultLines returns the faults of a list, one per line, or the text of another
// error.
func faultLines(err error) []string {
	fs, ok := err.(*inidoc.Faults)
	if !ok {
		return []string{err.Error()}
	}
	var lines []string
	for _, fault := range fs.All() {
		lines = append(lines, fault.String())
	}
	return lines
}
