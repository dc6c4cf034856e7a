package agent

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"lagoondrum/core/drain"
	"lagoondrum/core/health"
	"lagoondrum/core/ledger"
	"lagoondrum/core/lists"
	"lagoondrum/core/relay"
	"lagoondrum/io/feed"
	"lagoondrum/io/peer"
)

// Paths that the agent serves itself.
const (
	reservedPrefix = "/.lagoondrum/"
	SessionPath    = reservedPrefix + "session"   // Streams the prefix of the session's work IDs and the phases of the drain.
	OutcomePath    = reservedPrefix + "outcomes/" // Followed by a work ID: returns the outcome of the work; DELETE cancels it.
)

const statusOutcomeUnknown = http.StatusBadGateway

// sessionEvent is one line of the answer at SessionPath. Only the first one has a
// prefix.
type sessionEvent struct {
	Prefix string `json:"prefix,omitempty"`
	Phase  string `json:"phase"`
}

// errorBody is the body of an answer that does not come from an upstream.
type errorBody struct {
	Error   string `json:"error"`
	Outcome string `json:"outcome"`
	Work    string `json:"work,omitempty"`
}

// flow is the state of one QUIC connection of a caller. counter is the number of the
// last work in agentSession.
type flow struct {
	conn      *quic.Conn
	countOnce sync.Once

	mu            sync.Mutex
	callerSession *ledger.Session // Session of work numbered by the caller.
	agentSession  *ledger.Session // Session of work numbered by the agent.
	counter       uint32
}

type flowKey struct{}

// handler serves the requests of callers.
type handler struct {
	service       string
	lists         *feed.Lists
	worker        *worker
	drain         *drainer
	meter         *meter
	open          *openCounts
	pauseDetector *health.PauseDetector
	usages        *usages
}

// customer is a customer whose plan grants the service.
type customer struct {
	name string
	plan string
}

// ServeHTTP serves one request of a caller.
func (hdl *handler) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	hdl.open.requests.Add(1)
	defer hdl.open.requests.Add(-1)
	flw, _ := req.Context().Value(flowKey{}).(*flow)
	cus, reason := hdl.identify(flw, req)
	if reason != "" {
		hdl.refuse(rw, req, reason)
		return
	}
	hdl.usages.countFlow(flw, cus.name)
	switch {
	case req.URL.Path == SessionPath:
		hdl.serveSession(rw, req, flw, cus)
	case strings.HasPrefix(req.URL.Path, OutcomePath):
		hdl.serveOutcome(rw, req, cus)
	case hdl.isStream(req):
		hdl.serveStream(rw, req, cus)
	default:
		hdl.serveWork(rw, req, flw, cus)
	}
}

// refuse answers a request that no plan allows. The outcome of work with an ID is
// unknown, as the work may have run before the plan changed.
func (hdl *handler) refuse(rw http.ResponseWriter, req *http.Request, reason string) {
	hdl.meter.countRefusedCaller(reason)
	out := relay.NotRun
	if req.Header.Get(WorkField) != "" {
		out = relay.Unknown
	}
	writeError(rw, http.StatusForbidden, errorBody{Error: reason, Outcome: out.String()})
}

// identify finds the customer of a request by the certificate, and checks that the
// plan grants the service at the address that the caller uses. Otherwise it returns
// the reason for a refusal.
func (hdl *handler) identify(flw *flow, req *http.Request) (customer, string) {
	customers, pls := hdl.lists.Customers(), hdl.lists.Plans()
	if flw == nil || customers == nil || pls == nil || req.TLS == nil || len(req.TLS.PeerCertificates) == 0 {
		return customer{}, "notReady"
	}
	cu, ok := customers.ByCertificate(req.TLS.PeerCertificates[0].Subject.CommonName)
	if !ok {
		return customer{}, "unknownCustomer"
	}
	gr, ok := pls.Grant(cu.Plan(), hdl.service)
	if !ok {
		return customer{}, "serviceNotInPlan"
	}
	if fla, ok := flw.conn.RemoteAddr().(*flowAddr); !ok || fla.address != gr.Address() {
		return customer{}, "addressOfOtherPlan"
	}
	return customer{cu.Name(), cu.Plan()}, ""
}

