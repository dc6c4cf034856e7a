package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// Timing of one connection.
const (
	handshakeTimeout = 8 * time.Second
	idleTimeout      = 60 * time.Second
	keepAlive        = 3 * time.Second
	watchInterval    = 100 * time.Millisecond
	silenceToMove    = time.Second // Packets unanswered for this long make the path move.
	probeTimeout     = 1500 * time.Millisecond
	challengeTimeout = 500 * time.Millisecond // For the first packet of a probe to leave: it waits for nothing but the congestion window.
	maxFailedMoves   = 3                      // Moves in a row without an answer that end the connection.
	sessionPath      = "/.lagoondrum/session"
)

// news is one line of the session that the agent keeps with the client.
type news struct {
	Prefix string `json:"prefix"`
	Phase  string `json:"phase"`
}

// link is one QUIC connection to an agent, with the session on it.
type link struct {
	conn    *quic.Conn
	http    *http3.ClientConn
	prefix  string
	counter atomic.Uint32
	leaving chan struct{}
	once    sync.Once
	moves   atomic.Int64
	users   sync.WaitGroup

	mu    sync.Mutex
	paths []*path // The last one is in use; the others stay open for late packets.

	// failed are paths that were probed in vain. Closing the transport of one ends
	// the whole connection, which is registered there, so they are closed with it.
	failed []*path
}

// dial opens a connection and its session.
func dial(ctx context.Context, cfg Config) (*link, error) {
	pth, err := newPath(cfg.dialer(), cfg.remote())
	if err != nil {
		return nil, err
	}
	lnk := &link{paths: []*path{pth}, leaving: make(chan struct{})}
	if err := lnk.connect(ctx, cfg); err != nil {
		lnk.close()
		return nil, err
	}
	go lnk.watch(cfg.dialer())
	return lnk, nil
}

func (lnk *link) connect(ctx context.Context, cfg Config) error {
	tlsConf := cfg.TLS.Clone()
	tlsConf.NextProtos = []string{http3.NextProtoH3}
	pth := lnk.current()
	con, err := pth.transport.Dial(ctx, pth.remote, tlsConf, &quic.Config{
		HandshakeIdleTimeout:    handshakeTimeout,
		MaxIdleTimeout:          idleTimeout,
		KeepAlivePeriod:         keepAlive,
		DisablePathMTUDiscovery: true,
	})
	if err != nil {
		return errors.WithStack(err)
	}
	lnk.conn = con
	lnk.http = (&http3.Transport{DisableCompression: true}).NewClientConn(con)
	return lnk.openSession(ctx, cfg)
}

// openSession gets the prefix of the work IDs and then listens for news.
func (lnk *link) openSession(ctx context.Context, cfg Config) error {
	req, err := http.NewRequestWithContext(lnk.conn.Context(), http.MethodGet, cfg.url(sessionPath), nil)
	if err != nil {
		return errors.WithStack(err)
	}
	stop := context.AfterFunc(ctx, func() { _ = lnk.conn.CloseWithError(0, "dial given up") })
	defer stop()
	rsp, err := lnk.http.RoundTrip(req)
	if err != nil {
		return errors.WithStack(err)
	}
	if rsp.StatusCode != http.StatusOK {
		return refusalOf(rsp)
	}
	dec := json.NewDecoder(rsp.Body)
	var first news
	if err := dec.Decode(&first); err != nil {
		return errors.WithStack(err)
	}
	lnk.prefix = first.Prefix
	lnk.note(first)
	go lnk.listen(dec)
	return nil
}

func (lnk *link) listen(dec *json.Decoder) {
	for {
		var next news
		if dec.Decode(&next) != nil {
			lnk.retire()
			return
		}
		lnk.note(next)
	}
}

func (lnk *link) note(next news) {
	if next.Phase != "serving" {
		lnk.retire()
	}
}

// retire makes new requests go to another connection.
func (lnk *link) retire() { lnk.once.Do(func() { close(lnk.leaving) }) }

func (lnk *link) retired() bool {
	select {
	case <-lnk.leaving:
		return true
	case <-lnk.conn.Context().Done():
		return true
	default:
		return false
	}
}

// watch moves the connection to a new port while packets go unanswered, and
// ends it when that does not help.
func (lnk *link) watch(dialer Dialer) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	failed := 0
	for {
		select {
		case <-lnk.conn.Context().Done():
			return
		case now := <-ticker.C:
			since := lnk.current().silentSince()
			if since.IsZero() || now.Sub(since) < silenceToMove {
				continue
			}
			err := lnk.move(dialer)
			switch failed++; {
			case err == nil:
				failed = 0
			case errors.Is(err, errUnsent):
				_ = lnk.conn.CloseWithError(0, "path is silent and full")
			case failed >= maxFailedMoves:
				_ = lnk.conn.CloseWithError(0, "path is silent")
			}
		}
	}
}

// unsentError reports a probe that QUIC did not send, as unacknowledged packets
// on the silent path fill the congestion window. Waiting cannot help.
type unsentError struct{}

func (unsentError) Error() string { return "the congestion window leaves no room for a probe" }

var errUnsent error = unsentError{}

// move goes on from a new port once the agent answers there.
func (lnk *link) move(dialer Dialer) error {
	pth, err := newPath(dialer, lnk.current().remote)
	if err != nil {
		return err
	}
	err = lnk.probe(pth)
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	if err != nil {
		lnk.failed = append(lnk.failed, pth)
		return err
	}
	lnk.paths = append(lnk.paths, pth)
	lnk.moves.Add(1)
	return nil
}

func (lnk *link) probe(pth *path) error {
	next, err := lnk.conn.AddPath(pth.transport)
	if err != nil {
		return errors.WithStack(err)
	}
	ctx, cancel := context.WithTimeout(lnk.conn.Context(), probeTimeout)
	defer cancel()
	ctx, giveUp := context.WithCancelCause(ctx)
	unsent := time.AfterFunc(challengeTimeout, func() {
		if pth.sent.Load() == 0 {
			giveUp(errUnsent)
		}
	})
	defer unsent.Stop()
	if err := next.Probe(ctx); err != nil {
		// Left open, the path would keep its connection ID and its place before later probes.
		return errors.CombineErrors(errors.WithStack(err), next.Close())
	}
	return errors.WithStack(next.Switch())
}

func (lnk *link) current() *path {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	return lnk.paths[len(lnk.paths)-1]
}

func (lnk *link) nextID() string { return formatID(lnk.prefix, lnk.counter.Add(1)) }

func (lnk *link) close() {
	if lnk.conn != nil {
		_ = lnk.conn.CloseWithError(0, "")
	}
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	for _, pth := range append(lnk.failed, lnk.paths...) {
		pth.close()
	}
}
