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
	lastEventIDField  = "Last-Event-ID" // Header field with the ID of the event after which the upstream continues a stream.
	moveRetryInterval = time.Second     // Between attempts to move a stream off a leaving agent.
	eventBuffer       = 16              // Events that a connection may deliver ahead of Next.
)

// Stream is a long answer that is read line by line. When the agent is leaving, the
// stream continues over another connection, which is opened before the old one is
// dropped. When a connection is lost, it continues over a new one. A Stream may be
// used by one goroutine only.
type Stream struct {
	cln         *Client
	ctx         context.Context
	path        string
	eventID     func(line string) string
	lastEventID string
	segment     *streamSegment
	nextMoveAt  time.Time
	moves       int
	resumes     int
}

// streamSegment is the part of a stream that is received over one connection.
type streamSegment struct {
	conn   *agentConn
	events chan streamEvent
	cancel context.CancelFunc
}

// streamEvent is a line of the stream, or the error that ended the segment.
type streamEvent struct {
	line string
	err  error
}

// Stream opens a stream. eventID returns the event ID of a line; when the stream
// continues over another connection, the upstream is asked to continue after the
// last event received.
func (cln *Client) Stream(ctx context.Context, path string, eventID func(line string) string) (*Stream, error) {
	str := &Stream{cln: cln, ctx: ctx, path: path, eventID: eventID}
	seg, err := str.open()
	if err != nil {
		return nil, err
	}
	str.segment = seg
	return str, nil
}

// Moves returns how often the stream moved to another connection because its agent
// was leaving.
func (str *Stream) Moves() int { return str.moves }

// Resumes returns how often the stream's connection was lost, so that it had to be
// resumed over another one.
func (str *Stream) Resumes() int { return str.resumes }

// Next returns the next line without its newline. The error is io.EOF when the
// upstream has ended the stream.
func (str *Stream) Next() (string, error) {
	for {
		select {
		case <-str.ctx.Done():
			return "", errors.WithStack(str.ctx.Err())
		case <-str.moveSignal():
			str.move()
		case evt := <-str.segment.events:
			switch {
			case evt.err == nil:
				str.lastEventID = str.eventID(evt.line)
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

// Close closes the stream.
func (str *Stream) Close() { str.segment.stop() }

// moveSignal returns a channel that is closed when the stream has to move to another
// connection, or nil within moveRetryInterval after an attempt to move.
func (str *Stream) moveSignal() <-chan struct{} {
	if time.Now().Before(str.nextMoveAt) {
		return nil
	}
	return str.segment.conn.retiring
}

// move continues the stream over another connection. The old segment stays in use
// when no other can be opened.
func (str *Stream) move() {
	str.nextMoveAt = time.Now().Add(moveRetryInterval)
	seg, err := str.open()
	if err != nil {
		return
	}
	str.moves++
	str.segment.stop()
	str.segment = seg
}

// resume continues the stream over another connection after its own was lost. It
// retries until the context ends, but gives up at once on status 403.
func (str *Stream) resume() error {
	str.segment.stop()
	str.resumes++
	for delay := minBackoff; ; delay = min(2*delay, maxBackoff) {
		seg, err := str.open()
		if err == nil {
			str.segment = seg
			return nil
		}
		var ref *RefusedError
		if errors.As(err, &ref) && ref.Status == http.StatusForbidden {
			return err
		}
		if !waitBackoff(str.ctx, delay) {
			return err
		}
	}
}

// open requests the stream after the last event received, and starts to read it.
func (str *Stream) open() (*streamSegment, error) {
	acn, err := str.cln.awaitConn(str.ctx)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(str.ctx)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, str.cln.cfg.url(str.path), nil)
	if err != nil {
		cancel()
		return nil, errors.WithStack(err)
	}
	if str.lastEventID != "" {
		req.Header.Set(lastEventIDField, str.lastEventID)
	}
	rsp, err := acn.http.RoundTrip(req)
	if err != nil {
		cancel()
		return nil, errors.WithStack(err)
	}
	if rsp.StatusCode != http.StatusOK {
		cancel()
		return nil, readRefusal(rsp)
	}
	acn.inFlight.Add(1)
	seg := &streamSegment{conn: acn, events: make(chan streamEvent, eventBuffer), cancel: cancel}
	go seg.readLines(ctx, rsp.Body)
	return seg, nil
}

// readLines delivers the lines of body as events until it ends or ctx does.
func (seg *streamSegment) readLines(ctx context.Context, body io.ReadCloser) {
	defer seg.conn.inFlight.Done()
	defer body.Close()
	rdr := bufio.NewReader(body)
	for {
		line, err := rdr.ReadString('\n')
		evt := streamEvent{err: err}
		if err == nil {
			evt.line = line[:len(line)-1]
		}
		select {
		case seg.events <- evt:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// stop cancels the segment's request, which ends its reader.
func (seg *streamSegment) stop() { seg.cancel() }
