package trial

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

// Change is what happens to a fleet while flows are open.
type Change struct {
	Name    string
	Added   int     // Upstreams that join.
	Leaving int     // Upstreams that are marked as leaving.
	Behind  float64 // Part of the balancers that still hold the old lists.
	Moved   bool    // Callers come back from new ports.
}

const (
	openFlows       = 4000
	packetsPerFlow  = 8
	changeUpstreams = 36
)

type noLinks struct{}

func (noLinks) Link(netip.AddrPort) *health.Link { return nil }

// Broken returns which part of the open flows a change breaks, by a table that
// hashes the caller's address and port, and by tokens: a flow is broken when
// any of its packets goes to another agent than the one that owns it.
func Broken(chg Change, seed uint64) (byHash, byToken float64) {
	rnd := rand.New(rand.NewPCG(seed, seed))
	before, after := changeTables(chg)
	ring := changeRing()
	hashBroken, tokenBroken := 0, 0
	for num := range openFlows {
		caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, byte(num >> 8), byte(num)}), 5000)
		owner := hashed(before, caller)
		packet := flowPacket(ring, owner, uint16(num))
		if chg.Moved {
			caller = netip.AddrPortFrom(caller.Addr(), 6000)
		}
		lostHash, lostToken := false, false
		for range packetsPerFlow {
			tab := after
			if rnd.Float64() < chg.Behind {
				tab = before
			}
			lostHash = lostHash || hashed(tab, caller) != owner
			ver := route.New(tab, ring, noLinks{}).Decide(caller, Address(0), packet)
			lostToken = lostToken || ver.Target() != owner
		}
		hashBroken += count(lostHash)
		tokenBroken += count(lostToken)
	}
	return float64(hashBroken) / openFlows, float64(tokenBroken) / openFlows
}

func count(is bool) int {
	if is {
		return 1
	}
	return 0
}

func hashed(tab *table.Table, caller netip.AddrPort) netip.AddrPort {
	ent, _ := tab.Lookup(Address(0))
	first, _ := ent.Choose(xxhash.Sum64String(caller.String()), func(netip.AddrPort) bool { return true })
	return first
}

func changeTables(chg Change) (before, after *table.Table) {
	place := table.NewPlace("z0", "r", netip.AddrPort{})
	pls, vms := FleetLists(changeUpstreams, 1)
	_, next := FleetTexts(changeUpstreams+chg.Added, 1)
	for num := range chg.Leaving {
		next = markLeaving(next, num)
	}
	changed, err := lists.ParseVMs([]byte(next))
	if err != nil {
		panic(err)
	}
	return table.New(pls, vms, place), table.New(pls, changed, place)
}

func changeRing() *token.Ring {
	kys, err := lists.ParseKeys([]byte("[key 1]\nsecret = 000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f\n[end]\n"))
	if err != nil {
		panic(err)
	}
	return token.NewRing().With(kys, time.Time{})
}

func flowPacket(ring *token.Ring, owner netip.AddrPort, serial uint16) []byte {
	packet := make([]byte, 1+token.Bytes)
	packet[0] = 0x40
	tok := token.New(owner, lists.IDOf("s0"), serial, [3]byte{1, 2, 3})
	if err := ring.Seal(tok, time.Time{}, packet[1:]); err != nil {
		panic(err)
	}
	return packet
}
