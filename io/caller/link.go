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

// Intervals and limits of one connection, and the path of its session.
const (
	handshakeTimeout    = 8 * time.Second
	idleTimeout         = 60 * time.Second
	keepAliveInterval   = 3 * time.Second
	pathCheckInterval   = 100 * time.Millisecond
	silenceTimeout      = time.Second // The connection migrates when packets have been unanswered for this long.
	probeTimeout        = 1500 * time.Millisecond
	challengeTimeout    = 500 * time.Millisecond // Limit for sending the first packet of a probe, which only the congestion window can delay.
	maxFailedMigrations = 3                      // Consecutive failed migrations after which the connection is closed.
	sessionPath         = "/.lagoondrum/session"
)

// sessionEvent is one line of the answer that an agent keeps open as a session:
// the prefix of the client's work IDs and the agent's phase.
type sessionEvent struct {
	Prefix string `json:"prefix"`
	Phase  string `json:"phase"`
}

// agentConn is one QUIC connection to an agent, with its session. retiring is
// closed when the agent is leaving or the session ends; new requests then use
// another connection.
type agentConn struct {
	conn       *quic.Conn
	http       *http3.ClientConn
	prefix     string
	counter    atomic.Uint32
	retiring   chan struct{}
	retireOnce sync.Once
	migrations atomic.Int64
	inFlight   sync.WaitGroup

	mu    sync.Mutex
	paths []*path // The last path is in use; the others stay open to receive late packets.

	// failedPaths are paths whose probes failed. The connection is registered at
	// the transport of each, and closing one closes the whole connection, so they
	// are closed together with it.
	failedPaths []*path
}

// dial opens a connection and its session, and starts to monitor its path.
func dial(ctx context.Context, cfg Config) (*agentConn, error) {
	pth, err := newPath(cfg.dialer(), cfg.remote())
	if err != nil {
		return nil, err
	}
	acn := &agentConn{paths: []*path{pth}, retiring: make(chan struct{})}
	if err := acn.connect(ctx, cfg); err != nil {
		acn.close()
		return nil, err
	}
	go acn.monitorPath(cfg.dialer())
	return acn, nil
}

// connect performs the QUIC handshake and opens the session.
func (acn *agentConn) connect(ctx context.Context, cfg Config) error {
	tlsConf := cfg.TLS.Clone()
	tlsConf.NextProtos = []string{http3.NextProtoH3}
	pth := acn.currentPath()
	con, err := pth.transport.Dial(ctx, pth.remote, tlsConf, &quic.Config{
		HandshakeIdleTimeout:    handshakeTimeout,
		MaxIdleTimeout:          idleTimeout,
		KeepAlivePeriod:         keepAliveInterval,
		DisablePathMTUDiscovery: true,
	})
	if err != nil {
		return errors.WithStack(err)
	}
	acn.conn = con
	acn.http = (&http3.Transport{DisableCompression: true}).NewClientConn(con)
	return acn.openSession(ctx, cfg)
}

// openSession receives the prefix of the work IDs, and then reads the session's
// events until the connection closes. ctx limits the opening only.
func (acn *agentConn) openSession(ctx context.Context, cfg Config) error {
	req, err := http.NewRequestWithContext(acn.conn.Context(), http.MethodGet, cfg.url(sessionPath), nil)
	if err != nil {
		return errors.WithStack(err)
	}
	stop := context.AfterFunc(ctx, func() { _ = acn.conn.CloseWithError(0, "dial given up") })
	defer stop()
	rsp, err := acn.http.RoundTrip(req)
	if err != nil {
		return errors.WithStack(err)
	}
	if rsp.StatusCode != http.StatusOK {
		return readRefusal(rsp)
	}
	dec := json.NewDecoder(rsp.Body)
	var first sessionEvent
	if err := dec.Decode(&first); err != nil {
		return errors.WithStack(err)
	}
	acn.prefix = first.Prefix
	acn.handleEvent(first)
	go acn.readEvents(dec)
	return nil
}

// readEvents handles the session's events until the session ends, which retires
// the connection.
func (acn *agentConn) readEvents(dec *json.Decoder) {
	for {
		var next sessionEvent
		if dec.Decode(&next) != nil {
			acn.retire()
			return
		}
		acn.handleEvent(next)
	}
}

