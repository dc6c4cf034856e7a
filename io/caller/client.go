// Package caller is the Go client of lagoondrum. It gives each piece of work an
// ID, sends it under a new ID only on proof that it was not run, migrates a
// connection to a new port when packets go unanswered, and opens a new connection
// when the agent is leaving.
package caller

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Backoff between retries, timeouts, and the paths and header fields by which work
// and outcomes are exchanged with an agent.
const (
	minBackoff     = 20 * time.Millisecond
	maxBackoff     = time.Second
	dialTimeout    = 1500 * time.Millisecond // Limit for opening a connection and its session; an agent that died does not answer.
	defaultTimeout = 30 * time.Second        // For a context without a deadline.
	outcomePath    = "/.lagoondrum/outcomes/"
	workField      = "Lagoondrum-Work"
	outcomeField   = "Lagoondrum-Outcome"
	reasonField    = "Lagoondrum-Reason"
	deadlineField  = "Lagoondrum-Deadline-Millis"
)

// Config holds the address of a service and the identity of the caller.
type Config struct {
	Address netip.Addr  // Address of the service in the caller's plan.
	Port    int         // UDP port, the same for every address.
	TLS     *tls.Config // The caller's certificate and the certificate authority that it trusts.
	Dialer  Dialer      // Opens sockets; nil means UDPDialer.
}

// Request is the HTTP request of one piece of work.
type Request struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// Answer is the complete answer of an upstream.
type Answer struct {
	Status  int
	Header  http.Header
	Body    []byte
	Work    string // ID under which the work ran.
	Retries int    // Earlier attempts, each of which was proved not run.
}

// NotRunError reports work that is proved not to have run by its deadline.
type NotRunError struct {
	Work   string
	Reason string
}

// UnknownError reports work that may have run. Client.Outcome may return its
// outcome later, by the work ID.
type UnknownError struct {
	Work   string
	Reason string
	Cause  error
}

// RefusedError reports a request or session that an agent refused, for example
// because the caller's plan does not allow it.
type RefusedError struct {
	Status int
	Reason string
}

func (err *NotRunError) Error() string { return "not run: " + err.Reason }

func (err *UnknownError) Error() string { return "outcome unknown: " + err.Reason }

// Unwrap returns the error behind the unknown outcome, such as a lost connection,
// or nil.
func (err *UnknownError) Unwrap() error { return err.Cause }

func (err *RefusedError) Error() string {
	return fmt.Sprintf("refused with status %d: %s", err.Status, err.Reason)
}

// Client calls one service as one customer. It is safe for concurrent use.
type Client struct {
	cfg  Config
	mu   sync.Mutex
	conn *agentConn
}

// New returns a client that connects on first use.
func New(cfg Config) *Client { return &Client{cfg: cfg} }

// Close closes the client's connection.
func (cln *Client) Close() {
	cln.mu.Lock()
	defer cln.mu.Unlock()
	if cln.conn != nil {
		cln.conn.close()
	}
}

// Moves returns how often the current connection has migrated to a new port.
func (cln *Client) Moves() int {
	cln.mu.Lock()
	defer cln.mu.Unlock()
	if cln.conn == nil {
		return 0
	}
	return int(cln.conn.migrations.Load())
}

// Do has work run at most once and returns its complete answer. While the work is
// proved not run, it retries until the deadline. The error is a *NotRunError, an
// *UnknownError or a *RefusedError.
func (cln *Client) Do(ctx context.Context, req Request) (*Answer, error) {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	delay := minBackoff
	for tries := 0; ; tries++ {
		acn, err := cln.awaitConn(ctx)
		if err != nil {
			return nil, err
		}
		ans, err := cln.attempt(ctx, acn, req)
		if err == nil {
			ans.Retries = tries
			return ans, nil
		}
		if _, ok := err.(*NotRunError); !ok || !waitBackoff(ctx, delay) {
			return nil, err
		}
		delay = min(2*delay, maxBackoff)
	}
}

// Outcome returns the recorded outcome of work by its ID. The errors are those of
// Do.
func (cln *Client) Outcome(ctx context.Context, work string) (*Answer, error) {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	acn, err := cln.awaitConn(ctx)
	if err != nil {
		return nil, &UnknownError{Work: work, Reason: "no connection", Cause: err}
	}
	ans, err := roundTrip(ctx, acn, cln.cfg, Request{Method: http.MethodGet, Path: outcomePath + work}, work)
	if errors.HasType(err, (*answerLostError)(nil)) {
		return nil, &UnknownError{Work: work, Reason: "no answer", Cause: err}
	}
	return ans, err
}

// withDeadline returns ctx with the default timeout unless it has a deadline.
func withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultTimeout)
}

// awaitConn returns a connection that takes new work. It returns a *RefusedError
// with status 403 at once, and a *NotRunError when there is no connection by the
// deadline.
func (cln *Client) awaitConn(ctx context.Context) (*agentConn, error) {
	delay := minBackoff
	for {
		acn, err := cln.currentConn(ctx)
		if err == nil {
			return acn, nil
		}
		if ref, ok := err.(*RefusedError); ok && ref.Status == http.StatusForbidden {
			return nil, err
		}
		if !waitBackoff(ctx, delay) {
			return nil, &NotRunError{Reason: "no connection: " + err.Error()}
		}
		delay = min(2*delay, maxBackoff)
	}
}

