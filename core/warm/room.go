package warm

import (
	"encoding/binary"
	"math"
	"time"
)

// Report is what an agent tells balancers of its upstream's room.
type Report struct {
	room      uint16
	limit     uint16
	balancers uint16 // Among which the room is shared.
}

// reportBytes is the encoded length of a report.
const reportBytes = 6

// NewReport returns the report of an agent that so many balancers send openings to.
func NewReport(room, limit, balancers int) Report {
	return Report{room: uint16(room), limit: uint16(limit), balancers: uint16(min(max(balancers, 1), math.MaxUint16))}
}

// Append appends the encoded report.
func (rep Report) Append(buf []byte) []byte {
	buf = binary.BigEndian.AppendUint16(buf, rep.room)
	buf = binary.BigEndian.AppendUint16(buf, rep.limit)
	return binary.BigEndian.AppendUint16(buf, rep.balancers)
}

// ParseReport decodes a report, and returns false if it is malformed.
func ParseReport(buf []byte) (Report, bool) {
	if len(buf) != reportBytes || binary.BigEndian.Uint16(buf[4:]) == 0 {
		return Report{}, false
	}
	return Report{room: binary.BigEndian.Uint16(buf), limit: binary.BigEndian.Uint16(buf[2:]), balancers: binary.BigEndian.Uint16(buf[4:])}, true
}

// Room is a balancer's estimate of its part of the room that a cold upstream has: what
// the agent reported, less the openings sent since, and what has come back since at
// the limit's pace. The zero value is that of an agent without a report, which is given
// one opening to find out.
type Room struct {
	known bool
	left  float64 // At the time at.
	at    time.Time
	pace  float64 // Openings a second of this balancer's part; 0 when not reported.
	most  float64
}

// NewRoom returns the estimate after a report.
func NewRoom(rep Report, now time.Time) Room {
	part := 1 / float64(rep.balancers)
	return Room{known: true, left: float64(rep.room) * part, at: now, pace: float64(rep.limit) * part, most: math.Max(float64(rep.limit)*part, 1)}
}

// Sent returns the estimate after an opening.
func (rom Room) Sent(limit int, now time.Time) Room {
	rom = rom.advanced(limit, now)
	rom.left--
	return rom
}

// Refused returns the estimate after a refusal by the agent.
func (rom Room) Refused(limit int, now time.Time) Room {
	rom = rom.advanced(limit, now)
	rom.left = math.Min(rom.left, 0)
	return rom
}

// Wait returns how long it takes until there is room for an opening.
func (rom Room) Wait(limit int, now time.Time) time.Duration {
	rom = rom.advanced(limit, now)
	if rom.left >= 1 {
		return 0
	}
	if !(rom.pace > 0) {
		return math.MaxInt64
	}
	return time.Duration((1 - rom.left) / rom.pace * float64(time.Second))
}

// advanced returns the estimate brought up to now.
func (rom Room) advanced(limit int, now time.Time) Room {
	if !rom.known {
		return Room{known: true, left: math.Min(1, float64(limit)), at: now, pace: float64(limit), most: 1}
	}
	if elapsed := now.Sub(rom.at).Seconds(); elapsed > 0 {
		rom.left = math.Min(rom.left+elapsed*rom.pace, rom.most)
		rom.at = now
	}
	return rom
}
