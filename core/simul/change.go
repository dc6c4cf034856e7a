package simul

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"lagoondrum/core/health"
	"lagoondrum/core/lists"
	"lagoondrum/core/route"
	"lagoondrum/core/table"
	"lagoondrum/core/token"
)

// Change is a change of a fleet or its callers while flows are open.
type Change struct {
	Name           string
	Added          int     // Upstreams that join.
	Leaving        int     // Upstreams that are marked as leaving.
	StaleBalancers float64 // Fraction of balancers that still hold the old lists; each packet reaches a random balancer.
	CallersMoved   bool    // Callers continue their flows from new ports.
}

// Size of the simulation.
const (
	openFlows       = 4000
	packetsPerFlow  = 8
	changeFleetSize = 36
)

// noLinks reports no health link for any agent.
type noLinks struct{}

func (noLinks) Link(netip.AddrPort) *health.Link { return nil }

// BrokenFlows returns the fractions of open flows that a change breaks, with
// packets routed by a hash of the caller's address and port, and by tokens. A
// flow is broken if any of its packets goes to an agent that does not own it.
func BrokenFlows(chg Change, seed uint64) (byHash, byToken float64) {
	rnd := rand.New(rand.NewPCG(seed, seed))
	before, after := changeTables(chg)
	krg := changeKeyring()
	hashBroken, tokenBroken := 0, 0
	for num := range openFlows {
		caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, byte(num >> 8), byte(num)}), 5000)
		owner := hashOwner(before, caller)
		packet := flowPacket(krg, owner, uint16(num))
		if chg.CallersMoved {
			caller = netip.AddrPortFrom(caller.Addr(), 6000)
		}
		hashMiss, tokenMiss := false, false
		for range packetsPerFlow {
			tab := after
			if rnd.Float64() < chg.StaleBalancers {
				tab = before
			}
			hashMiss = hashMiss || hashOwner(tab, caller) != owner
			ver := route.New(tab, krg, noLinks{}).Decide(caller, GrantAddress(0), packet)
			tokenMiss = tokenMiss || ver.Target() != owner
		}
		hashBroken += boolToInt(hashMiss)
		tokenBroken += boolToInt(tokenMiss)
	}
	return float64(hashBroken) / openFlows, float64(tokenBroken) / openFlows
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(cond bool) int {
	if cond {
		return 1
	}
	return 0
}

// hashOwner returns the agent that the hash of a caller's address and port
// selects.
func hashOwner(tab *table.Table, caller netip.AddrPort) netip.AddrPort {
	ent, _ := tab.Lookup(GrantAddress(0))
	first, _ := ent.Choose(xxhash.Sum64String(caller.String()), func(netip.AddrPort) bool { return true })
	return first
}

// changeTables returns the routing tables before and after a change.
func changeTables(chg Change) (before, after *table.Table) {
	loc := table.NewLocality("z0", "r", netip.AddrPort{})
	pls, vms := FleetLists(changeFleetSize, 1)
	_, next := FleetTexts(changeFleetSize+chg.Added, 1)
	for num := range chg.Leaving {
		next = markLeaving(next, num)
	}
	changed, err := lists.ParseVMs([]byte(next))
	if err != nil {
		panic(err)
	}
	return table.New(pls, vms, loc), table.New(pls, changed, loc)
}

// changeKeyring returns a keyring with one key.
func changeKeyring() *token.Keyring {
	kys, err := lists.ParseKeys([]byte("[key 1]\nsecret = 000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f\n[end]\n"))
	if err != nil {
		panic(err)
	}
	return token.NewKeyring().With(kys, time.Time{})
}

// flowPacket returns a short-header QUIC packet whose connection ID is a token of
// the owner.
func flowPacket(krg *token.Keyring, owner netip.AddrPort, serial uint16) []byte {
	packet := make([]byte, 1+token.Bytes)
	packet[0] = 0x40
	tok := token.New(owner, lists.ServiceIDOf("s0"), serial, [3]byte{1, 2, 3})
	if err := krg.Seal(tok, time.Time{}, packet[1:]); err != nil {
		panic(err)
	}
	return packet
}
