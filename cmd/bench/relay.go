package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"lagoondrum/core/lists"
	"lagoondrum/core/simul"
	"lagoondrum/core/table"
	"lagoondrum/core/token"
	"lagoondrum/io/entry"
	"lagoondrum/io/mmsg"
	"lagoondrum/io/stats"
)

// The relay's ports on loopback.
const (
	relayPort  = 18443
	relayPeer  = 18442
	sinkPort   = 18441
	relayTime  = 3 * time.Second
	relayRuns  = 3
	senders    = 2
	packetSize = 1200
)

var sinkAddr = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), sinkPort)

// runRelay forwards every datagram from relayPort to the sink until killed.
func runRelay(kind string) {
	if kind == "bare" {
		runBare()
	}
	runBalancer()
}

// runBare is the baseline: batched reads and writes, and nothing else.
func runBare() {
	in, err := mmsg.Listen(netip.AddrPortFrom(netip.IPv4Unspecified(), relayPort), false)
	fatal(err)
	out, err := mmsg.Listen(netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), relayPeer), false)
	fatal(err)
	box, post := mmsg.NewInbox(0), mmsg.NewOutbox()
	for {
		count, err := in.Read(box)
		fatal(err)
		for i := range count {
			post.Add(box.Data(i), sinkAddr, netip.Addr{})
		}
		out.Flush(post)
	}
}

// runBalancer is the product's data path over a table of the full size.
func runBalancer() {
	loc := table.NewLocality("z0", "r", netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), relayPeer))
	ent, err := entry.New(relayPort, loc, stats.New("bench"), zap.NewNop())
	fatal(err)
	plans, vms := simul.FleetTexts(fullUpstreams, fullAddresses)
	pls, err := lists.ParsePlans([]byte(strings.Replace(plans, simul.GrantAddress(0).String(), loopback.String(), 1)))
	fatal(err)
	parsed, err := lists.ParseVMs([]byte(strings.Replace(vms, simul.AgentAddress(0).String(), sinkAddr.String(), 1)))
	fatal(err)
	ent.SetTable(table.New(pls, parsed, loc), newKeyring())
	sup := suture.NewSimple("bench")
	ent.Supervise(sup)
	_ = sup.Serve(context.Background())
}

var loopback = netip.MustParseAddr("127.0.0.1")

func fatal(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// forwarded is what one run of a relay carried.
type forwarded struct {
	perSecond    float64
	perCPUSecond float64
}

func measureRelay(rep *report) error {
	var best [2]forwarded
	for range relayRuns { // Turn by turn, so that both meet the same machine.
		for at, kind := range []string{"bare", "balancer"} {
			fwd, err := runChild(kind)
			if err != nil {
				return err
			}
			if fwd.perCPUSecond > best[at].perCPUSecond {
				best[at] = fwd
			}
		}
	}
	for at, kind := range []string{"bare relay", "balancer"} {
		rep.figure("datagrams/s, "+kind, best[at].perSecond, "")
		rep.figure("datagrams per second of CPU, "+kind, best[at].perCPUSecond, "")
	}
	rep.figure("balancer to bare relay, per second of CPU", best[1].perCPUSecond/best[0].perCPUSecond, "")
	return nil
}

func runChild(kind string) (forwarded, error) {
	self, err := os.Executable()
	if err != nil {
		return forwarded{}, err
	}
	cmd := exec.Command(self, "relay", kind)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return forwarded{}, err
	}
	time.Sleep(500 * time.Millisecond)
	count, span, err := flood()
	_ = cmd.Process.Signal(syscall.SIGKILL)
	_ = cmd.Wait()
	cpu := cmd.ProcessState.SystemTime() + cmd.ProcessState.UserTime()
	return forwarded{float64(count) / span.Seconds(), float64(count) / cpu.Seconds()}, err
}

// flood sends as fast as it can and returns how many datagrams came through.
func flood() (int64, time.Duration, error) {
	sink, err := mmsg.Listen(sinkAddr, false)
	if err != nil {
		return 0, 0, err
	}
	defer sink.Close()
	var count atomic.Int64
	go drainSink(sink, &count)
	stop := make(chan struct{})
	for range senders {
		go sendUntil(stop)
	}
	start := time.Now()
	time.Sleep(relayTime)
	close(stop)
	return count.Load(), time.Since(start), nil
}

func drainSink(sink *mmsg.Conn, count *atomic.Int64) {
	box := mmsg.NewInbox(0)
	for {
		got, err := sink.Read(box)
		if err != nil {
			return
		}
		count.Add(int64(got))
	}
}

func sendUntil(stop chan struct{}) {
	con, err := mmsg.Listen(netip.AddrPortFrom(loopback, 0), false)
	fatal(err)
	defer con.Close()
	packet := make([]byte, packetSize)
	packet[0] = 0x40
	tok := token.New(sinkAddr, lists.ServiceIDOf("s0"), 1, [3]byte{1, 2, 3})
	fatal(newKeyring().Seal(tok, time.Time{}, packet[1:]))
	out := mmsg.NewOutbox()
	to := netip.AddrPortFrom(loopback, relayPort)
	for {
		select {
		case <-stop:
			return
		default:
		}
		for out.Add(packet, to, netip.Addr{}) {
		}
		con.Flush(out)
	}
}
