package spread

import (
	"encoding/binary"
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

// Overlay is the place of one process among all for one list of VMs. It is
// immutable: building it ranks the whole fleet, so it is kept until the list
// changes.
type Overlay struct {
	peers []netip.AddrPort
	rank  int
}

// NewOverlay returns the place of the process self in a zone. Without a list it
// has no peers and reads the platform itself.
func NewOverlay(vms *lists.VMs, self netip.AddrPort, zone string) *Overlay {
	ovl := &Overlay{}
	if vms == nil {
		return ovl
	}
	own := rankOf(self, zone)
	var near, far []ranked
	for _, vm := range vms.All() {
		peer := ranked{vm.Address(), rankOf(vm.Address(), self.String())}
		switch {
		case vm.Address() == self:
		case vm.Zone() == zone:
			near = append(near, peer)
			ovl.rank += countIf(!vm.Leaving() && rankOf(vm.Address(), zone) > own)
		default:
			far = append(far, peer)
		}
	}
	ovl.peers = append(topRanked(near, NearPeers), topRanked(far, FarPeers)...)
	return ovl
}

// Peers returns the processes to exchange lists with: some of the own
// availability zone and some of others, by rendezvous, so that the loads are
// even and a change of the fleet moves few of them.
func (ovl *Overlay) Peers() []netip.AddrPort { return ovl.peers }

// Rank returns the place among the readers of the zone, from 0. Processes below
// ReadersPerZone watch the platform.
func (ovl *Overlay) Rank() int { return ovl.rank }

type ranked struct {
	addr netip.AddrPort
	rank uint64
}

func countIf(is bool) int {
	if is {
		return 1
	}
	return 0
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

func topRanked(peers []ranked, count int) []netip.AddrPort {
	sort.Slice(peers, func(i, j int) bool { return peers[i].rank > peers[j].rank })
	var top []netip.AddrPort
	for _, peer := range peers[:min(count, len(peers))] {
		top = append(top, peer.addr)
	}
	return top
}

// rankOf hashes an address under a seed.
func rankOf(addr netip.AddrPort, seed string) uint64 {
	raw := make([]byte, 0, len(seed)+addrBytes)
	raw = append(raw, seed...)
	ip := addr.Addr().As4()
	raw = append(raw, ip[:]...)
	raw = binary.BigEndian.AppendUint16(raw, addr.Port())
	return xxhash.Sum64(raw)
}

const addrBytes = 6
