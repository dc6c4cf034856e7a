package carry

import (
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"lagoondrum/core/encap"
	"lagoondrum/core/fleet"
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

// readiness returns how the readiness check is answered.
func readiness(blc *balancer) int {
	rec := httptest.NewRecorder()
	blc.serveReady(rec, nil)
	return rec.Code
}

func TestBalancerThatLagsIsNotReady(t *testing.T) {
	now := time.Now()
	for value, want := range map[string]int{"on": 503, "off": 200, "auto": 200} {
		t.Run(value, func(t *testing.T) {
			blc, now := newWatchingBalancer(t, value, now), now
			for range 20 {
				blc.watch.expectTick(now.Add(idleTick))
				now = now.Add(idleTick + 100*time.Millisecond)
				blc.watchSelf(now)
			}
			assert.Equal(t, readiness(blc), want)
		})
	}
}

// One failure each: the balancer's link holds packets for seconds, or a zone of agents
// is lost. Every interval eight agents of 32 get a heartbeat.
func TestBalancerWithANarrowLinkIsNotReady(t *testing.T) {
	start := time.Now()
	for name, tc := range map[string]struct {
		silent int // How many of the agents do not answer.
		want   int
	}{"narrow link": {32, 503}, "lost zone": {8, 200}} {
		t.Run(name, func(t *testing.T) {
			blc := newWatchingBalancer(t, "on", start)
			blc.fleet = fleet.New()
			for num := range 32 {
				blc.fleet.PutEntry(fleet.NewUpstream(fleet.Listing{ID: vmAddr(100+num, 1).String(), Service: "feed", Address: vmIP(100 + num)}, start), start)
			}
			now := start
			for step := range 8 {
				for num, agt := range blc.fleet.All() {
					if num%4 != step%4 {
						continue
					}
					blc.watch.noteAsked(agt, now)
					agt.NoteMessageSent(now)
					if num >= tc.silent {
						blc.watch.noteAnswer(agt, now)
						agt.NoteHeard(encap.NewHeartbeat(1, 1, 1), now)
					}
				}
				now = now.Add(heartbeatInterval)
				blc.watchSelf(now)
			}
			assert.Equal(t, readiness(blc), tc.want)
		})
	}
}
