package encap

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"lagoondrum/core/flow"
)

// Standing is what a balancer says of its share of its zone's traffic.
type Standing uint8

// The standings.
const (
	NoStanding Standing = iota // Not told: an earlier version, or one that never leaves the rotation.
	Sound                      // It carries its share.
	Weak                       // It passes packets on late.
	Out                        // It has left the rotation because it was weak.
	standingEnd
)

var standingNames = [standingEnd]string{"none", "sound", "weak", "out"}

// String returns the standing's name in logs.
func (std Standing) String() string { return standingNames[std] }

// WithStanding returns the header of a balancer's heartbeat with the standing of the
// sender in its availability zone. It takes the place of the flow's key.
func (hdr Header) WithStanding(zone string, std Standing) Header {
	var buf [flow.KeyBytes]byte
	binary.BigEndian.PutUint64(buf[:], xxhash.Sum64String(zone))
	buf[8] = byte(std)
	hdr.key = flow.ParseKey(buf[:])
	return hdr
}

// StandingIn returns the standing of the sender of a heartbeat in an availability zone,
// NoStanding if it is in another one or tells none.
func (hdr Header) StandingIn(zone string) Standing {
	var buf [flow.KeyBytes]byte
	hdr.key.Put(buf[:])
	if binary.BigEndian.Uint64(buf[:]) != xxhash.Sum64String(zone) || buf[8] >= byte(standingEnd) {
		return NoStanding
	}
	return Standing(buf[8])
}
