package peer

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"lagoondrum/core/relay"
	"lagoondrum/io/peer/internal/wire"
)

const (
	bodyBytes   = 64 << 10         // Part of a body in one message.
	MaxBody     = 16 << 20         // Body of one piece of relayed work, and of its answer.
	answerGrace = 10 * time.Second // An answer may come this long after the work's deadline.
)

// Request is a piece of work as one agent hands it to another.
type Request struct {
	WorkID   string
	Customer string
	Plan     string
	Service  string
	Method   string
	Path     string
	Header   map[string][]string
	Body     []byte
	Deadline time.Time
	ToOwner  bool // The receiver owns the work; else it runs it for the owner.
	MayWait  bool // The receiver may queue the work; else it takes it only when a slot is free.

	// FetchOnly asks the owner for the recorded outcome and runs nothing.
	FetchOnly bool
}

// Response is what became of a piece of work. Status, Header and Body count
// when the outcome is relay.Done.
type Response struct {
	Outcome relay.Outcome
	Reason  string
	Status  int
	Header  map[string][]string
	Body    []byte
}

// Worker takes relayed work.
type Worker interface {
	// Reserve promises a place for offered work, or says why not.
	Reserve(ctx context.Context, req Request) (Reservation, string)
}

// Reservation is a place for one piece of work.
type Reservation interface {
	// Run hands the work over and waits for its outcome.
	Run(ctx context.Context, req Request) Response
	// Release gives the place back without running.
	Release()
}

// BodyError reports relayed bytes that are too many or out of order.
type BodyError struct{ bytes int }

func (err *BodyError) Error() string {
	return fmt.Sprintf("relayed body broke off at %d bytes", err.bytes)
}

// Relay has a peer run work, step by step. granted is called once, right before
// the peer may run it; when it says no, nothing is run.
func (msh *Mesh) Relay(ctx context.Context, to netip.AddrPort, req Request, granted func() bool) Response {
	own := relay.NewOwner(req.Deadline)
	con, err := msh.open(ctx, to)
	if err != nil {
		own.NoteLost()
		return Response{Outcome: own.Outcome(), Reason: "peerUnreachable"}
	}
	defer con.close()
	stop := context.AfterFunc(ctx, con.close)
	defer stop()
	if rsp, ok := msh.offer(con, own, req); !ok {
		return rsp
	}
	if !own.StartRun(time.Now()) || !granted() {
		return Response{Outcome: relay.NotRun, Reason: "deadlineUnreachable"}
	}
	if con.send(&wire.Step{Kind: &wire.Step_Run{Run: &wire.Run{}}}, time.Now().Add(messageTimeout)) != nil {
		own.NoteLost()
		return Response{Outcome: own.Outcome(), Reason: "peerLost"}
	}
	return msh.collect(con, own, req)
}

// offer sends the work and waits for the peer to accept it.
func (msh *Mesh) offer(con *conn, own *relay.Owner, req Request) (Response, bool) {
	deadline := time.Now().Add(messageTimeout)
	if con.send(offerStep(req), deadline) != nil {
		return lost(own), false
	}
	stp, err := con.receive(deadline)
	if err != nil {
		return lost(own), false
	}
	if stp.GetAccept() == nil {
		return refused(own, stp.GetRefuse()), false
	}
	own.NoteAccepted()
	if sendBody(con, req.Body, deadline) != nil {
		return lost(own), false
	}
	return Response{}, true
}

func (msh *Mesh) collect(con *conn, own *relay.Owner, req Request) Response {
	deadline := req.Deadline.Add(answerGrace)
	stp, err := con.receive(deadline)
	if err != nil {
		return lost(own)
	}
	if stp.GetHead() == nil {
		return refused(own, stp.GetRefuse())
	}
	body, err := receiveBody(con, deadline)
	if err != nil {
		return lost(own)
	}
	own.NoteAnswered()
	return Response{
		Outcome: own.Outcome(),
		Status:  int(stp.GetHead().GetStatus()),
		Header:  decodeHeader(stp.GetHead().GetHeader()),
		Body:    body,
	}
}

func lost(own *relay.Owner) Response {
	own.NoteLost()
	return Response{Outcome: own.Outcome(), Reason: "peerLost"}
}

// refused settles on the peer's word. Only "notRun" is proof.
func refused(own *relay.Owner, ref *wire.Refuse) Response {
	if ref.GetOutcome() == relay.NotRun.String() {
		own.NoteRefused()
	} else {
		own.NoteLost()
	}
	return Response{Outcome: own.Outcome(), Reason: ref.GetReason()}
}

