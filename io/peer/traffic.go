package peer

import (
	"net"

	tally "github.com/uber-go/tally/v4"

	"lagoondrum/io/stats"
)

// traffic counts the bytes exchanged with other processes, TLS included.
type traffic struct {
	sent     tally.Counter
	received tally.Counter
}

// countingConn adds the bytes of each read and write to the traffic counters.
type countingConn struct {
	net.Conn
	trf *traffic
}

func newTraffic(scope *stats.Scope) *traffic {
	return &traffic{sent: scope.Counter("controlBytes", "way", "sent"), received: scope.Counter("controlBytes", "way", "received")}
}

func (trf *traffic) wrap(inner net.Conn) net.Conn { return &countingConn{inner, trf} }

func (con *countingConn) Read(data []byte) (int, error) {
	count, err := con.Conn.Read(data)
	con.trf.received.Inc(int64(count))
	return count, err
}

func (con *countingConn) Write(data []byte) (int, error) {
	count, err := con.Conn.Write(data)
	con.trf.sent.Inc(int64(count))
	return count, err
}