// handleEvent retires the connection when the agent no longer takes new requests.
func (acn *agentConn) handleEvent(next sessionEvent) {
	if next.Phase != "serving" {
		acn.retire()
	}
}

// retire makes the client send new requests over another connection.
func (acn *agentConn) retire() { acn.retireOnce.Do(func() { close(acn.retiring) }) }

// retired reports whether the connection takes no new requests: it is retired or
// closed.
func (acn *agentConn) retired() bool {
	select {
	case <-acn.retiring:
		return true
	case <-acn.conn.Context().Done():
		return true
	default:
		return false
	}
}

// monitorPath migrates the connection to a new port when packets go unanswered. It
// closes the connection after too many consecutive failures, or at once when a
// probe cannot be sent.
func (acn *agentConn) monitorPath(dialer Dialer) {
	ticker := time.NewTicker(pathCheckInterval)
	defer ticker.Stop()
	failed := 0
	for {
		select {
		case <-acn.conn.Context().Done():
			return
		case now := <-ticker.C:
			since := acn.currentPath().silentSince()
			if since.IsZero() || now.Sub(since) < silenceTimeout {
				continue
			}
			err := acn.migrate(dialer)
			switch failed++; {
			case err == nil:
				failed = 0
			case errors.Is(err, errProbeUnsent):
				_ = acn.conn.CloseWithError(0, "path is silent and full")
				return // A tick may be due as well, and a select would choose between the two.
			case failed >= maxFailedMigrations:
				_ = acn.conn.CloseWithError(0, "path is silent")
				return
			}
		}
	}
}

// probeUnsentError reports a probe that QUIC did not send because unacknowledged
// packets on the silent path fill the congestion window. Waiting does not help,
// since no acknowledgment arrives on that path.
type probeUnsentError struct{}

func (probeUnsentError) Error() string { return "the congestion window leaves no room for a probe" }

var errProbeUnsent error = probeUnsentError{}

// migrate opens a new path from another port, and switches to it once the agent
// has answered a probe there.
func (acn *agentConn) migrate(dialer Dialer) error {
	pth, err := newPath(dialer, acn.currentPath().remote)
	if err != nil {
		return err
	}
	err = acn.probeAndSwitch(pth)
	acn.mu.Lock()
	defer acn.mu.Unlock()
	if err != nil {
		acn.failedPaths = append(acn.failedPaths, pth)
		return err
	}
	acn.paths = append(acn.paths, pth)
	acn.migrations.Add(1)
	return nil
}

// probeAndSwitch validates a path and then makes it the one that QUIC sends on.
func (acn *agentConn) probeAndSwitch(pth *path) error {
	next, err := acn.conn.AddPath(pth.transport)
	if err != nil {
		return errors.WithStack(err)
	}
	ctx, cancel := context.WithTimeout(acn.conn.Context(), probeTimeout)
	defer cancel()
	ctx, giveUp := context.WithCancelCause(ctx)
	timer := time.AfterFunc(challengeTimeout, func() {
		if pth.sent.Load() == 0 {
			giveUp(errProbeUnsent)
		}
	})
	defer timer.Stop()
	if err := next.Probe(ctx); err != nil {
		// An open path would keep its connection ID and be probed before later paths.
		return errors.CombineErrors(errors.WithStack(err), next.Close())
	}
	return errors.WithStack(next.Switch())
}

// currentPath returns the path in use.
func (acn *agentConn) currentPath() *path {
	acn.mu.Lock()
	defer acn.mu.Unlock()
	return acn.paths[len(acn.paths)-1]
}

// nextWorkID returns a work ID that the session has not used yet.
func (acn *agentConn) nextWorkID() string { return formatWorkID(acn.prefix, acn.counter.Add(1)) }

// close closes the connection and all its paths.
func (acn *agentConn) close() {
	if acn.conn != nil {
		_ = acn.conn.CloseWithError(0, "")
	}
	acn.mu.Lock()
	defer acn.mu.Unlock()
	for _, pth := range append(acn.failedPaths, acn.paths...) {
		pth.close()
	}
}
