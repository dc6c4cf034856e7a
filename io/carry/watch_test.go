package carry

import (
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"lagoondrum/core/encap"
	"lagoondrum/io/conf"
	"lagoondrum/io/gossip"
	"lagoondrum/io/stats"
)

// newWatchingBalancer returns a balancer without sockets, in the zone z, that has heard
// three others of its zone.
func newWatchingBalancer(t *testing.T, yieldWhenWeak string, now time.Time) *balancer {
	t.Helper()
	set, err := conf.Parse("test", []byte("[process]\nzone = z\n[packets]\nlinkMbps = 10\n[serving]\nyieldWhenWeak = "+yieldWhenWeak+"\n"))
	assert.NilError(t, err)
	scp := stats.New("test")
	t.Cleanup(func() { _ = scp.Close() })
	blc := &balancer{base: &base{settings: set, log: zap.NewNop(), scope: scp, self: vmAddr(firstBalancer, peerPort), peerSender: newSender(nil),
		replica: gossip.New(nil, nil, vmIP(firstBalancer), true, false, nil, time.Second, zap.NewNop())}, gauges: gauges{scope: scp}}
	blc.ready.Store(true)
	blc.startWatch(now)
	for num := range 3 {
		blc.noteStanding(encap.NewHeartbeat(0, 1, 1).WithStanding("z", encap.Sound), vmAddr(30+num, peerPort), now)
		blc.noteStanding(encap.NewHeartbeat(0, 1, 1).WithStanding("y", encap.Weak), vmAddr(40+num, peerPort), now)
	}
	return blc
}

// readinessAfterLateTicks returns how the readiness check is answered after ticks that
// were all 100 ms late.
func readinessAfterLateTicks(blc *balancer, now time.Time) int {
	for range 20 {
		blc.watch.expectTick(now.Add(idleTick))
		now = now.Add(idleTick + 100*time.Millisecond)
		blc.watchSelf(now)
	}
	rec := httptest.NewRecorder()
	blc.serveReady(rec, nil)
	return rec.Code
}

func TestBalancerThatLagsIsNotReady(t *testing.T) {
	now := time.Now()
	for value, want := range map[string]int{"on": 503, "off": 200, "auto": 200} {
		t.Run(value, func(t *testing.T) {
			assert.Equal(t, readinessAfterLateTicks(newWatchingBalancer(t, value, now), now), want)
		})
	}
}
