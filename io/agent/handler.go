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
	ownPrefix   = "/.lagoondrum/"
	SessionPath = ownPrefix + "session"   // The session's prefix, then news of the drain.
	OutcomePath = ownPrefix + "outcomes/" // The outcome of work by ID; DELETE cancels it.
)

const statusUnknown = http.StatusBadGateway

// sessionNews is one line of the session's answer.
type sessionNews struct {
	Prefix string `json:"prefix,omitempty"`
	Phase  string `json:"phase"`
}

// errorBody is the answer to a request that has no answer of an upstream.
type errorBody struct {
	Error   string `json:"error"`
	Outcome string `json:"outcome"`
	Work    string `json:"work,omitempty"`
}

// flow is what the agent keeps for one connection of a caller.
type flow struct {
	conn    *quic.Conn
	counted sync.Once

	mu      sync.Mutex
	given   *ledger.Session // Work that the caller numbers.
	own     *ledger.Session // Work that the agent numbers.
	counter uint32
}

type flowKey struct{}

// handler serves the requests of callers.
type handler struct {
	service       string
	lists         *feed.Lists
	worker        *worker
	drain         *drainer
	meter         *meter
	open          *openCount
	pauseDetector *health.PauseDetector
	usages        *usages
}

// customer is a caller that its plan allows to use the service.
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
	hdl.usages.noteFlow(flw, cus.name)
	switch {
	case req.URL.Path == SessionPath:
		hdl.session(rw, req, flw, cus)
	case strings.HasPrefix(req.URL.Path, OutcomePath):
		hdl.recorded(rw, req, cus)
	case hdl.isStream(req):
		hdl.stream(rw, req, cus)
	default:
		hdl.work(rw, req, flw, cus)
	}
}

// refuse answers a request that no plan allows. It proves nothing about work
// with an ID, which may have run before the plan changed.
func (hdl *handler) refuse(rw http.ResponseWriter, req *http.Request, reason string) {
	hdl.meter.refusedCaller(reason)
	out := relay.NotRun
	if req.Header.Get(WorkField) != "" {
		out = relay.Unknown
	}
	writeError(rw, http.StatusForbidden, errorBody{Error: reason, Outcome: out.String()})
}

