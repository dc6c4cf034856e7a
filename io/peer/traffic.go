package peer

import (
	"net"

	tally "github.com/uber-go/tally/v4"

	"lagoondrum/io/stats"
)

// traffic counts the bytes between processes, TLS included.
type traffic struct {
	sent     tally.Counter
	received tally.Counter
}

type countedConn struct {
	net.Conn
	trf *traffic
}

func newTraffic(scope *stats.Scope) *traffic {
	return &traffic{sent: scope.Counter("controlBytes", "way", "sent"), received: scope.Counter("controlBytes", "way", "received")}
}

func (trf *traffic) count(inner net.Conn) net.Conn { return &countedConn{inner, trf} }

func (con *countedConn) Read(data []byte) (int, error) {
	count, err := con.Conn.Read(data)
	con.trf.received.Inc(int64(count))
	return count, err
}

func (con *countedConn) Write(data []byte) (int, error) {
	count, err := con.Conn.Write(data)
	con.trf.sent.Inc(int64(count))
	return count, err
}
