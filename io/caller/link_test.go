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

// testServer is an agent as far as a session goes.
func testServer(t *testing.T) netip.AddrPort {
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

// gates dials sockets that can be made to lose what they carry, by the order in
// which they were opened.
type gates struct {
	mu   sync.Mutex
	open []*gate
}

type gate struct {
	net.PacketConn
	lossy atomic.Bool
}

func (gts *gates) Dial() (net.PacketConn, error) {
	pc, err := UDPDialer{}.Dial()
	gts.mu.Lock()
	defer gts.mu.Unlock()
	gte := &gate{PacketConn: pc}
	gte.lossy.Store(len(gts.open) == 1) // The second socket is the first move's.
	gts.open = append(gts.open, gte)
	return gte, err
}

func (gte *gate) WriteTo(data []byte, to net.Addr) (int, error) {
	if gte.lossy.Load() {
		return len(data), nil
	}
	return gte.PacketConn.WriteTo(data, to)
}

// testLink returns a connection to a test server over the sockets of a dialer.
func testLink(t *testing.T, dialer Dialer) *link {
	t.Helper()
	addr := testServer(t)
	cln := New(Config{Address: addr.Addr(), Port: int(addr.Port()), TLS: &tls.Config{InsecureSkipVerify: true}, Dialer: dialer})
	t.Cleanup(cln.Close)
	lnk, err := cln.connected(context.Background())
	assert.NilError(t, err)
	return lnk
}

func TestConnectionOutlivesAMoveThatFailed(t *testing.T) {
	gts := &gates{}
	lnk := testLink(t, gts)
	assert.Assert(t, lnk.move(gts) != nil, "the path of the first move is silent")
	assert.NilError(t, context.Cause(lnk.conn.Context()))
	assert.NilError(t, lnk.move(gts), "the path of the second move answers")
	assert.NilError(t, context.Cause(lnk.conn.Context()))
}

// thinner loses the first copies of every datagram, as a fabric does that hands
// them to dead balancers.
type thinner struct{}

type thinned struct {
	net.PacketConn
	mu   sync.Mutex
	last []byte
	seen int
}

func (*thinner) Dial() (net.PacketConn, error) {
	pc, err := UDPDialer{}.Dial()
	return &thinned{PacketConn: pc}, err
}

func (thn *thinned) WriteTo(data []byte, to net.Addr) (int, error) {
	thn.mu.Lock()
	defer thn.mu.Unlock()
	if !bytes.Equal(data, thn.last) {
		thn.last, thn.seen = bytes.Clone(data), 0
	}
	if thn.seen++; thn.seen < copies {
		return len(data), nil
	}
	return thn.PacketConn.WriteTo(data, to)
}

func TestPathIsValidatedThoughCopiesAreLost(t *testing.T) {
	lnk := testLink(t, UDPDialer{})
	assert.NilError(t, lnk.move(&thinner{}))
}

// An upload fills the congestion window, and then QUIC has no room to probe
// another path: the connection is given up for the next one at once.
func TestFullSilentPathEndsItsConnectionAtOnce(t *testing.T) {
	gts := &gates{}
	lnk := testLink(t, gts)
	gts.open[0].lossy.Store(true)
	body := strings.NewReader(strings.Repeat("b", 1<<20))
	req, err := http.NewRequest(http.MethodPost, "https://service/", body)
	assert.NilError(t, err)
	_, err = lnk.http.RoundTrip(req)
	assert.ErrorContains(t, err, "full")
	assert.Equal(t, len(lnk.failed), 1)
}
