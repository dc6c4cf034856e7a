package tool

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"lagoondrum/io/where"
)

const requestTimeout = 5 * time.Second

// API is the administration API of a process and the token for it.
type API struct {
	URL   string // For example http://127.0.0.1:7890.
	Token string // The team's bearer token, or "" to send none.

	Timeout time.Duration // For the answer; 0 means 5 s.
}

// APIError reports an answer of a process with a status other than 200.
type APIError struct {
	status int
	body   string
}

func (err *APIError) Error() string {
	return fmt.Sprintf("the process answered with status %d: %s", err.status, err.body)
}

// Status prints the state of a process as JSON.
func Status(out io.Writer, api API) error { return api.printJSON(out, "/v1/status") }

// Explain prints where a customer's traffic to a service would go, and why.
func Explain(out io.Writer, api API, customer, service string) error {
	query := url.Values{"customer": {customer}, "service": {service}}
	return api.printJSON(out, "/v1/explain?"+query.Encode())
}

// ExplainFlow prints where a flow to an address would go, and why. The client may be
// empty. With asJSON the answer of the process is printed as it is.
func ExplainFlow(out io.Writer, api API, address, client string, asJSON bool) error {
	query, err := where.Query(address, client)
	if err != nil {
		return err
	}
	raw, err := api.get(where.Path + "?" + query.Encode())
	if err != nil {
		return errors.Wrapf(err, "no explanation from %s", api.URL)
	}
	if asJSON {
		_, err := fmt.Fprintln(out, string(raw))
		return err
	}
	return where.Print(out, raw)
}

// printJSON gets a path of the API and prints the answer as indented JSON.
func (api API) printJSON(out io.Writer, path string) error {
	raw, err := api.get(path)
	if err != nil {
		return err
	}
	var buf bytes.Buffer
	if err := json.Indent(&buf, raw, "", "  "); err != nil {
		return errors.WithStack(err)
	}
	_, err = fmt.Fprintln(out, buf.String())
	return err
}

// get returns the answer to a path of the API.
func (api API) get(path string) ([]byte, error) {
	req, err := http.NewRequest(http.MethodGet, api.URL+path, nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if api.Token != "" {
		req.Header.Set("Authorization", "Bearer "+api.Token)
	}
	rsp, err := (&http.Client{Timeout: cmp.Or(api.Timeout, requestTimeout)}).Do(req)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer rsp.Body.Close()
	raw, err := io.ReadAll(rsp.Body)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if rsp.StatusCode != http.StatusOK {
		return nil, &APIError{rsp.StatusCode, string(bytes.TrimSpace(raw))}
	}
	return raw, nil
}
