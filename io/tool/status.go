package tool

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
)

const requestTimeout = 5 * time.Second

// API is the administration API of a process and the token for it.
type API struct {
	URL   string // For example http://127.0.0.1:7890.
	Token string // The team's bearer token, or "" to send none.
}

// APIError reports an answer of the administration API with a status other than 200.
type APIError struct {
	status int
	body   string
}

func (err *APIError) Error() string {
	return fmt.Sprintf("administration API answered with status %d: %s", err.status, err.body)
}

// Status prints the state of a process as JSON.
func Status(out io.Writer, api API) error { return api.printJSON(out, "/v1/status") }

// Explain prints where a customer's traffic to a service would go, and why.
func Explain(out io.Writer, api API, customer, service string) error {
	query := url.Values{"customer": {customer}, "service": {service}}
	return api.printJSON(out, "/v1/explain?"+query.Encode())
}

// printJSON gets a path of the API and prints the answer as indented JSON.
func (api API) printJSON(out io.Writer, path string) error {
	req, err := http.NewRequest(http.MethodGet, api.URL+path, nil)
	if err != nil {
		return errors.WithStack(err)
	}
	if api.Token != "" {
		req.Header.Set("Authorization", "Bearer "+api.Token)
	}
	rsp, err := (&http.Client{Timeout: requestTimeout}).Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer rsp.Body.Close()
	raw, err := io.ReadAll(rsp.Body)
	if err != nil {
		return errors.WithStack(err)
	}
	if rsp.StatusCode != http.StatusOK {
		return &APIError{rsp.StatusCode, string(bytes.TrimSpace(raw))}
	}
	var buf bytes.Buffer
	if err := json.Indent(&buf, raw, "", "  "); err != nil {
		return errors.WithStack(err)
	}
	_, err = fmt.Fprintln(out, buf.String())
	return err
}
