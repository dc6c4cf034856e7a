// Package where tells where a request that callers send as packets would go now, and
// why, without sending it: a process answers over HTTP, and the answer is printed as a
// table. The decision is explained by core/track and core/flows.
package where

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"go.uber.org/zap"

	"lagoondrum/core/flow"
)

// Path is the path of the question.
const Path = "/v1/explain"

// Process answers where flows would go.
type Process interface {
	// Explain returns the answer for a flow. The zero endpoint as its client stands for
	// any client.
	Explain(key flow.Key, now time.Time) Answer
}

// Handler serves the answers of a process.
type Handler struct {
	process Process
	log     *zap.Logger
}

// NewHandler returns the handler of a process.
func NewHandler(prc Process, log *zap.Logger) *Handler { return &Handler{process: prc, log: log} }

// ServeHTTP answers a question.
func (hdl *Handler) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	if req.Method != http.MethodGet {
		http.Error(rw, "only GET is answered", http.StatusMethodNotAllowed)
		return
	}
	key, err := parseQuery(req.URL.Query())
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	body, err := json.Marshal(hdl.process.Explain(key, time.Now()))
	if err != nil {
		hdl.log.Error("explanation not encoded", zap.Stringer("flow", key), zap.Error(err))
		http.Error(rw, err.Error(), http.StatusInternalServerError)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	if _, err := rw.Write(body); err != nil {
		hdl.log.Info("explanation not delivered", zap.Stringer("flow", key), zap.Error(err))
	}
}

// AddressError reports an address that is not an IPv4 address with a port.
type AddressError struct{ field, value string }

func (err *AddressError) Error() string {
	return err.field + " " + err.value + " is not an IPv4 address with a port, as 198.18.0.1:443"
}

// Query returns the query of a question. The client may be empty.
func Query(address, client string) (url.Values, error) {
	query := url.Values{"address": {address}}
	if client != "" {
		query.Set("client", client)
	}
	_, err := parseQuery(query)
	return query, err
}

// parseQuery returns the flow that a question is about.
func parseQuery(query url.Values) (flow.Key, error) {
	service, err := parseEndpoint("address", query.Get("address"))
	if err != nil || !query.Has("client") {
		return flow.NewKey(flow.Endpoint{}, service), err
	}
	client, err := parseEndpoint("client", query.Get("client"))
	return flow.NewKey(client, service), err
}

func parseEndpoint(field, text string) (flow.Endpoint, error) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil || !addr.Addr().Is4() || addr.Addr().IsUnspecified() || addr.Port() == 0 {
		return flow.Endpoint{}, &AddressError{field, text}
	}
	return flow.EndpointOf(addr), nil
}
