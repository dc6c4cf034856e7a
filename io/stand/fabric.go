package stand

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"
)

// Fabric simulates the network in front of the balancers: it forwards every packet
// to a balancer chosen at random. The balancers run on one machine, share the
// service addresses and differ by port.
type Fabric struct {
	mu      sync.Mutex
	ports   []int
	dropped map[string]bool // Local addresses of sockets whose packets are dropped in both directions.

	openSockets []string // Local addresses of the sockets opened since the last ForgetAll.
}

// NewFabric returns a fabric whose balancers listen on ports.
func NewFabric(ports ...int) *Fabric { return &Fabric{ports: ports, dropped: make(map[string]bool)} }

// SetPorts replaces the ports of the balancers. Without ports, the fabric drops all
// packets.
func (fab *Fabric) SetPorts(ports ...int) {
	fab.mu.Lock()
	defer fab.mu.Unlock()
	fab.ports = ports
}

// Dial opens a caller's socket whose packets pass through the fabric.
func (fab *Fabric) Dial() (net.PacketConn, error) {
	udp, err := net.ListenUDP("udp4", nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	local := udp.LocalAddr().String()
	fab.addSocket(local)
	return &fabricConn{PacketConn: udp, fabric: fab, local: local}, nil
}

// fabricConn is a caller's socket, which the fabric identifies by its local address.
type fabricConn struct {
	net.PacketConn
	fabric *Fabric
	local  string
}

func (fcn *fabricConn) WriteTo(data []byte, to net.Addr) (int, error) {
	port, ok := fcn.fabric.pickPort(fcn.local)
	if !ok {
		return len(data), nil
	}
	addr := to.(*net.UDPAddr).AddrPort().Addr().Unmap()
	next := net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, uint16(port)))
	return fcn.PacketConn.WriteTo(data, next)
}

func (fcn *fabricConn) ReadFrom(data []byte) (int, net.Addr, error) {
	for {
		count, from, err := fcn.PacketConn.ReadFrom(data)
		if err != nil {
			return count, from, err
		}
		if _, ok := fcn.fabric.pickPort(fcn.local); ok {
			return count, from, nil
		}
	}
}

// pickPort returns the port of a random balancer for a packet of the socket with a
// local address. It returns false when the packet is to be dropped.
func (fab *Fabric) pickPort(local string) (int, bool) {
	fab.mu.Lock()
	defer fab.mu.Unlock()
	if fab.dropped[local] || len(fab.ports) == 0 {
		return 0, false
	}
	return fab.ports[rand.IntN(len(fab.ports))], true
}

// ForgetAll drops all later packets of every socket that is open now, as a network
// does that has lost its state of every path.
func (fab *Fabric) ForgetAll() {
	fab.mu.Lock()
	defer fab.mu.Unlock()
	for _, local := range fab.openSockets {
		fab.dropped[local] = true
	}
	fab.openSockets = nil
}

// addSocket records a new socket by its local address.
func (fab *Fabric) addSocket(local string) {
	fab.mu.Lock()
	defer fab.mu.Unlock()
	delete(fab.dropped, local) // An earlier socket may have used the same port.
	fab.openSockets = append(fab.openSockets, local)
}
