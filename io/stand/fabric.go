package stand

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"
)

// Fabric hands every packet to a balancer chosen at random. On one machine the
// balancers share the addresses and differ by port.
type Fabric struct {
	mu    sync.Mutex
	ports []int
	lost  map[string]bool // Local addresses whose packets vanish.

	opened []string
}

// NewFabric returns a fabric in front of the balancers that listen on ports.
func NewFabric(ports ...int) *Fabric { return &Fabric{ports: ports, lost: make(map[string]bool)} }

// SetPorts changes the balancers.
func (fab *Fabric) SetPorts(ports ...int) {
	fab.mu.Lock()
	defer fab.mu.Unlock()
	fab.ports = ports
}

// Dial opens a caller's socket behind the fabric.
func (fab *Fabric) Dial() (net.PacketConn, error) {
	udp, err := net.ListenUDP("udp4", nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	local := udp.LocalAddr().String()
	fab.noteOpened(local)
	return &sprayed{PacketConn: udp, fabric: fab, local: local}, nil
}

// sprayed is a caller's socket. It is told apart by its local address.
type sprayed struct {
	net.PacketConn
	fabric *Fabric
	local  string
}

func (spr *sprayed) WriteTo(data []byte, to net.Addr) (int, error) {
	port, ok := spr.fabric.pick(spr.local)
	if !ok {
		return len(data), nil
	}
	addr := to.(*net.UDPAddr).AddrPort().Addr().Unmap()
	next := net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, uint16(port)))
	return spr.PacketConn.WriteTo(data, next)
}

func (spr *sprayed) ReadFrom(data []byte) (int, net.Addr, error) {
	for {
		count, from, err := spr.PacketConn.ReadFrom(data)
		if err != nil {
			return count, from, err
		}
		if _, ok := spr.fabric.pick(spr.local); ok {
			return count, from, nil
		}
	}
}

func (fab *Fabric) pick(local string) (int, bool) {
	fab.mu.Lock()
	defer fab.mu.Unlock()
	if fab.lost[local] || len(fab.ports) == 0 {
		return 0, false
	}
	return fab.ports[rand.IntN(len(fab.ports))], true
}

// ForgetAll makes the fabric lose track of every path that is open now.
func (fab *Fabric) ForgetAll() {
	fab.mu.Lock()
	defer fab.mu.Unlock()
	for _, path := range fab.opened {
		fab.lost[path] = true
	}
	fab.opened = nil
}

func (fab *Fabric) noteOpened(path string) {
	fab.mu.Lock()
	defer fab.mu.Unlock()
	delete(fab.lost, path) // The port may have been another path's before.
	fab.opened = append(fab.opened, path)
}