// answerOffer serves the other side of Relay.
func (msh *Mesh) answerOffer(ctx context.Context, con *conn, off *wire.Offer) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req := decodeOffer(off)
	if msh.worker == nil {
		_ = con.send(refuseStep(relay.NotRun, "noUpstream"), time.Now().Add(messageTimeout))
		return
	}
	rsv, reason := msh.worker.Reserve(ctx, req)
	if rsv == nil {
		_ = con.send(refuseStep(relay.NotRun, reason), time.Now().Add(messageTimeout))
		return
	}
	if !msh.awaitRun(con, &req) {
		rsv.Release()
		return
	}
	msh.respond(con, rsv.Run(ctx, req))
}

// awaitRun accepts, receives the body and waits for the owner's word to run.
func (msh *Mesh) awaitRun(con *conn, req *Request) bool {
	pr := relay.NewPeer(req.Deadline)
	deadline := time.Now().Add(messageTimeout)
	if con.send(&wire.Step{Kind: &wire.Step_Accept{Accept: &wire.Accept{}}}, deadline) != nil {
		return false
	}
	body, err := receiveBody(con, deadline)
	if err != nil {
		return false
	}
	req.Body = body
	stp, err := con.receive(deadline)
	if err != nil || stp.GetRun() == nil {
		return false
	}
	if !pr.StartRun(time.Now()) {
		_ = con.send(refuseStep(lateOutcome(*req), "deadlinePassed"), time.Now().Add(messageTimeout))
		return false
	}
	return true
}

// lateOutcome is what a refusal of late work proves: at a peer, that the work
// was not run; at its owner nothing, since an earlier attempt may have run it.
func lateOutcome(req Request) relay.Outcome {
	if req.ToOwner {
		return relay.Unknown
	}
	return relay.NotRun
}

func (msh *Mesh) respond(con *conn, rsp Response) {
	deadline := time.Now().Add(messageTimeout)
	if rsp.Outcome != relay.Done {
		_ = con.send(refuseStep(rsp.Outcome, rsp.Reason), deadline)
		return
	}
	head := &wire.Head{Status: int32(rsp.Status), Header: encodeHeader(rsp.Header)}
	if con.send(&wire.Step{Kind: &wire.Step_Head{Head: head}}, deadline) != nil {
		return
	}
	_ = sendBody(con, rsp.Body, deadline)
}

func offerStep(req Request) *wire.Step {
	return &wire.Step{Kind: &wire.Step_Offer{Offer: &wire.Offer{
		WorkId: req.WorkID, Customer: req.Customer, Plan: req.Plan, Service: req.Service,
		RemainingMillis: time.Until(req.Deadline).Milliseconds(),
		Method:          req.Method, Path: req.Path, Header: encodeHeader(req.Header), ToOwner: req.ToOwner, MayWait: req.MayWait, FetchOnly: req.FetchOnly,
	}}}
}

func decodeOffer(off *wire.Offer) Request {
	remaining := time.Duration(off.GetRemainingMillis()) * time.Millisecond
	return Request{
		WorkID: off.GetWorkId(), Customer: off.GetCustomer(), Plan: off.GetPlan(), Service: off.GetService(),
		Method: off.GetMethod(), Path: off.GetPath(), Header: decodeHeader(off.GetHeader()),
		Deadline: time.Now().Add(remaining), ToOwner: off.GetToOwner(), MayWait: off.GetMayWait(), FetchOnly: off.GetFetchOnly(),
	}
}

func refuseStep(out relay.Outcome, reason string) *wire.Step {
	return &wire.Step{Kind: &wire.Step_Refuse{Refuse: &wire.Refuse{Outcome: out.String(), Reason: reason}}}
}

func sendBody(con *conn, body []byte, deadline time.Time) error {
	for {
		part := body[:min(bodyBytes, len(body))]
		body = body[len(part):]
		stp := &wire.Step{Kind: &wire.Step_Body{Body: &wire.Body{Data: part, Last: len(body) == 0}}}
		if err := con.send(stp, deadline); err != nil {
			return err
		}
		if len(body) == 0 {
			return nil
		}
	}
}

func receiveBody(con *conn, deadline time.Time) ([]byte, error) {
	var body []byte
	for {
		stp, err := con.receive(deadline)
		if err != nil {
			return nil, err
		}
		part := stp.GetBody()
		if part == nil || len(body)+len(part.GetData()) > MaxBody {
			return nil, &BodyError{len(body)}
		}
		body = append(body, part.GetData()...)
		if part.GetLast() {
			return body, nil
		}
	}
}

func encodeHeader(header map[string][]string) []*wire.Field {
	var fields []*wire.Field
	for name, values := range header {
		for _, value := range values {
			fields = append(fields, &wire.Field{Name: name, Value: value})
		}
	}
	return fields
}

func decodeHeader(fields []*wire.Field) map[string][]string {
	header := make(map[string][]string, len(fields))
	for _, field := range fields {
		header[field.GetName()] = append(header[field.GetName()], field.GetValue())
	}
	return header
}