// currentConn returns the connection in use. When there is none or it is retired,
// it dials a new one and closes the old one once that has no requests in flight.
func (cln *Client) currentConn(ctx context.Context) (*agentConn, error) {
	cln.mu.Lock()
	defer cln.mu.Unlock()
	if cln.conn != nil && !cln.conn.retired() {
		return cln.conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	next, err := dial(ctx, cln.cfg)
	if err != nil {
		return nil, err
	}
	if cln.conn != nil {
		go cln.conn.closeWhenIdle()
	}
	cln.conn = next
	return next, nil
}

// closeWhenIdle closes a retired connection after its requests and streams have
// finished.
func (acn *agentConn) closeWhenIdle() {
	acn.inFlight.Wait()
	acn.close()
}

// attempt sends work under a new ID. When the answer is lost, it sends the request
// again under the same ID until the deadline; an agent answers a known ID with the
// recorded outcome.
func (cln *Client) attempt(ctx context.Context, acn *agentConn, req Request) (*Answer, error) {
	work := acn.nextWorkID()
	for lost := false; ; lost = true {
		ans, err := roundTrip(ctx, acn, cln.cfg, req, work)
		if ref, ok := err.(*RefusedError); ok && lost {
			return nil, &UnknownError{Work: work, Reason: "refused after an answer was lost", Cause: ref}
		}
		if !errors.HasType(err, (*answerLostError)(nil)) {
			return ans, err
		}
		if !waitBackoff(ctx, minBackoff) {
			return nil, &UnknownError{Work: work, Reason: "no answer by the deadline", Cause: err}
		}
		next, connErr := cln.awaitConn(ctx)
		if connErr != nil {
			return nil, &UnknownError{Work: work, Reason: "connection lost", Cause: err}
		}
		acn = next
	}
}

// answerLostError reports a request whose answer did not arrive completely.
type answerLostError struct{ cause error }

func (err *answerLostError) Error() string { return "answer lost: " + err.cause.Error() }

// roundTrip sends one request under a work ID and reads its answer. The error is
// an *answerLostError when the answer did not arrive completely.
func roundTrip(ctx context.Context, acn *agentConn, cfg Config, req Request, work string) (*Answer, error) {
	acn.inFlight.Add(1)
	defer acn.inFlight.Done()
	httpReq, err := http.NewRequestWithContext(ctx, req.Method, cfg.url(req.Path), bytes.NewReader(req.Body))
	if err != nil {
		return nil, &NotRunError{Work: work, Reason: err.Error()}
	}
	if req.Header != nil {
		httpReq.Header = req.Header.Clone()
	}
	httpReq.Header.Set(workField, work)
	if deadline, ok := ctx.Deadline(); ok {
		httpReq.Header.Set(deadlineField, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	rsp, err := acn.http.RoundTrip(httpReq)
	if err != nil {
		return nil, &answerLostError{err}
	}
	defer rsp.Body.Close()
	body, err := io.ReadAll(rsp.Body)
	if err != nil {
		return nil, &answerLostError{err}
	}
	return classify(rsp, body, work)
}

// classify returns a complete answer, or the error for its outcome and status.
func classify(rsp *http.Response, body []byte, work string) (*Answer, error) {
	reason := rsp.Header.Get(reasonField)
	outcome := rsp.Header.Get(outcomeField)
	refused := rsp.StatusCode == http.StatusForbidden || rsp.StatusCode == http.StatusBadRequest
	switch {
	case outcome == "done":
		return &Answer{Status: rsp.StatusCode, Header: rsp.Header, Body: body, Work: work}, nil
	case refused:
		return nil, &RefusedError{rsp.StatusCode, string(body)}
	case outcome == "notRun":
		return nil, &NotRunError{Work: work, Reason: reason}
	default:
		return nil, &UnknownError{Work: work, Reason: reason}
	}
}

// readRefusal returns the *RefusedError of an answer, and closes its body.
func readRefusal(rsp *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(rsp.Body, maxRefusalBytes)) // A body that breaks off is reported as far as it was read.
	_ = rsp.Body.Close()
	return &RefusedError{rsp.StatusCode, string(bytes.TrimSpace(body))}
}

const maxRefusalBytes = 4 << 10

// formatWorkID returns the work ID of a counter within a session's prefix.
func formatWorkID(prefix string, counter uint32) string {
	return prefix + "." + strconv.FormatUint(uint64(counter), 10)
}

// waitBackoff waits between 0.5 and 1.5 times delay, at random. It returns false
// when ctx ends first.
func waitBackoff(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay/2 + rand.N(delay))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (cfg Config) dialer() Dialer {
	if cfg.Dialer == nil {
		return UDPDialer{}
	}
	return cfg.Dialer
}

func (cfg Config) remote() net.Addr {
	return net.UDPAddrFromAddrPort(netip.AddrPortFrom(cfg.Address, uint16(cfg.Port)))
}

func (cfg Config) url(path string) string {
	return "https://" + netip.AddrPortFrom(cfg.Address, uint16(cfg.Port)).String() + path
}