func (hdl *handler) isStream(req *http.Request) bool {
	if req.Method != http.MethodGet {
		return false
	}
	svc, ok := hdl.lists.Plans().Service(hdl.service)
	return ok && svc.IsStream(req.URL.Path)
}

// serveSession sends the prefix of the caller's work IDs and then each phase of the
// drain, until the phase closing or the end of the connection.
func (hdl *handler) serveSession(rw http.ResponseWriter, req *http.Request, flw *flow, cus customer) {
	hdl.open.requests.Add(-1) // An open session does not delay the stop of the agent.
	defer hdl.open.requests.Add(1)
	ses, ok := flw.session(&flw.callerSession, hdl.worker)
	key, keyOK := newestKey(hdl.lists.Keys())
	if !ok || !keyOK {
		writeError(rw, http.StatusServiceUnavailable, errorBody{Error: "noSession", Outcome: relay.NotRun.String()})
		return
	}
	enc := json.NewEncoder(rw)
	evt := sessionEvent{Prefix: ses.Prefix(key, cus.name)}
	for {
		phase, changed := hdl.drain.watch()
		evt.Phase = phase.String()
		if enc.Encode(evt) != nil || http.NewResponseController(rw).Flush() != nil || phase >= drain.Closing {
			return
		}
		select {
		case <-changed:
		case <-req.Context().Done():
			return
		}
		evt.Prefix = ""
	}
}

func newestKey(kys *lists.Keys) (lists.Key, bool) {
	if kys == nil || len(kys.All()) == 0 {
		return lists.Key{}, false
	}
	return kys.All()[len(kys.All())-1], true
}

// session returns the session in field, one of the flow's session fields. It is opened
// on first use and closed with the connection.
func (flw *flow) session(field **ledger.Session, wkr *worker) (ledger.Session, bool) {
	flw.mu.Lock()
	defer flw.mu.Unlock()
	if *field != nil {
		return **field, true
	}
	ses, ok := wkr.openSession()
	if !ok {
		return ledger.Session{}, false
	}
	*field = &ses
	context.AfterFunc(flw.conn.Context(), func() { wkr.closeSession(ses) })
	return ses, true
}

func (flw *flow) nextCounter() uint32 {
	flw.mu.Lock()
	defer flw.mu.Unlock()
	flw.counter++
	return flw.counter
}

// serveOutcome answers with the outcome of work, or cancels the work.
func (hdl *handler) serveOutcome(rw http.ResponseWriter, req *http.Request, cus customer) {
	workID := strings.TrimPrefix(req.URL.Path, OutcomePath)
	id, err := hdl.worker.parseID(workID, cus.name)
	if err != nil {
		writeError(rw, http.StatusBadRequest, errorBody{Error: "badWorkID", Outcome: relay.Unknown.String(), Work: workID})
		return
	}
	if req.Method == http.MethodDelete {
		writeCancelStatus(rw, hdl.worker.cancel(id))
		return
	}
	writeResponse(rw, workID, hdl.worker.fetchOutcome(req.Context(), id, peer.Request{
		WorkID: workID, Customer: cus.name, Plan: cus.plan, Service: hdl.service,
		Deadline: deadlineOf(req.Header, time.Now()),
	}))
}

func writeCancelStatus(rw http.ResponseWriter, found bool) {
	if !found {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	rw.WriteHeader(http.StatusAccepted)
}

// serveWork executes one piece of work and answers with its outcome.
func (hdl *handler) serveWork(rw http.ResponseWriter, req *http.Request, flw *flow, cus customer) {
	arrived := time.Now()
	paused := hdl.pauseDetector.Delay(arrived)
	workID, id, err := hdl.workIDOf(req, flw, cus)
	if err != nil {
		writeError(rw, http.StatusBadRequest, errorBody{Error: "badWorkID", Outcome: relay.NotRun.String(), Work: workID})
		return
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, peer.MaxBody+1))
	if err != nil || len(body) > peer.MaxBody {
		writeError(rw, http.StatusBadRequest, errorBody{Error: "bodyBrokeOff", Outcome: relay.NotRun.String(), Work: workID})
		return
	}
	rsp := hdl.worker.execute(req.Context(), id, peer.Request{
		WorkID: workID, Customer: cus.name, Plan: cus.plan, Service: hdl.service,
		Method: req.Method, Path: req.URL.RequestURI(), Header: req.Header, Body: body,
		Deadline: deadlineOf(req.Header, arrived).Add(-paused),
	})
	hdl.usages.countWork(cus.name, rsp.Outcome)
	hdl.meter.recordWork(cus.plan, rsp.Outcome, rsp.Reason, time.Since(arrived))
	writeResponse(rw, workID, rsp)
}

