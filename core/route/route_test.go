package route_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/frame"
	"lagoondrum/core/health"
	"lagoondrum/core/lists"
	"lagoondrum/core/route"
	"lagoondrum/core/table"
	"lagoondrum/core/token"
)

var (
	now      = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	caller   = netip.MustParseAddrPort("198.51.100.7:5000")
	feedAddr = netip.MustParseAddr("192.0.2.1")
	agent    = netip.MustParseAddrPort("10.0.0.1:7842")
	balancer = netip.MustParseAddrPort("10.0.9.1:7842")
)

// linkMap holds the links to agents by address.
type linkMap map[netip.AddrPort]*health.Link

func (lkm linkMap) Link(agent netip.AddrPort) *health.Link { return lkm[agent] }

func newKeyring(t *testing.T) *token.Keyring {
	t.Helper()
	kys, err := lists.ParseKeys(fmt.Appendf(nil, "[key 1]\nsecret = %064x\n[end]\n", 1))
	assert.NilError(t, err)
	return token.NewKeyring().With(kys, now)
}

// routerOf returns a router in zone a, with an agent in zone a, a balancer in zone
// b, and the given [grant] sections.
func routerOf(t *testing.T, grants string, links linkMap) *route.Router {
	t.Helper()
	pls, err := lists.ParsePlans([]byte("[service feed]\n[service photo]\n[plan gold]\n" + grants + "[end]\n"))
	assert.NilError(t, err)
	vms, err := lists.ParseVMs([]byte("[vm u]\naddress = 10.0.0.1:7842\nzone = a\nservice = feed\n" +
		"[vm b]\nrole = balancer\naddress = 10.0.9.1:7842\nzone = b\n[end]\n"))
	assert.NilError(t, err)
	return route.New(table.New(pls, vms, table.NewLocality("a", "", netip.AddrPort{})), newKeyring(t), links)
}

const feedGrant = "[grant gold feed]\naddress = 192.0.2.1\nupstreams = 1\nshare = 1\n"

// openPacket returns a packet of an open flow: its connection ID is a token.
func openPacket(t *testing.T) []byte {
	t.Helper()
	packet := make([]byte, 1+token.Bytes)
	packet[0] = 0x40
	tok := token.New(agent, lists.ServiceIDOf("feed"), 1, [3]byte{1, 2, 3})
	assert.NilError(t, newKeyring(t).Seal(tok, now, packet[1:]))
	return packet
}

// assertVerdict checks the reason and the target of a verdict.
func assertVerdict(t *testing.T, ver route.Verdict, want route.Reason, target netip.AddrPort) {
	t.Helper()
	assert.Equal(t, ver.Reason().String(), want.String())
	assert.Equal(t, ver.Target(), target)
}

func TestOpenFlowOutlivesItsGrant(t *testing.T) {
	rtr := routerOf(t, "", linkMap{})
	assertVerdict(t, rtr.Decide(caller, feedAddr, openPacket(t)), route.OpenFlow, agent)
}

func TestAddressOfOtherServiceDropsTheFlow(t *testing.T) {
	rtr := routerOf(t, "[grant gold photo]\naddress = 192.0.2.1\nupstreams = 1\nshare = 1\n", linkMap{})
	assertVerdict(t, rtr.Decide(caller, feedAddr, openPacket(t)), route.OtherService, netip.AddrPort{})
}

func TestNewFlowNeedsAGrant(t *testing.T) {
	packet := make([]byte, 1200)
	packet[0], packet[5] = 0xc0, 8
	assertVerdict(t, routerOf(t, "", linkMap{}).Decide(caller, feedAddr, packet), route.UnknownAddress, netip.AddrPort{})
	assertVerdict(t, routerOf(t, feedGrant, linkMap{}).Decide(caller, feedAddr, packet), route.FirstFlight, agent)
}

func TestSilentAgentIsReachedOverAnotherZone(t *testing.T) {
	lnk := &health.Link{}
	rtr := routerOf(t, feedGrant, linkMap{agent: lnk})
	ver := rtr.Decide(caller, feedAddr, openPacket(t))
	assert.Equal(t, rtr.NextHop(ver, now).Address(), agent)
	for at := now; !lnk.Silent(); at = at.Add(100 * time.Millisecond) {
		lnk.NoteSent(at)
		lnk.Poll(at)
	}
	nxt := rtr.NextHop(ver, now)
	assert.Equal(t, nxt.Address(), balancer)
	assert.Equal(t, nxt.Header().Kind(), frame.DetourKind)
	forwarded, ok := rtr.DecideDetour(nxt.Header(), openPacket(t))
	assert.Assert(t, ok)
	assert.Equal(t, forwarded.Address(), agent)
	_, again := rtr.DecideDetour(forwarded.Header().Detour(agent), openPacket(t))
	assert.Assert(t, !again, "a packet was detoured twice")
}
