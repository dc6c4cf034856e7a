package dissem

import (
	"encoding/binary"
	"net/netip"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"lagoondrum/core/lists"
)

// Sizes of the overlay and timing of a takeover.
const (
	SameZonePeers      = 3                      // Peers in the same availability zone.
	OtherZonePeers     = 2                      // Peers in other availability zones.
	ReadersPerZone     = 2                      // Processes of a zone that watch the platform.
	TakeoverAfter      = 40 * time.Second       // Other processes read when no reader confirmed the lists for this long.
	takeoverStagger    = 500 * time.Millisecond // Added for each rank, so that not all processes read at once.
	maxTakeoverStagger = 40 * time.Second
)

// hashOf returns the hash of a canonical text.
func hashOf(raw []byte) uint64 { return xxhash.Sum64(raw) }

// Overlay holds the peers of one process and its rank among the readers of its
// zone, for one list of VMs. It is immutable and kept until the list changes,
// because building it scores the whole fleet.
type Overlay struct {
	peers []netip.AddrPort
	rank  int
}

// NewOverlay returns the overlay of the process self in a zone. Without a list
// it has no peers and rank 0, so that the process reads the platform itself.
func NewOverlay(vms *lists.VMs, self netip.AddrPort, zone string) *Overlay {
	ovl := &Overlay{}
	if vms == nil {
		return ovl
	}
	ownScore := scoreOf(self, zone)
	var sameZone, otherZones []scoredPeer
	for _, vm := range vms.All() {
		peer := scoredPeer{vm.Address(), scoreOf(vm.Address(), self.String())}
		switch {
		case vm.Address() == self:
		case vm.Zone() == zone:
			sameZone = append(sameZone, peer)
			ovl.rank += countIf(!vm.Leaving() && scoreOf(vm.Address(), zone) > ownScore)
		default:
			otherZones = append(otherZones, peer)
		}
	}
	ovl.peers = append(topScored(sameZone, SameZonePeers), topScored(otherZones, OtherZonePeers)...)
	return ovl
}

// Peers returns the processes to exchange lists with, some in the same
// availability zone and some in others. Rendezvous hashing selects them, so that
// the exchanges are spread evenly and a change of the fleet replaces few peers.
func (ovl *Overlay) Peers() []netip.AddrPort { return ovl.peers }

// Rank returns how many processes of the zone, leaving ones excluded, come
// before this one as readers. Processes with a rank below ReadersPerZone watch
// the platform.
func (ovl *Overlay) Rank() int { return ovl.rank }

// scoredPeer is a peer with its rendezvous score.
type scoredPeer struct {
	addr  netip.AddrPort
	score uint64
}

// countIf returns 1 if cond is true, else 0.
func countIf(cond bool) int {
	if cond {
		return 1
	}
	return 0
}

// TakeoverAt returns when a process of a rank reads the platform itself unless
// it learns of a reader's success by then. confirmed is when a reader last
// compared the lists with the platform.
func TakeoverAt(confirmed time.Time, rank int) time.Time {
	if rank < ReadersPerZone {
		return confirmed
	}
	stagger := min(time.Duration(rank)*takeoverStagger, maxTakeoverStagger)
	return confirmed.Add(TakeoverAfter + stagger)
}

// topScored returns the addresses of the count peers with the highest scores.
func topScored(peers []scoredPeer, count int) []netip.AddrPort {
	sort.Slice(peers, func(i, j int) bool { return peers[i].score > peers[j].score })
	var top []netip.AddrPort
	for _, peer := range peers[:min(count, len(peers))] {
		top = append(top, peer.addr)
	}
	return top
}

// scoreOf returns the rendezvous score of an address under a seed.
func scoreOf(addr netip.AddrPort, seed string) uint64 {
	raw := make([]byte, 0, len(seed)+addrBytes)
	raw = append(raw, seed...)
	ip := addr.Addr().As4()
	raw = append(raw, ip[:]...)
	raw = binary.BigEndian.AppendUint16(raw, addr.Port())
	return xxhash.Sum64(raw)
}

const addrBytes = 6 // An IPv4 address and a port.
