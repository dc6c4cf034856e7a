package spread

import (
	"net/netip"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"lagoondrum/core/lists"
)

// Sizes of the overlay and timing of the readers.
const (
	NearPeers      = 3 // Peers in the own availability zone.
	FarPeers       = 2 // Peers in other availability zones.
	ReadersPerZone = 2
	TakeoverAfter  = 40 * time.Second // Without word of a reader, others read.
	takeoverStep   = 500 * time.Millisecond
	maxTakeover    = 40 * time.Second
)

func hashOf(raw []byte) uint64 { return xxhash.Sum64(raw) }

// Peers returns the processes that self exchanges lists with: some of its own
// availability zone and some of others, by rendezvous, so that the loads are
// even and a change of the fleet moves few of them.
func Peers(vms *lists.VMs, self netip.AddrPort, zone string) []netip.AddrPort {
	if vms == nil {
		return nil
	}
	var near, far []netip.AddrPort
	for _, vm := range vms.All() {
		switch {
		case vm.Address() == self:
		case vm.Zone() == zone:
			near = append(near, vm.Address())
		default:
			far = append(far, vm.Address())
		}
	}
	peers := topRanked(near, self.String(), NearPeers)
	return append(peers, topRanked(far, self.String(), FarPeers)...)
}

// ReaderRank returns the place of self among the readers of its zone, from 0.
// Processes below ReadersPerZone watch the platform.
func ReaderRank(vms *lists.VMs, self netip.AddrPort, zone string) int {
	if vms == nil {
		return 0
	}
	own := rankOf(self, zone)
	rank := 0
	for _, vm := range vms.All() {
		if vm.Zone() == zone && !vm.Leaving() && vm.Address() != self && rankOf(vm.Address(), zone) > own {
			rank++
		}
	}
	return rank
}

// TakeoverAt returns when a process of a rank reads the platform itself unless
// it hears of a reader's success before.
func TakeoverAt(confirmed time.Time, rank int) time.Time {
	if rank < ReadersPerZone {
		return confirmed
	}
	step := min(time.Duration(rank)*takeoverStep, maxTakeover)
	return confirmed.Add(TakeoverAfter + step)
}

func topRanked(addrs []netip.AddrPort, seed string, count int) []netip.AddrPort {
	sort.Slice(addrs, func(i, j int) bool { return rankOf(addrs[i], seed) > rankOf(addrs[j], seed) })
	return addrs[:min(count, len(addrs))]
}

func rankOf(addr netip.AddrPort, seed string) uint64 {
	return xxhash.Sum64String(seed + "|" + addr.String())
}
