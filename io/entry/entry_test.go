package entry_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"lagoondrum/core/frame"
	"lagoondrum/core/lists"
	"lagoondrum/core/table"
	"lagoondrum/core/token"
	"lagoondrum/io/entry"
	"lagoondrum/io/stats"
)

const (
	entryPortA    = 24443
	entryPortB    = 24444
	answerTimeout = 5 * time.Second
)

var (
	loopback     = netip.MustParseAddr("127.0.0.1")
	balancerA    = netip.AddrPortFrom(loopback, 24401)
	balancerB    = netip.AddrPortFrom(loopback, 24402)
	agentAddress = netip.AddrPortFrom(loopback, 24403)
)

func startEntry(t *testing.T, port int, self netip.AddrPort, zone string) {
	t.Helper()
	loc := table.NewLocality(zone, "", self)
	ent, err := entry.New(port, loc, stats.New(zone), zap.NewNop())
	assert.NilError(t, err)
	pls, err := lists.ParsePlans([]byte("[service feed]\n[plan gold]\n[grant gold feed]\naddress = 127.0.0.1\nupstreams = 1\nshare = 1\n[end]\n"))
	assert.NilError(t, err)
	vms, err := lists.ParseVMs(fmt.Appendf(nil, "[vm u]\naddress = %s\nzone = a\nservice = feed\n"+
		"[vm a]\nrole = balancer\naddress = %s\nzone = a\n[vm b]\nrole = balancer\naddress = %s\nzone = b\n[end]\n", agentAddress, balancerA, balancerB))
	assert.NilError(t, err)
	ent.SetTable(table.New(pls, vms, loc), newKeyring(t))
	sup := suture.NewSimple(zone)
	ent.Supervise(sup)
	ctx, cancel := context.WithCancel(context.Background())
	done := sup.ServeBackground(ctx)
	t.Cleanup(func() {
		ent.Close()
		cancel()
		<-done
	})
}

func newKeyring(t *testing.T) *token.Keyring {
	t.Helper()
	kys, err := lists.ParseKeys(fmt.Appendf(nil, "[key 1]\nsecret = %064x\n[end]\n", 1))
	assert.NilError(t, err)
	return token.NewKeyring().With(kys, time.Now())
}

// startUnreachableAgent starts an agent whose link to balancer A is cut in both
// directions. It answers every packet that A detours through B.
func startUnreachableAgent(t *testing.T) {
	t.Helper()
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(agentAddress))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = udp.Close() })
	go func() {
		buf := make([]byte, 2048)
		for {
			count, from, err := udp.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			hdr, ok := frame.Parse(buf[:count])
			if !ok || from != balancerB || !hdr.Has(frame.DetouredFlag) {
				continue
			}
			out := make([]byte, frame.HeaderBytes, 64)
			frame.Return(hdr.Caller(), hdr.Address(), 0, false).Put(out)
			_, _ = udp.WriteToUDPAddrPort(append(out, "answer"...), from)
		}
	}()
}

// TestCutLinkIsDetoured checks that a balancer whose link to an agent is cut detours
// the packets of an open flow through a balancer in another zone, and that the
// agent's answers reach the caller.
func TestCutLinkIsDetoured(t *testing.T) {
	startEntry(t, entryPortA, balancerA, "a")
	startEntry(t, entryPortB, balancerB, "b")
	startUnreachableAgent(t)
	packet := make([]byte, 100)
	packet[0] = 0x40
	tok := token.New(agentAddress, lists.ServiceIDOf("feed"), 1, [3]byte{1, 2, 3})
	assert.NilError(t, newKeyring(t).Seal(tok, time.Now(), packet[1:]))
	caller, err := net.ListenUDP("udp4", &net.UDPAddr{IP: loopback.AsSlice()})
	assert.NilError(t, err)
	defer caller.Close()
	entryA := netip.AddrPortFrom(loopback, entryPortA)
	start := time.Now()
	buf := make([]byte, 64)
	for time.Since(start) < answerTimeout {
		_, err := caller.WriteToUDPAddrPort(packet, entryA)
		assert.NilError(t, err)
		_ = caller.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if count, _, err := caller.ReadFromUDPAddrPort(buf); err == nil {
			assert.Equal(t, string(buf[:count]), "answer")
			return
		}
	}
	t.Fatalf("no answer through the balancer in the other zone within %s", answerTimeout)
}
