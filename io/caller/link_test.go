package caller

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go/http3"
	"gotest.tools/v3/assert"
)

// startTestServer starts an HTTP/3 server that opens sessions as an agent does and
// answers every other request with 200. It returns the server's address.
func startTestServer(t *testing.T) netip.AddrPort {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	assert.NilError(t, err)
	udp, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	srv := &http3.Server{
		TLSConfig: http3.ConfigureTLSConfig(&tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}}),
		Handler: http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
			if req.URL.Path != sessionPath {
				rw.WriteHeader(http.StatusOK)
				return
			}
			fmt.Fprintln(rw, `{"prefix":"p","phase":"serving"}`)
			rw.(http.Flusher).Flush()
			<-req.Context().Done()
		}),
	}
	go func() { _ = srv.Serve(udp) }()
	t.Cleanup(func() { _ = srv.Close(); _ = udp.Close() })
	return udp.LocalAddr().(*net.UDPAddr).AddrPort()
}

// lossyDialer opens sockets that can be made to drop the datagrams they send. conns
// holds them in the order in which they were opened.
type lossyDialer struct {
	mu    sync.Mutex
	conns []*lossyConn
}

// lossyConn drops the datagrams it sends while it is lossy.
type lossyConn struct {
	net.PacketConn
	lossy atomic.Bool
}

func (dlr *lossyDialer) Dial() (net.PacketConn, error) {
	pc, err := UDPDialer{}.Dial()
	dlr.mu.Lock()
	defer dlr.mu.Unlock()
	lcn := &lossyConn{PacketConn: pc}
	lcn.lossy.Store(len(dlr.conns) == 1) // The second socket belongs to the first migration.
	dlr.conns = append(dlr.conns, lcn)
	return lcn, err
}

func (lcn *lossyConn) WriteTo(data []byte, to net.Addr) (int, error) {
	if lcn.lossy.Load() {
		return len(data), nil
	}
	return lcn.PacketConn.WriteTo(data, to)
}

// dialTestServer returns a connection to a new test server, over sockets that
// dialer opens.
func dialTestServer(t *testing.T, dialer Dialer) *agentConn {
	t.Helper()
	addr := startTestServer(t)
	cln := New(Config{Address: addr.Addr(), Port: int(addr.Port()), TLS: &tls.Config{InsecureSkipVerify: true}, Dialer: dialer})
	t.Cleanup(cln.Close)
	acn, err := cln.awaitConn(context.Background())
	assert.NilError(t, err)
	return acn
}

func TestConnectionOutlivesAMoveThatFailed(t *testing.T) {
	dlr := &lossyDialer{}
	acn := dialTestServer(t, dlr)
	assert.Assert(t, acn.migrate(dlr) != nil, "the path of the first migration drops its datagrams")
	assert.NilError(t, context.Cause(acn.conn.Context()))
	assert.NilError(t, acn.migrate(dlr), "the path of the second migration drops nothing")
	assert.NilError(t, context.Cause(acn.conn.Context()))
}

// copyDroppingDialer opens sockets that drop all but the last copy of every
// datagram, as a fabric does that forwards the first copies to dead balancers.
type copyDroppingDialer struct{}

// copyDroppingConn is a socket of a copyDroppingDialer.
type copyDroppingConn struct {
	net.PacketConn
	mu           sync.Mutex
	lastDatagram []byte
	copiesSeen   int
}

func (*copyDroppingDialer) Dial() (net.PacketConn, error) {
	pc, err := UDPDialer{}.Dial()
	return &copyDroppingConn{PacketConn: pc}, err
}

func (con *copyDroppingConn) WriteTo(data []byte, to net.Addr) (int, error) {
	con.mu.Lock()
	defer con.mu.Unlock()
	if !bytes.Equal(data, con.lastDatagram) {
		con.lastDatagram, con.copiesSeen = bytes.Clone(data), 0
	}
	if con.copiesSeen++; con.copiesSeen < copiesPerDatagram {
		return len(data), nil
	}
	return con.PacketConn.WriteTo(data, to)
}

func TestPathIsValidatedThoughCopiesAreLost(t *testing.T) {
	acn := dialTestServer(t, UDPDialer{})
	assert.NilError(t, acn.migrate(&copyDroppingDialer{}))
}

// An upload on a silent path fills the congestion window, which leaves QUIC no room
// to probe another path. The connection has to be closed at once, so that the
// client opens the next one.
func TestFullSilentPathEndsItsConnectionAtOnce(t *testing.T) {
	dlr := &lossyDialer{}
	acn := dialTestServer(t, dlr)
	fillSilentPath(t, dlr, acn)
	assert.Equal(t, len(acn.failedPaths), 1)
}

// Guards against another probe after the connection was closed, which a tick that was
// due at the same time caused in every second run.
func TestClosedConnectionIsNotProbed(t *testing.T) {
	dlr := &lossyDialer{}
	acn := dialTestServer(t, dlr)
	fillSilentPath(t, dlr, acn)
	time.Sleep(3 * pathCheckInterval)
	acn.mu.Lock()
	defer acn.mu.Unlock()
	assert.Equal(t, len(acn.failedPaths), 1)
}

// fillSilentPath uploads over a path that loses everything, until the connection is
// closed.
func fillSilentPath(t *testing.T, dlr *lossyDialer, acn *agentConn) {
	t.Helper()
	dlr.conns[0].lossy.Store(true)
	body := strings.NewReader(strings.Repeat("b", 1<<20))
	req, err := http.NewRequest(http.MethodPost, "https://service/", body)
	assert.NilError(t, err)
	_, err = acn.http.RoundTrip(req)
	assert.ErrorContains(t, err, "full")
}
