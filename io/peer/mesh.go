// Package peer connects the processes of the system: they exchange the
// revisions of the lists and relay work, over yamux and mutual TLS.
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

// Timing of the connections between processes.
const (
	dialTimeout    = 2 * time.Second
	writeTimeout   = 3 * time.Second
	keepAlive      = 10 * time.Second
	messageTimeout = 5 * time.Second
)

// Mesh is the set of connections of one process.
type Mesh struct {
	locality table.Locality
	identity *trust.Identity
	lists    *feed.Lists
	scope    *stats.Scope
	log      *zap.Logger
	worker   Worker
	seeds    []netip.AddrPort
	wake     chan struct{}
	traffic  *traffic

	mu       sync.Mutex
	sessions map[netip.AddrPort]*yamux.Session
	heard    bool
	listener net.Listener
}

// New returns a mesh without connections. The worker takes relayed work; a
// process without an upstream has none.
func New(loc table.Locality, idn *trust.Identity, lst *feed.Lists, seeds []netip.AddrPort, worker Worker, scope *stats.Scope, log *zap.Logger) *Mesh {
	return &Mesh{
		locality: loc, identity: idn, lists: lst, scope: scope, log: log, worker: worker, seeds: seeds,
		wake:     make(chan struct{}, 1),
		traffic:  newTraffic(scope),
		sessions: make(map[netip.AddrPort]*yamux.Session),
	}
}

// Listen opens the address at which other processes reach this one.
func (msh *Mesh) Listen() error {
	lsn, err := tls.Listen("tcp4", msh.locality.Self().String(), msh.identity.ForPeers())
	if err != nil {
		return errors.WithStack(err)
	}
	msh.listener = lsn
	return nil
}

// Supervise adds the parts of the mesh to a supervisor.
func (msh *Mesh) Supervise(sup *suture.Supervisor) {
	sup.Add(&acceptor{msh})
	sup.Add(&exchanger{msh})
}

// Close closes every connection.
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

// Heard reports whether any other process has answered since the start.
func (msh *Mesh) Heard() bool {
	msh.mu.Lock()
	defer msh.mu.Unlock()
	return msh.heard
}

// open returns a stream to a process, over a connection that is kept.
func (msh *Mesh) open(ctx context.Context, to netip.AddrPort) (*conn, error) {
	ses, err := msh.session(ctx, to)
	if err != nil {
		return nil, err
	}
	stream, err := ses.Open()
	if err != nil {
		msh.drop(to, ses)
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
	ses, err := yamux.Client(msh.traffic.count(tcp), muxConfig())
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return msh.keep(to, ses), nil
}

// keep stores a new session, or closes it when another one was faster.
func (msh *Mesh) keep(to netip.AddrPort, ses *yamux.Session) *yamux.Session {
	msh.mu.Lock()
	defer msh.mu.Unlock()
	if old, ok := msh.sessions[to]; ok && !old.IsClosed() {
		_ = ses.Close()
		return old
	}
	msh.sessions[to] = ses
	return ses
}

func (msh *Mesh) drop(to netip.AddrPort, ses *yamux.Session) {
	_ = ses.Close()
	msh.mu.Lock()
	defer msh.mu.Unlock()
	if msh.sessions[to] == ses {
		delete(msh.sessions, to)
	}
}

// muxConfig finds a silent connection by keepalive and bounds every write.
func muxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = true
	cfg.KeepAliveInterval = keepAlive
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.StreamCloseTimeout = time.Minute
	cfg.LogOutput = io.Discard
	return cfg
}

// acceptor serves the connections that other processes open.
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

func (msh *Mesh) serveConn(ctx context.Context, tcp net.Conn) {
	ses, err := yamux.Server(msh.traffic.count(tcp), muxConfig())
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
