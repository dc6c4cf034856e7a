package gossip

import (
	"encoding/binary"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"lagoondrum/core/fleet"
)

// appendMemory encodes what the sender remembers of upstreams and agents.
func appendMemory(buf []byte, mem fleet.Memory, now time.Time) []byte {
	for _, rmv := range mem.Removed() {
		buf = protowire.AppendTag(buf, fieldRemoved, protowire.BytesType)
		buf = protowire.AppendBytes(buf, encodeRemoved(rmv, now))
	}
	for _, rst := range mem.Restarting() {
		buf = protowire.AppendTag(buf, fieldRestart, protowire.BytesType)
		buf = protowire.AppendBytes(buf, encodeRestart(rst, now))
	}
	return appendNonzero(buf, fieldSettled, protowire.EncodeBool(mem.Settled()))
}

func encodeRemoved(rmv fleet.Removed, now time.Time) []byte {
	lst := rmv.Listing()
	buf := appendText(nil, removedID, lst.ID)
	buf = appendText(buf, removedService, lst.Service)
	buf = appendUint(buf, removedIP, uint64(binary.BigEndian.Uint32(lst.Address[:])))
	buf = appendUint(buf, removedPort, uint64(lst.Port))
	buf = appendText(buf, removedZone, lst.Zone)
	buf = appendUint(buf, removedSlots, uint64(lst.Slots))
	buf = appendNonzero(buf, removedDraining, protowire.EncodeBool(lst.Draining))
	buf = appendNonzero(buf, removedStart, uint64(lst.StartMillis))
	buf = appendUint(buf, removedAge, toMillis(now.Sub(rmv.RemovedAt())))
	if rmv.LapsedUntil().IsZero() {
		return buf
	}
	return appendNonzero(buf, removedLapse, toMillis(rmv.LapsedUntil().Sub(now)))
}

func encodeRestart(rst fleet.Restart, now time.Time) []byte {
	return appendUint(appendText(nil, restartID, rst.ID()), restartRemaining, toMillis(rst.Until().Sub(now)))
}

func appendText(buf []byte, num protowire.Number, text string) []byte {
	return protowire.AppendString(protowire.AppendTag(buf, num, protowire.BytesType), text)
}

// memoryFields collects the fields of a message that hold the sender's memory.
type memoryFields struct {
	removed    []fleet.Removed
	restarting []fleet.Restart
	settled    bool
}

// decode takes a field of an update. Unknown ones are left out.
func (mry *memoryFields) decode(num protowire.Number, value uint64, raw []byte, now time.Time) error {
	switch num {
	case fieldRemoved:
		rmv, err := decodeRemoved(raw, now)
		if err != nil {
			return err
		}
		mry.removed = append(mry.removed, rmv)
	case fieldRestart:
		rst, err := decodeRestart(raw, now)
		if err != nil {
			return err
		}
		mry.restarting = append(mry.restarting, rst)
	case fieldSettled:
		mry.settled = protowire.DecodeBool(value)
	}
	return nil
}

func decodeRemoved(buf []byte, now time.Time) (fleet.Removed, error) {
	var lst fleet.Listing
	var lapsedUntil time.Time
	removedAt := now
	err := eachField(buf, func(num protowire.Number, value uint64, raw []byte) error {
		switch num {
		case removedID:
			lst.ID = string(raw)
		case removedService:
			lst.Service = string(raw)
		case removedIP:
			binary.BigEndian.PutUint32(lst.Address[:], uint32(value))
		case removedPort:
			lst.Port = uint16(value)
		case removedZone:
			lst.Zone = string(raw)
		case removedSlots:
			lst.Slots = int(min(value, 1<<16))
		case removedDraining:
			lst.Draining = protowire.DecodeBool(value)
		case removedStart:
			lst.StartMillis = int64(value)
		case removedAge:
			removedAt = now.Add(-fromMillis(value))
		case removedLapse:
			lapsedUntil = now.Add(fromMillis(value))
		}
		return nil
	})
	return fleet.NewRemoved(lst, removedAt, lapsedUntil), err
}

func decodeRestart(buf []byte, now time.Time) (fleet.Restart, error) {
	var id string
	until := now
	err := eachField(buf, func(num protowire.Number, value uint64, raw []byte) error {
		switch num {
		case restartID:
			id = string(raw)
		case restartRemaining:
			until = now.Add(fromMillis(value))
		}
		return nil
	})
	return fleet.NewRestart(id, until), err
}