// workIDOf returns the work ID in a request, encoded and parsed, or a new one.
func (hdl *handler) workIDOf(req *http.Request, flw *flow, cus customer) (string, ledger.ID, error) {
	if workID := req.Header.Get(WorkField); workID != "" {
		id, err := hdl.worker.parseID(workID, cus.name)
		return workID, id, err
	}
	ses, ok := flw.session(&flw.agentSession, hdl.worker)
	key, keyOK := newestKey(hdl.lists.Keys())
	if !ok || !keyOK {
		return "", ledger.ID{}, &ledger.BadIDError{}
	}
	counter := flw.nextCounter()
	return ledger.FormatID(ses.Prefix(key, cus.name), counter), ledger.NewID(ses, counter), nil
}

func deadlineOf(header http.Header, now time.Time) time.Time {
	millis, err := strconv.ParseInt(header.Get(DeadlineField), 10, 64)
	if err != nil || millis <= 0 {
		return now.Add(defaultWorkTime)
	}
	return now.Add(min(time.Duration(millis)*time.Millisecond, maxWorkTime))
}

func writeResponse(rw http.ResponseWriter, workID string, rsp peer.Response) {
	rw.Header().Set(WorkField, workID)
	rw.Header().Set(OutcomeField, rsp.Outcome.String())
	if rsp.Outcome != relay.Done {
		rw.Header().Set(ReasonField, rsp.Reason)
		writeError(rw, statusOf(rsp.Outcome), errorBody{Error: rsp.Reason, Outcome: rsp.Outcome.String(), Work: workID})
		return
	}
	copyHeader(rw.Header(), rsp.Header)
	rw.WriteHeader(rsp.Status)
	_, _ = rw.Write(rsp.Body) // A disconnected caller can fetch the answer by the work ID.
}

func statusOf(out relay.Outcome) int {
	switch out {
	case relay.NotRun:
		return http.StatusServiceUnavailable
	case relay.Pending:
		return http.StatusAccepted
	default:
		return statusOutcomeUnknown
	}
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

func writeError(rw http.ResponseWriter, status int, body errorBody) {
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set(OutcomeField, body.Outcome)
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

// serveStream proxies a request whose answer is a long-lived stream. It uses no slot.
func (hdl *handler) serveStream(rw http.ResponseWriter, req *http.Request, cus customer) {
	hdl.open.streams.Add(1)
	defer hdl.open.streams.Add(-1)
	rsp, err := hdl.worker.upstream.openStream(req.Context(), req.Method, req.URL.RequestURI(), cus.name, req.Header, nil)
	if err != nil {
		writeError(rw, http.StatusServiceUnavailable, errorBody{Error: "upstreamUnreachable", Outcome: relay.NotRun.String()})
		return
	}
	defer rsp.Body.Close()
	copyHeader(rw.Header(), endToEndHeader(rsp.Header))
	rw.WriteHeader(rsp.StatusCode)
	copyStream(rw, rsp.Body)
}

const streamBufferBytes = 4 << 10

// copyStream forwards and flushes each part of an answer as soon as it arrives.
func copyStream(rw http.ResponseWriter, body io.Reader) {
	ctl := http.NewResponseController(rw)
	buf := make([]byte, streamBufferBytes)
	for {
		count, err := body.Read(buf)
		if count > 0 {
			if _, werr := rw.Write(buf[:count]); werr != nil || ctl.Flush() != nil {
				panic(http.ErrAbortHandler)
			}
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler) // The caller must not take a partial answer for a complete one.
		}
	}
}
