// Package caller is the Go client of lagoondrum. It numbers work, repeats it
// only on proof that it was not run, moves to a new port when a path goes
// silent, and to a new connection when the agent is leaving.
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

// Timing of retries.
const (
	minRetry      = 20 * time.Millisecond
	maxRetry      = time.Second
	dialAttempt   = 1500 * time.Millisecond // A handshake with an agent that died is given up after this long.
	defaultWork   = 30 * time.Second
	outcomePath   = "/.lagoondrum/outcomes/"
	workField     = "Lagoondrum-Work"
	outcomeField  = "Lagoondrum-Outcome"
	reasonField   = "Lagoondrum-Reason"
	deadlineField = "Lagoondrum-Deadline-Millis"
)

// Config says where the service is and who the caller is.
type Config struct {
	Address netip.Addr  // The address in the caller's plan.
	Port    int         // The port of every address.
	TLS     *tls.Config // The caller's certificate and the authority it trusts.
	Dialer  Dialer      // Opens sockets; nil stands for UDPDialer.
}

// Request is one piece of work.
type Request struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// Answer is the whole answer of an upstream.
type Answer struct {
	Status  int
	Header  http.Header
	Body    []byte
	Work    string // The work ID under which it ran.
	Retries int    // Attempts that were proved not run before it.
}

// NotRunError reports work that was not run before its deadline.
type NotRunError struct {
	Work   string
	Reason string
}

// UnknownError reports work that may have run. Its outcome can be asked for
// under the work ID.
type UnknownError struct {
	Work   string
	Reason string
	Cause  error
}

// RefusedError reports a caller that its plan does not allow to do this.
type RefusedError struct {
	Status int
	Reason string
}

func (err *NotRunError) Error() string { return "not run: " + err.Reason }

func (err *UnknownError) Error() string { return "outcome unknown: " + err.Reason }

// Unwrap returns the failure of the connection, if that was the reason.
func (err *UnknownError) Unwrap() error { return err.Cause }

func (err *RefusedError) Error() string {
	return fmt.Sprintf("refused with status %d: %s", err.Status, err.Reason)
}

// Client calls one service as one customer. It is safe for concurrent use.
type Client struct {
	cfg  Config
	mu   sync.Mutex
	link *link
}

// New returns a client; it connects on first use.
func New(cfg Config) *Client { return &Client{cfg: cfg} }

// Close ends the client's connection.
func (cln *Client) Close() {
	cln.mu.Lock()
	defer cln.mu.Unlock()
	if cln.link != nil {
		cln.link.close()
	}
}

// Moves returns how often the current connection moved to a new port.
func (cln *Client) Moves() int {
	cln.mu.Lock()
	defer cln.mu.Unlock()
	if cln.link == nil {
		return 0
	}
	return int(cln.link.moves.Load())
}

// Do has work run at most once and returns its whole answer. The error is a
// *NotRunError, an *UnknownError or a *RefusedError.
func (cln *Client) Do(ctx context.Context, req Request) (*Answer, error) {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	retry := minRetry
	for tries := 0; ; tries++ {
		lnk, err := cln.connected(ctx)
		if err != nil {
			return nil, err
		}
		ans, err := cln.attempt(ctx, lnk, req)
		if err == nil {
			ans.Retries = tries
			return ans, nil
		}
		if _, ok := err.(*NotRunError); !ok || !pause(ctx, retry) {
			return nil, err
		}
		retry = min(2*retry, maxRetry)
	}
}

// Outcome asks what became of work, by its ID. The errors are those of Do.
func (cln *Client) Outcome(ctx context.Context, work string) (*Answer, error) {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	lnk, err := cln.connected(ctx)
	if err != nil {
		return nil, &UnknownError{Work: work, Reason: "no connection", Cause: err}
	}
	ans, err := send(ctx, lnk, cln.cfg, Request{Method: http.MethodGet, Path: outcomePath + work}, work)
	if errors.HasType(err, (*lostError)(nil)) {
		return nil, &UnknownError{Work: work, Reason: "no answer", Cause: err}
	}
	return ans, err
}

func withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultWork)
}

// connected returns a connection that takes new work, or a *NotRunError when
// there is none by the deadline.
func (cln *Client) connected(ctx context.Context) (*link, error) {
	retry := minRetry
	for {
		lnk, err := cln.current(ctx)
		if err == nil {
			return lnk, nil
		}
		if ref, ok := err.(*RefusedError); ok && ref.Status == http.StatusForbidden {
			return nil, err
		}
		if !pause(ctx, retry) {
			return nil, &NotRunError{Reason: "no connection: " + err.Error()}
		}
		retry = min(2*retry, maxRetry)
	}
}

func (cln *Client) current(ctx context.Context) (*link, error) {
	cln.mu.Lock()
	defer cln.mu.Unlock()
	if cln.link != nil && !cln.link.retired() {
		return cln.link, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialAttempt)
	defer cancel()
	next, err := dial(ctx, cln.cfg)
	if err != nil {
		return nil, err
	}
	if cln.link != nil {
		go cln.link.closeWhenIdle()
	}
	cln.link = next
	return next, nil
}

// closeWhenIdle lets what is open on a retired connection finish.
func (lnk *link) closeWhenIdle() {
	lnk.users.Wait()
	lnk.close()
}

// attempt has work run under one ID. When the answer is lost, it asks for the
// outcome under the same ID until the deadline.
func (cln *Client) attempt(ctx context.Context, lnk *link, req Request) (*Answer, error) {
	work := lnk.nextID()
	for lost := false; ; lost = true {
		ans, err := send(ctx, lnk, cln.cfg, req, work)
		if ref, ok := err.(*RefusedError); ok && lost {
			return nil, &UnknownError{Work: work, Reason: "refused after an answer was lost", Cause: ref}
		}
		if !errors.HasType(err, (*lostError)(nil)) {
			return ans, err
		}
		if !pause(ctx, minRetry) {
			return nil, &UnknownError{Work: work, Reason: "no answer by the deadline", Cause: err}
		}
		next, cerr := cln.connected(ctx)
		if cerr != nil {
			return nil, &UnknownError{Work: work, Reason: "connection lost", Cause: err}
		}
		lnk = next
	}
}

// lostError reports a request whose answer did not come.
type lostError struct{ cause error }

func (err *lostError) Error() string { return "answer lost: " + err.cause.Error() }

func send(ctx context.Context, lnk *link, cfg Config, req Request, work string) (*Answer, error) {
	lnk.users.Add(1)
	defer lnk.users.Done()
	hrq, err := http.NewRequestWithContext(ctx, req.Method, cfg.url(req.Path), bytes.NewReader(req.Body))
	if err != nil {
		return nil, &NotRunError{Work: work, Reason: err.Error()}
	}
	if req.Header != nil {
		hrq.Header = req.Header.Clone()
	}
	hrq.Header.Set(workField, work)
	if deadline, ok := ctx.Deadline(); ok {
		hrq.Header.Set(deadlineField, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	rsp, err := lnk.http.RoundTrip(hrq)
	if err != nil {
		return nil, &lostError{err}
	}
	defer rsp.Body.Close()
	body, err := io.ReadAll(rsp.Body)
	if err != nil {
		return nil, &lostError{err}
	}
	return judge(rsp, body, work)
}

func judge(rsp *http.Response, body []byte, work string) (*Answer, error) {
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

func refusalOf(rsp *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(rsp.Body, maxRefusal)) // What came is told.
	_ = rsp.Body.Close()
	return &RefusedError{rsp.StatusCode, string(bytes.TrimSpace(body))}
}

const maxRefusal = 4 << 10

func formatID(prefix string, counter uint32) string {
	return prefix + "." + strconv.FormatUint(uint64(counter), 10)
}

// pause waits about span and reports whether there is still time.
func pause(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span/2 + rand.N(span))
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
