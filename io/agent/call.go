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
	WorkField         = "Lagoondrum-Work"            // The work ID.
	OutcomeField      = "Lagoondrum-Outcome"         // done, notRun or unknown.
	ReasonField       = "Lagoondrum-Reason"          // Why work was not run or its outcome is unknown.
	DeadlineField     = "Lagoondrum-Deadline-Millis" // Time left until the deadline, in milliseconds.
	CustomerField     = "Lagoondrum-Customer"        // The customer's name, for the upstream.
	workDialTimeout   = 500 * time.Millisecond       // The upstream is on the same VM.
	streamDialTimeout = 2 * time.Second
)

// upstreamClient sends requests to the upstream of the agent. Each piece of work has
// a connection of its own, so that http.Transport never repeats a request.
type upstreamClient struct {
	baseURL         string
	workTransport   *http.Transport
	streamTransport *http.Transport
}

func newUpstreamClient(addr netip.AddrPort) *upstreamClient {
	work := newTransport(workDialTimeout)
	work.DisableKeepAlives = true
	return &upstreamClient{baseURL: "http://" + addr.String(), workTransport: work, streamTransport: newTransport(streamDialTimeout)}
}

func newTransport(dialTimeout time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{DialContext: dialer.DialContext, DisableCompression: true}
}

// callResult is the result of one request to the upstream. evidence is what it shows
// about the health of the upstream, nil for nothing.
type callResult struct {
	response peer.Response
	evidence health.Evidence
}

// run sends work to the upstream and waits for the complete answer. A
// shedStatus other than 0 is the status by which the upstream guarantees that it did
// not run the work.
func (ucl *upstreamClient) run(ctx context.Context, req peer.Request, shedStatus int) callResult {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	hrq, err := ucl.newRequest(ctx, req)
	if err != nil {
		return failedResult(relay.NotRun, "badRequest", nil)
	}
	rsp, err := ucl.workTransport.RoundTrip(hrq)
	if err != nil {
		return resultOfError(err)
	}
	defer rsp.Body.Close()
	if shedStatus != 0 && rsp.StatusCode == shedStatus {
		return failedResult(relay.NotRun, "shed", health.Shed{})
	}
	body, err := io.ReadAll(io.LimitReader(rsp.Body, peer.MaxBody+1))
	if err != nil || len(body) > peer.MaxBody {
		return failedResult(relay.Unknown, "answerBroken", health.Failure{})
	}
	return callResult{
		response: peer.Response{Outcome: relay.Done, Status: rsp.StatusCode, Header: endToEndHeader(rsp.Header), Body: body},
		evidence: evidenceOf(rsp.StatusCode),
	}
}

func (ucl *upstreamClient) newRequest(ctx context.Context, req peer.Request) (*http.Request, error) {
	hrq, err := http.NewRequestWithContext(ctx, req.Method, ucl.baseURL+req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	hrq.GetBody = nil // Without GetBody the transport cannot send the body twice.
	hrq.Header = endToEndHeader(req.Header)
	hrq.Header.Set(WorkField, req.WorkID)
	hrq.Header.Set(CustomerField, req.Customer)
	hrq.Header.Set(DeadlineField, strconv.FormatInt(time.Until(req.Deadline).Milliseconds(), 10))
	return hrq, nil
}

// resultOfError returns the result of a request without an answer. Only a failed dial
// proves that the work was not run.
func resultOfError(err error) callResult {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return failedResult(relay.NotRun, "upstreamUnreachable", health.Failure{})
	}
	if errors.Is(err, context.Canceled) {
		return failedResult(relay.Unknown, "cancelled", nil)
	}
	return failedResult(relay.Unknown, "upstreamBroke", health.Failure{})
}

func failedResult(out relay.Outcome, reason string, ev health.Evidence) callResult {
	return callResult{response: peer.Response{Outcome: out, Reason: reason}, evidence: ev}
}

func evidenceOf(status int) health.Evidence {
	if status >= http.StatusInternalServerError {
		return health.Failure{}
	}
	return health.Success{}
}

// openStream sends a request whose answer is a long-lived stream.
func (ucl *upstreamClient) openStream(ctx context.Context, method, path, customer string, header http.Header, body io.Reader) (*http.Response, error) {
	hrq, err := http.NewRequestWithContext(ctx, method, ucl.baseURL+path, body)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	hrq.Header = endToEndHeader(header)
	hrq.Header.Set(CustomerField, customer)
	rsp, err := ucl.streamTransport.RoundTrip(hrq)
	return rsp, errors.WithStack(err)
}

// hopByHopFields are the header fields that apply to a single connection, and
// Content-Length, which is left to the HTTP library.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// endToEndHeader returns a copy of header without hopByHopFields and without the
// Lagoondrum- fields.
func endToEndHeader(header map[string][]string) http.Header {
	copied := http.Header(header).Clone()
	if copied == nil {
		copied = make(http.Header)
	}
	for _, name := range hopByHopFields {
		copied.Del(name)
	}
	for name := range copied {
		if strings.HasPrefix(name, "Lagoondrum-") {
			copied.Del(name)
		}
	}
	return copied
}