// identify finds the customer of a request by its certificate, and checks that
// its plan allows the service at the address it uses.
func (hdl *handler) identify(flw *flow, req *http.Request) (customer, string) {
	cus, pls := hdl.lists.Customers(), hdl.lists.Plans()
	if flw == nil || cus == nil || pls == nil || req.TLS == nil || len(req.TLS.PeerCertificates) == 0 {
		return customer{}, "notReady"
	}
	cu, ok := cus.ByCertificate(req.TLS.PeerCertificates[0].Subject.CommonName)
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

// session tells the prefix of the caller's work IDs and then each phase of the
// drain, until the connection ends.
func (hdl *handler) session(rw http.ResponseWriter, req *http.Request, flw *flow, cus customer) {
	hdl.open.requests.Add(-1) // A session alone does not keep the agent from stopping.
	defer hdl.open.requests.Add(1)
	ses, ok := flw.session(&flw.given, hdl.worker)
	key, keyOK := newestKey(hdl.lists.Keys())
	if !ok || !keyOK {
		writeError(rw, http.StatusServiceUnavailable, errorBody{Error: "noSession", Outcome: relay.NotRun.String()})
		return
	}
	enc := json.NewEncoder(rw)
	news := sessionNews{Prefix: ses.Prefix(key, cus.name)}
	for {
		phase, changed := hdl.drain.changed()
		news.Phase = phase.String()
		if enc.Encode(news) != nil || http.NewResponseController(rw).Flush() != nil || phase >= drain.Closing {
			return
		}
		select {
		case <-changed:
		case <-req.Context().Done():
			return
		}
		news.Prefix = ""
	}
}

func newestKey(kys *lists.Keys) (lists.Key, bool) {
	if kys == nil || len(kys.All()) == 0 {
		return lists.Key{}, false
	}
	return kys.All()[len(kys.All())-1], true
}

// session returns one of the flow's sessions, opened on first use and closed
// with the connection.
func (flw *flow) session(which **ledger.Session, wkr *worker) (ledger.Session, bool) {
	flw.mu.Lock()
	defer flw.mu.Unlock()
	if *which != nil {
		return **which, true
	}
	ses, ok := wkr.openSession()
	if !ok {
		return ledger.Session{}, false
	}
	*which = &ses
	context.AfterFunc(flw.conn.Context(), func() { wkr.closeSession(ses) })
	return ses, true
}

func (flw *flow) nextCounter() uint32 {
	flw.mu.Lock()
	defer flw.mu.Unlock()
	flw.counter++
	return flw.counter
}

// recorded tells the outcome of work, or cancels it.
func (hdl *handler) recorded(rw http.ResponseWriter, req *http.Request, cus customer) {
	text := strings.TrimPrefix(req.URL.Path, OutcomePath)
	id, err := hdl.worker.parseID(text, cus.name)
	if err != nil {
		writeError(rw, http.StatusBadRequest, errorBody{Error: "badWorkID", Outcome: relay.Unknown.String(), Work: text})
		return
	}
	if req.Method == http.MethodDelete {
		writeCancel(rw, hdl.worker.cancel(id))
		return
	}
	writeResponse(rw, text, hdl.worker.outcome(req.Context(), id, peer.Request{
		WorkID: text, Customer: cus.name, Plan: cus.plan, Service: hdl.service,
		Deadline: deadlineOf(req.Header, time.Now()),
	}))
}

func writeCancel(rw http.ResponseWriter, found bool) {
	if !found {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	rw.WriteHeader(http.StatusAccepted)
}

// work has one piece of work run and answers with its outcome.
func (hdl *handler) work(rw http.ResponseWriter, req *http.Request, flw *flow, cus customer) {
	arrived := time.Now()
	waited := hdl.pauseDetector.Delay(arrived)
	text, id, err := hdl.idOf(req, flw, cus)
	if err != nil {
		writeError(rw, http.StatusBadRequest, errorBody{Error: "badWorkID", Outcome: relay.NotRun.String(), Work: text})
		return
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, peer.MaxBody+1))
	if err != nil || len(body) > peer.MaxBody {
		writeError(rw, http.StatusBadRequest, errorBody{Error: "bodyBrokeOff", Outcome: relay.NotRun.String(), Work: text})
		return
	}
	rsp := hdl.worker.do(req.Context(), id, peer.Request{
		WorkID: text, Customer: cus.name, Plan: cus.plan, Service: hdl.service,
		Method: req.Method, Path: req.URL.RequestURI(), Header: req.Header, Body: body,
		Deadline: deadlineOf(req.Header, arrived).Add(-waited),
	})
	hdl.usages.noteWork(cus.name, rsp.Outcome)
	hdl.meter.work(cus.plan, rsp.Outcome, rsp.Reason, time.Since(arrived))
	writeResponse(rw, text, rsp)
}

// idOf returns the work ID that the caller gave, or a new one.
func (hdl *handler) idOf(req *http.Request, flw *flow, cus customer) (string, ledger.ID, error) {
	if text := req.Header.Get(WorkField); text != "" {
		id, err := hdl.worker.parseID(text, cus.name)
		return text, id, err
	}
	ses, ok := flw.session(&flw.own, hdl.worker)
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
		return now.Add(defaultWork)
	}
	return now.Add(min(time.Duration(millis)*time.Millisecond, maxWork))
}

func writeResponse(rw http.ResponseWriter, work string, rsp peer.Response) {
	rw.Header().Set(WorkField, work)
	rw.Header().Set(OutcomeField, rsp.Outcome.String())
	if rsp.Outcome != relay.Done {
		rw.Header().Set(ReasonField, rsp.Reason)
		writeError(rw, statusOf(rsp.Outcome), errorBody{Error: rsp.Reason, Outcome: rsp.Outcome.String(), Work: work})
		return
	}
	copyHeader(rw.Header(), rsp.Header)
	rw.WriteHeader(rsp.Status)
	_, _ = rw.Write(rsp.Body) // A caller that is gone fetches the answer by its ID.
}

func statusOf(out relay.Outcome) int {
	switch out {
	case relay.NotRun:
		return http.StatusServiceUnavailable
	case relay.Pending:
		return http.StatusAccepted
	default:
		return statusUnknown
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

// stream carries a request whose answer goes on for long. It holds no slot.
func (hdl *handler) stream(rw http.ResponseWriter, req *http.Request, cus customer) {
	hdl.open.streams.Add(1)
	defer hdl.open.streams.Add(-1)
	rsp, err := hdl.worker.upstream.stream(req.Context(), req.Method, req.URL.RequestURI(), cus.name, req.Header, nil)
	if err != nil {
		writeError(rw, http.StatusServiceUnavailable, errorBody{Error: "upstreamUnreachable", Outcome: relay.NotRun.String()})
		return
	}
	defer rsp.Body.Close()
	copyHeader(rw.Header(), endToEnd(rsp.Header))
	rw.WriteHeader(rsp.StatusCode)
	copyStream(rw, rsp.Body)
}

const streamBuffer = 4 << 10

// copyStream passes every part of an answer on as soon as it comes.
func copyStream(rw http.ResponseWriter, body io.Reader) {
	ctl := http.NewResponseController(rw)
	buf := make([]byte, streamBuffer)
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
			panic(http.ErrAbortHandler) // The caller must not take half an answer for a whole one.
		}
	}
}
