// Package peer connects the processes of the system. They exchange lists and
// relay work over yamux streams and mutual TLS.
package peer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"lagoondrum/core/table"
	"lagoondrum/io/feed"
	"lagoondrum/io/peer/internal/wire"
	"lagoondrum/io/stats"
	"lagoondrum/io/trust"
)

// Timeouts of the connections between processes.
const (
	dialTimeout       = 2 * time.Second
	writeTimeout      = 3 * time.Second
	keepAliveInterval = 10 * time.Second
	messageTimeout    = 5 * time.Second // For a message and its reply, unless the work's deadline applies.
)

// Mesh holds the connections from one process to its peers, one session for each.
type Mesh struct {
	locality    table.Locality
	identity    *trust.Identity
	lists       *feed.Lists
	scope       *stats.Scope
	log         *zap.Logger
	worker      Worker
	seeds       []netip.AddrPort
	listChanged chan struct{}
	traffic     *traffic

	mu       sync.Mutex
	sessions map[netip.AddrPort]*yamux.Session
	heard    bool
	listener net.Listener
}

// New returns a mesh without connections. The worker runs the work that peers
// relay to this process; it is nil in a process without an upstream.
func New(loc table.Locality, idn *trust.Identity, lst *feed.Lists, seeds []netip.AddrPort, worker Worker, scope *stats.Scope, log *zap.Logger) *Mesh {
	return &Mesh{
		locality: loc, identity: idn, lists: lst, scope: scope, log: log, worker: worker, seeds: seeds,
		listChanged: make(chan struct{}, 1),
		traffic:     newTraffic(scope),
		sessions:    make(map[netip.AddrPort]*yamux.Session),
	}
}

// Listen opens the TLS listener for connections from other processes.
func (msh *Mesh) Listen() error {
	lsn, err := tls.Listen("tcp4", msh.locality.Self().String(), msh.identity.ForPeers())
	if err != nil {
		return errors.WithStack(err)
	}
	msh.listener = lsn
	return nil
}

// Supervise adds the mesh's services to a supervisor.
func (msh *Mesh) Supervise(sup *suture.Supervisor) {
	sup.Add(&acceptor{msh})
	sup.Add(&exchanger{msh})
}

// Close closes the listener and every session that this process opened.
func (msh *Mesh) Close() {
	if msh.listener != nil {
		_ = msh.listener.Close()
	}
	msh.mu.Lock()
	defer msh.mu.Unlock()
	for _, ses := range msh.sessions {
		_ = ses.Close()
	}
}

// Heard reports whether any peer has answered an exchange since the start.
func (msh *Mesh) Heard() bool {
	msh.mu.Lock()
	defer msh.mu.Unlock()
	return msh.heard
}

// openStream opens a stream to a process, on the existing session if there is one.
func (msh *Mesh) openStream(ctx context.Context, to netip.AddrPort) (*conn, error) {
	ses, err := msh.session(ctx, to)
	if err != nil {
		return nil, err
	}
	stream, err := ses.Open()
	if err != nil {
		msh.dropSession(to, ses)
		return nil, errors.WithStack(err)
	}
	return newConn(stream), nil
}

func (msh *Mesh) session(ctx context.Context, to netip.AddrPort) (*yamux.Session, error) {
	msh.mu.Lock()
	ses, ok := msh.sessions[to]
	msh.mu.Unlock()
	if ok && !ses.IsClosed() {
		return ses, nil
	}
	return msh.dial(ctx, to)
}

func (msh *Mesh) dial(ctx context.Context, to netip.AddrPort) (*yamux.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialer := &tls.Dialer{Config: msh.identity.Peer()}
	tcp, err := dialer.DialContext(ctx, "tcp4", to.String())
	if err != nil {
		return nil, errors.WithStack(err)
	}
	ses, err := yamux.Client(msh.traffic.wrap(tcp), yamuxConfig())
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return msh.storeSession(to, ses), nil
}

// storeSession stores a new session and returns it. If a concurrent dial stored
// an open session first, it closes the new one and returns the stored one.
func (msh *Mesh) storeSession(to netip.AddrPort, ses *yamux.Session) *yamux.Session {
	msh.mu.Lock()
	defer msh.mu.Unlock()
	if old, ok := msh.sessions[to]; ok && !old.IsClosed() {
		_ = ses.Close()
		return old
	}
	msh.sessions[to] = ses
	return ses
}

// dropSession closes a session and removes it unless a newer one replaced it.
func (msh *Mesh) dropSession(to netip.AddrPort, ses *yamux.Session) {
	_ = ses.Close()
	msh.mu.Lock()
	defer msh.mu.Unlock()
	if msh.sessions[to] == ses {
		delete(msh.sessions, to)
	}
}

// yamuxConfig returns a configuration that detects dead connections by keepalive
// and limits the duration of every write.
func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = true
	cfg.KeepAliveInterval = keepAliveInterval
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.StreamCloseTimeout = time.Minute
	cfg.LogOutput = io.Discard
	return cfg
}

// acceptor accepts the connections of other processes and serves their streams.
type acceptor struct{ msh *Mesh }

func (acc *acceptor) String() string { return "acceptor" }

// Serve runs until the listener is closed.
func (acc *acceptor) Serve(ctx context.Context) error {
	for {
		tcp, err := acc.msh.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return suture.ErrDoNotRestart
		}
		if err != nil {
			return errors.WithStack(err)
		}
		go acc.msh.serveConn(ctx, tcp)
	}
}

// serveConn accepts streams on an incoming connection until it fails.
func (msh *Mesh) serveConn(ctx context.Context, tcp net.Conn) {
	ses, err := yamux.Server(msh.traffic.wrap(tcp), yamuxConfig())
	if err != nil {
		_ = tcp.Close()
		return
	}
	defer ses.Close()
	for {
		stream, err := ses.AcceptStreamWithContext(ctx)
		if err != nil {
			return
		}
		go msh.serveStream(ctx, newConn(stream))
	}
}

// serveStream handles one stream: an exchange of lists or an offer of work,
// depending on the first message.
func (msh *Mesh) serveStream(ctx context.Context, con *conn) {
	defer con.close()
	stp, err := con.receive(time.Now().Add(messageTimeout))
	if err != nil {
		return
	}
	switch kind := stp.GetKind().(type) {
	case *wire.Step_Exchange:
		msh.answerExchange(con, kind.Exchange)
	case *wire.Step_Offer:
		msh.answerOffer(ctx, con, kind.Offer)
	}
}
