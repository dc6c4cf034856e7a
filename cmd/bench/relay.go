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

// Parameters of a run. The ports are on loopback.
const (
	relayPort     = 18443           // The relay receives here.
	relayPeerPort = 18442           // The relay sends from here.
	sinkPort      = 18441           // The sink receives here.
	floodTime     = 3 * time.Second // Duration of one run.
	runsPerRelay  = 3               // The best run of each kind is reported.
	senders       = 2               // Goroutines that send, each from its own socket.
	packetBytes   = 1200            // Size of a datagram.
)

var sinkAddr = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), sinkPort)

// runRelay forwards every datagram from relayPort to the sink until the process is
// killed.
func runRelay(kind string) {
	if kind == "bare" {
		runBareRelay()
	}
	runBalancerRelay()
}

// runBareRelay is the baseline: it only reads and writes datagrams in batches.
func runBareRelay() {
	in, err := mmsg.Listen(netip.AddrPortFrom(netip.IPv4Unspecified(), relayPort), false)
	exitOnError(err)
	out, err := mmsg.Listen(netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), relayPeerPort), false)
	exitOnError(err)
	box, post := mmsg.NewInbox(0), mmsg.NewOutbox()
	for {
		count, err := in.Read(box)
		exitOnError(err)
		for i := range count {
			post.Add(box.Data(i), sinkAddr, netip.Addr{})
		}
		out.Flush(post)
	}
}

// runBalancerRelay forwards through the data path of a balancer, with a routing
// table of the design size.
func runBalancerRelay() {
	loc := table.NewLocality("z0", "r", netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), relayPeerPort))
	ent, err := entry.New(relayPort, loc, stats.New("bench"), zap.NewNop())
	exitOnError(err)
	plans, vms := simul.FleetTexts(designUpstreams, designAddresses)
	pls, err := lists.ParsePlans([]byte(strings.Replace(plans, simul.GrantAddress(0).String(), loopback.String(), 1)))
	exitOnError(err)
	parsed, err := lists.ParseVMs([]byte(strings.Replace(vms, simul.AgentAddress(0).String(), sinkAddr.String(), 1)))
	exitOnError(err)
	ent.SetTable(table.New(pls, parsed, loc), newKeyring())
	sup := suture.NewSimple("bench")
	ent.Supervise(sup)
	_ = sup.Serve(context.Background())
}

var loopback = netip.MustParseAddr("127.0.0.1")

// exitOnError prints an error and ends the process with code 1.
func exitOnError(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// throughput is the rate of forwarded datagrams in one run of a relay, per second
// of wall-clock time and of CPU time.
type throughput struct {
	perSecond    float64
	perCPUSecond float64
}

// measureRelay measures the bare relay and a balancer, and their ratio. The best
// run is the one with the most datagrams per second of CPU.
func measureRelay(rep *report) error {
	var best [2]throughput
	for range runsPerRelay { // Alternate the kinds, so that both meet the same load on the machine.
		for i, kind := range []string{"bare", "balancer"} {
			thr, err := runRelayChild(kind)
			if err != nil {
				return err
			}
			if thr.perCPUSecond > best[i].perCPUSecond {
				best[i] = thr
			}
		}
	}
	for i, kind := range []string{"bare relay", "balancer"} {
		rep.addRow("datagrams/s, "+kind, best[i].perSecond, "")
		rep.addRow("datagrams per second of CPU, "+kind, best[i].perCPUSecond, "")
	}
	rep.addRow("balancer to bare relay, per second of CPU", best[1].perCPUSecond/best[0].perCPUSecond, "")
	return nil
}

// runRelayChild runs a relay as a child process and sends through it. The CPU time
// is that of the child from start to end.
func runRelayChild(kind string) (throughput, error) {
	self, err := os.Executable()
	if err != nil {
		return throughput{}, err
	}
	cmd := exec.Command(self, "relay", kind)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return throughput{}, err
	}
	time.Sleep(500 * time.Millisecond)
	count, elapsed, err := sendAndCount()
	_ = cmd.Process.Signal(syscall.SIGKILL)
	_ = cmd.Wait()
	cpu := cmd.ProcessState.SystemTime() + cmd.ProcessState.UserTime()
	return throughput{float64(count) / elapsed.Seconds(), float64(count) / cpu.Seconds()}, err
}

// sendAndCount sends through the relay as fast as it can, and returns how many
// datagrams reached the sink and in what time.
func sendAndCount() (int64, time.Duration, error) {
	sink, err := mmsg.Listen(sinkAddr, false)
	if err != nil {
		return 0, 0, err
	}
	defer sink.Close()
	var count atomic.Int64
	go countReceived(sink, &count)
	stop := make(chan struct{})
	for range senders {
		go sendFlowPackets(stop)
	}
	start := time.Now()
	time.Sleep(floodTime)
	close(stop)
	return count.Load(), time.Since(start), nil
}

// countReceived counts the datagrams that reach the sink until it is closed.
func countReceived(sink *mmsg.Conn, count *atomic.Int64) {
	box := mmsg.NewInbox(0)
	for {
		received, err := sink.Read(box)
		if err != nil {
			return
		}
		count.Add(int64(received))
	}
}

// sendFlowPackets sends packets of an open flow to the relay until stop is closed.
// Their token names the sink as the agent.
func sendFlowPackets(stop chan struct{}) {
	con, err := mmsg.Listen(netip.AddrPortFrom(loopback, 0), false)
	exitOnError(err)
	defer con.Close()
	packet := make([]byte, packetBytes)
	packet[0] = 0x40
	tok := token.New(sinkAddr, lists.ServiceIDOf("s0"), 1, [3]byte{1, 2, 3})
	exitOnError(newKeyring().Seal(tok, time.Time{}, packet[1:]))
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
