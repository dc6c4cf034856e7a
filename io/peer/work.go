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
	maxBodyPartBytes = 64 << 10         // Largest part of a body in one message.
	MaxBody          = 16 << 20         // Largest body in bytes, of relayed work and of its answer.
	answerGrace      = 10 * time.Second // Time after the work's deadline during which its answer is still accepted.
)

// Request is a piece of work that one agent relays to another.
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
	ToOwner  bool // The receiving agent owns the work; otherwise it runs the work for the owner.
	MayWait  bool // The receiving agent may queue the work; otherwise it accepts only when a slot is free.

	// FetchOnly asks the owner for the recorded outcome without running the work.
	FetchOnly bool
}

// Response is the result of a piece of work. Status, Header and Body are valid
// only if the outcome is relay.Done; Reason explains any other outcome.
type Response struct {
	Outcome relay.Outcome
	Reason  string
	Status  int
	Header  map[string][]string
	Body    []byte
}

// Worker runs the work that peers relay to this process.
type Worker interface {
	// Reserve reserves capacity for offered work, or returns nil and the reason of
	// the refusal.
	Reserve(ctx context.Context, req Request) (Reservation, string)
}

// Reservation is capacity that is reserved for one piece of work.
type Reservation interface {
	// Run runs the work and returns its result.
	Run(ctx context.Context, req Request) Response
	// Release frees the capacity without running the work.
	Release()
}

// BodyError reports a relayed body that exceeds MaxBody or is interrupted by
// another kind of message.
type BodyError struct{ receivedBytes int }

func (err *BodyError) Error() string {
	return fmt.Sprintf("relayed body rejected after %d bytes: too large or interrupted by another message", err.receivedBytes)
}

// Relay offers work to a peer, sends the body once the peer accepts, tells it to
// run and returns the answer. mayRun is called once, right before run is sent; if
// it returns false, the work is not run.
func (msh *Mesh) Relay(ctx context.Context, to netip.AddrPort, req Request, mayRun func() bool) Response {
	own := relay.NewOwner(req.Deadline)
	con, err := msh.openStream(ctx, to)
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
	if !own.StartRun(time.Now()) || !mayRun() {
		return Response{Outcome: relay.NotRun, Reason: "deadlineUnreachable"}
	}
	if con.send(&wire.Step{Kind: &wire.Step_Run{Run: &wire.Run{}}}, time.Now().Add(messageTimeout)) != nil {
		own.NoteLost()
		return Response{Outcome: own.Outcome(), Reason: "peerLost"}
	}
	return msh.receiveAnswer(con, own, req)
}

// offer offers the work and sends its body once the peer accepts. On failure it
// returns the response and false.
func (msh *Mesh) offer(con *conn, own *relay.Owner, req Request) (Response, bool) {
	deadline := time.Now().Add(messageTimeout)
	if con.send(offerStep(req), deadline) != nil {
		return lostResponse(own), false
	}
	stp, err := con.receive(deadline)
	if err != nil {
		return lostResponse(own), false
	}
	if stp.GetAccept() == nil {
		return refusedResponse(own, stp.GetRefuse()), false
	}
	own.NoteAccepted()
	if sendBody(con, req.Body, deadline) != nil {
		return lostResponse(own), false
	}
	return Response{}, true
}

// receiveAnswer waits for the answer, or a refusal, after run was sent.
func (msh *Mesh) receiveAnswer(con *conn, own *relay.Owner, req Request) Response {
	deadline := req.Deadline.Add(answerGrace)
	stp, err := con.receive(deadline)
	if err != nil {
		return lostResponse(own)
	}
	if stp.GetHead() == nil {
		return refusedResponse(own, stp.GetRefuse())
	}
	body, err := receiveBody(con, deadline)
	if err != nil {
		return lostResponse(own)
	}
	own.NoteAnswered()
	return Response{
		Outcome: own.Outcome(),
		Status:  int(stp.GetHead().GetStatus()),
		Header:  decodeHeader(stp.GetHead().GetHeader()),
		Body:    body,
	}
}

// lostResponse records the loss of the peer and returns the resulting response.
func lostResponse(own *relay.Owner) Response {
	own.NoteLost()
	return Response{Outcome: own.Outcome(), Reason: "peerLost"}
}

// refusedResponse returns the response to a peer's refusal. Only the outcome
// "notRun" proves that the work was not run; any other counts as a lost peer.
func refusedResponse(own *relay.Owner, ref *wire.Refuse) Response {
	if ref.GetOutcome() == relay.NotRun.String() {
		own.NoteRefused()
	} else {
		own.NoteLost()
	}
	return Response{Outcome: own.Outcome(), Reason: ref.GetReason()}
}

// answerOffer handles an offer of work that a peer sent by Relay.
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
	msh.sendResponse(con, rsv.Run(ctx, req))
}

// awaitRun accepts the offer, receives the body and waits for the peer's run
// message. It reports whether the work may run.
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
		_ = con.send(refuseStep(lateRunOutcome(*req), "deadlinePassed"), time.Now().Add(messageTimeout))
		return false
	}
	return true
}

// lateRunOutcome returns the outcome in a refusal of work whose deadline has passed:
// NotRun if this process was to run it for the owner, since it never ran it, and
// Unknown if this process is the owner, since an earlier attempt may have run it.
func lateRunOutcome(req Request) relay.Outcome {
	if req.ToOwner {
		return relay.Unknown
	}
	return relay.NotRun
}

// sendResponse sends the status, header and body of work that is done, or a refusal
// with the outcome and reason otherwise.
func (msh *Mesh) sendResponse(con *conn, rsp Response) {
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

// sendBody sends a body in parts; an empty body is one empty part.
func sendBody(con *conn, body []byte, deadline time.Time) error {
	for {
		part := body[:min(maxBodyPartBytes, len(body))]
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

// receiveBody receives the parts of a body up to the last one.
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
