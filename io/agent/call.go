package agent

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"lagoondrum/core/health"
	"lagoondrum/core/relay"
	"lagoondrum/io/peer"
)

// Header fields between callers, agents and upstreams.
const (
	WorkField           = "Lagoondrum-Work"            // The work ID.
	OutcomeField        = "Lagoondrum-Outcome"         // done, notRun or unknown.
	ReasonField         = "Lagoondrum-Reason"          // Why work was not run or its outcome is unknown.
	DeadlineField       = "Lagoondrum-Deadline-Millis" // Time left, in milliseconds.
	CustomerField       = "Lagoondrum-Customer"        // The customer, towards the upstream.
	upstreamDialTimeout = 500 * time.Millisecond       // The upstream is on the same VM.
	streamDialTimeout   = 2 * time.Second
)

// upstreamCaller calls the upstream beside the agent. Each piece of work has a
// connection of its own, so that the transport never repeats a request.
type upstreamCaller struct {
	base    string
	work    *http.Transport
	streams *http.Transport
}

func newUpstreamCaller(addr netip.AddrPort) *upstreamCaller {
	work := newTransport(upstreamDialTimeout)
	work.DisableKeepAlives = true
	return &upstreamCaller{base: "http://" + addr.String(), work: work, streams: newTransport(streamDialTimeout)}
}

func newTransport(dialTimeout time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{DialContext: dialer.DialContext, DisableCompression: true}
}

// result is what became of one call.
type result struct {
	response peer.Response
	evidence health.Evidence
}

// run hands work over and waits for the whole answer. A shedStatus other than 0
// is the upstream's promise that it ran nothing.
func (upc *upstreamCaller) run(ctx context.Context, req peer.Request, shedStatus int) result {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	hrq, err := upc.request(ctx, req)
	if err != nil {
		return failed(relay.NotRun, "badRequest", nil)
	}
	rsp, err := upc.work.RoundTrip(hrq)
	if err != nil {
		return callFailure(err)
	}
	defer rsp.Body.Close()
	if shedStatus != 0 && rsp.StatusCode == shedStatus {
		return failed(relay.NotRun, "shed", health.Shed{})
	}
	body, err := io.ReadAll(io.LimitReader(rsp.Body, peer.MaxBody+1))
	if err != nil || len(body) > peer.MaxBody {
		return failed(relay.Unknown, "answerBroken", health.Failure{})
	}
	return result{
		response: peer.Response{Outcome: relay.Done, Status: rsp.StatusCode, Header: endToEnd(rsp.Header), Body: body},
		evidence: evidenceOf(rsp.StatusCode),
	}
}

func (upc *upstreamCaller) request(ctx context.Context, req peer.Request) (*http.Request, error) {
	hrq, err := http.NewRequestWithContext(ctx, req.Method, upc.base+req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	hrq.GetBody = nil // Without it the transport cannot send the body twice.
	hrq.Header = endToEnd(req.Header)
	hrq.Header.Set(WorkField, req.WorkID)
	hrq.Header.Set(CustomerField, req.Customer)
	hrq.Header.Set(DeadlineField, strconv.FormatInt(time.Until(req.Deadline).Milliseconds(), 10))
	return hrq, nil
}

// callFailure judges a call without an answer. Only a connection that was never
// made proves that nothing ran.
func callFailure(err error) result {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return failed(relay.NotRun, "upstreamUnreachable", health.Failure{})
	}
	if errors.Is(err, context.Canceled) {
		return failed(relay.Unknown, "cancelled", nil)
	}
	return failed(relay.Unknown, "upstreamBroke", health.Failure{})
}

func failed(out relay.Outcome, reason string, ev health.Evidence) result {
	return result{response: peer.Response{Outcome: out, Reason: reason}, evidence: ev}
}

func evidenceOf(status int) health.Evidence {
	if status >= http.StatusInternalServerError {
		return health.Failure{}
	}
	return health.Success{}
}

// stream opens a request whose answer goes on for long.
func (upc *upstreamCaller) stream(ctx context.Context, method, path, customer string, header http.Header, body io.Reader) (*http.Response, error) {
	hrq, err := http.NewRequestWithContext(ctx, method, upc.base+path, body)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	hrq.Header = endToEnd(header)
	hrq.Header.Set(CustomerField, customer)
	rsp, err := upc.streams.RoundTrip(hrq)
	return rsp, errors.WithStack(err)
}

var hopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// endToEnd copies the header fields that are not about one connection, and not
// the system's own.
func endToEnd(header map[string][]string) http.Header {
	kept := http.Header(header).Clone()
	if kept == nil {
		kept = make(http.Header)
	}
	for _, name := range hopFields {
		kept.Del(name)
	}
	for name := range kept {
		if strings.HasPrefix(name, "Lagoondrum-") {
			kept.Del(name)
		}
	}
	return kept
}
