package caller

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	positionField = "Last-Event-ID" // Tells an upstream after which event a stream goes on.
	moveRetry     = time.Second
	linesAhead    = 16
)

// Stream is a long answer, read line by line. When the agent is leaving it goes
// on at another connection, opened before the old one is left, and when a
// connection is lost at a new one. It is for one goroutine.
type Stream struct {
	cln      *Client
	ctx      context.Context
	path     string
	position func(line string) string
	last     string
	leg      *streamLeg
	moveAt   time.Time
	moves    int
	resumes  int
}

// streamLeg is the part of a stream that one connection carries.
type streamLeg struct {
	link   *link
	events chan streamEvent
	cancel context.CancelFunc
}

type streamEvent struct {
	line string
	err  error
}

// Stream opens a stream. position returns the event ID of a line, under which
// the upstream is asked to go on after a move.
func (cln *Client) Stream(ctx context.Context, path string, position func(line string) string) (*Stream, error) {
	str := &Stream{cln: cln, ctx: ctx, path: path, position: position}
	leg, err := str.open()
	if err != nil {
		return nil, err
	}
	str.leg = leg
	return str, nil
}

// Moves returns how often the stream moved because its agent was leaving.
func (str *Stream) Moves() int { return str.moves }

// Resumes returns how often the stream went on after its connection was lost.
func (str *Stream) Resumes() int { return str.resumes }

// Next returns the next line without its end. The error is io.EOF when the
// upstream has ended the stream.
func (str *Stream) Next() (string, error) {
	for {
		select {
		case <-str.ctx.Done():
			return "", errors.WithStack(str.ctx.Err())
		case <-str.leaving():
			str.move()
		case evt := <-str.leg.events:
			switch {
			case evt.err == nil:
				str.last = str.position(evt.line)
				return evt.line, nil
			case errors.Is(evt.err, io.EOF):
				return "", io.EOF
			}
			if err := str.resume(); err != nil {
				return "", err
			}
		}
	}
}

// Close ends the stream.
func (str *Stream) Close() { str.leg.end() }

// leaving returns the channel that tells to move, or nil while a move was tried
// just now.
func (str *Stream) leaving() <-chan struct{} {
	if time.Now().Before(str.moveAt) {
		return nil
	}
	return str.leg.link.leaving
}

// move goes over to another connection; the old leg stays when there is none.
func (str *Stream) move() {
	str.moveAt = time.Now().Add(moveRetry)
	leg, err := str.open()
	if err != nil {
		return
	}
	str.moves++
	str.leg.end()
	str.leg = leg
}

func (str *Stream) resume() error {
	str.leg.end()
	str.resumes++
	for retry := minRetry; ; retry = min(2*retry, maxRetry) {
		leg, err := str.open()
		if err == nil {
			str.leg = leg
			return nil
		}
		var ref *RefusedError
		if errors.As(err, &ref) && ref.Status == http.StatusForbidden {
			return err
		}
		if !pause(str.ctx, retry) {
			return err
		}
	}
}

func (str *Stream) open() (*streamLeg, error) {
	lnk, err := str.cln.connected(str.ctx)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(str.ctx)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, str.cln.cfg.url(str.path), nil)
	if err != nil {
		cancel()
		return nil, errors.WithStack(err)
	}
	if str.last != "" {
		req.Header.Set(positionField, str.last)
	}
	rsp, err := lnk.http.RoundTrip(req)
	if err != nil {
		cancel()
		return nil, errors.WithStack(err)
	}
	if rsp.StatusCode != http.StatusOK {
		cancel()
		return nil, refusalOf(rsp)
	}
	lnk.users.Add(1)
	leg := &streamLeg{link: lnk, events: make(chan streamEvent, linesAhead), cancel: cancel}
	go leg.pump(ctx, rsp.Body)
	return leg, nil
}

func (leg *streamLeg) pump(ctx context.Context, body io.ReadCloser) {
	defer leg.link.users.Done()
	defer body.Close()
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadString('\n')
		evt := streamEvent{err: err}
		if err == nil {
			evt.line = line[:len(line)-1]
		}
		select {
		case leg.events <- evt:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

func (leg *streamLeg) end() { leg.cancel() }
