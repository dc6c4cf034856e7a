package gossip

import (
	"encoding/binary"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"lagoondrum/core/fleet"
	"lagoondrum/core/flow"
	"lagoondrum/core/intent"
	"lagoondrum/core/mirror"
)

// Field numbers of the messages, which are encoded as protobuf.
const (
	fieldAfter         protowire.Number = 1
	fieldRevision      protowire.Number = 2
	fieldFull          protowire.Number = 3
	fieldItem          protowire.Number = 4
	fieldHistoryAge    protowire.Number = 5 // Age of the start of the history in milliseconds; if absent, the history starts now.
	fieldFormerService protowire.Number = 6
	fieldConfirmedAge  protowire.Number = 7 // Milliseconds since the state was last confirmed to be the newest, plus 1; absent if it never was.
	fieldEra           protowire.Number = 8 // Of the store, at fieldRevision; absent if 0.
	fieldRemoved       protowire.Number = 9
	fieldRestart       protowire.Number = 10
	fieldSettled       protowire.Number = 11 // Absent if an upstream may be lacking that holds flows.

	itemKey      protowire.Number = 1
	itemValue    protowire.Number = 2
	itemRevision protowire.Number = 3
	itemDeleted  protowire.Number = 4
	itemEra      protowire.Number = 5 // Of the store, at itemRevision; absent if 0.
	itemMark     protowire.Number = 6 // Absent if the item is not marked.

	formerIP        protowire.Number = 1
	formerPort      protowire.Number = 2
	formerService   protowire.Number = 3
	formerRemaining protowire.Number = 4 // Milliseconds until the last of its flows has ended.

	removedID       protowire.Number = 1
	removedService  protowire.Number = 2
	removedIP       protowire.Number = 3
	removedPort     protowire.Number = 4
	removedZone     protowire.Number = 5
	removedSlots    protowire.Number = 6
	removedDraining protowire.Number = 7
	removedStart    protowire.Number = 8  // Unix time in ms; absent if unknown.
	removedAge      protowire.Number = 9  // Milliseconds since the entry's removal was learned.
	removedLapse    protowire.Number = 10 // Milliseconds for which the upstream still gets new flows; absent if it gets none.

	restartID        protowire.Number = 1 // Of the upstream beside the agent.
	restartRemaining protowire.Number = 2 // Milliseconds until the agent is no longer waited for.
)

// maxMillis bounds durations in messages.
const maxMillis = uint64(1 << 40)

// CodecError reports a message that is not valid protobuf.
type CodecError struct{ cause error }

func (err *CodecError) Error() string { return "gossip: malformed message: " + err.cause.Error() }

// Unwrap returns the cause.
func (err *CodecError) Unwrap() error { return err.cause }

// update holds the changes between two positions, or the full state, the history of
// former routes, and what the sender remembers of upstreams and agents.
type update struct {
	after    mirror.Position
	position mirror.Position
	full     bool
	items    []mirror.Item

	history     intent.History
	memory      fleet.Memory
	confirmedAt time.Time // Zero when the state was never confirmed.
}

// encode encodes the update. Times are sent relative to now, because clocks
// differ between VMs.
func (upd update) encode(now time.Time) []byte {
	buf := appendUint(nil, fieldAfter, uint64(upd.after))
	buf = appendUint(buf, fieldRevision, upd.position.Revision())
	buf = appendNonzero(buf, fieldEra, upd.position.Era())
	buf = appendUint(buf, fieldFull, protowire.EncodeBool(upd.full))
	for _, itm := range upd.items {
		buf = protowire.AppendTag(buf, fieldItem, protowire.BytesType)
		buf = protowire.AppendBytes(buf, encodeItem(itm))
	}
	buf = appendUint(buf, fieldHistoryAge, toMillis(now.Sub(upd.history.Since())))
	for _, fsv := range upd.history.FormerServices() {
		buf = protowire.AppendTag(buf, fieldFormerService, protowire.BytesType)
		buf = protowire.AppendBytes(buf, encodeFormerService(fsv, now))
	}
	if !upd.confirmedAt.IsZero() {
		buf = appendUint(buf, fieldConfirmedAge, 1+toMillis(now.Sub(upd.confirmedAt)))
	}
	return appendMemory(buf, upd.memory, now)
}

func encodeFormerService(fsv intent.FormerService, now time.Time) []byte {
	ip := fsv.Address().IP()
	buf := appendUint(nil, formerIP, uint64(binary.BigEndian.Uint32(ip[:])))
	buf = appendUint(buf, formerPort, uint64(fsv.Address().Port()))
	buf = protowire.AppendTag(buf, formerService, protowire.BytesType)
	buf = protowire.AppendString(buf, fsv.Service())
	return appendUint(buf, formerRemaining, toMillis(fsv.Until().Sub(now)))
}

// toMillis returns a duration in milliseconds, between 0 and maxMillis.
func toMillis(span time.Duration) uint64 { return min(uint64(max(span.Milliseconds(), 0)), maxMillis) }

// fromMillis returns a duration of at most maxMillis milliseconds.
func fromMillis(millis uint64) time.Duration {
	return time.Duration(min(millis, maxMillis)) * time.Millisecond
}

func encodeItem(itm mirror.Item) []byte {
	buf := protowire.AppendTag(nil, itemKey, protowire.BytesType)
	buf = protowire.AppendString(buf, itm.Key())
	buf = protowire.AppendTag(buf, itemValue, protowire.BytesType)
	buf = protowire.AppendBytes(buf, itm.Value())
	buf = appendUint(buf, itemRevision, itm.Position().Revision())
	buf = appendNonzero(buf, itemEra, itm.Position().Era())
	buf = appendNonzero(buf, itemMark, uint64(itm.Mark()))
	return appendUint(buf, itemDeleted, protowire.EncodeBool(itm.Deleted()))
}

func appendUint(buf []byte, num protowire.Number, value uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(buf, num, protowire.VarintType), value)
}

func appendNonzero(buf []byte, num protowire.Number, value uint64) []byte {
	if value == 0 {
		return buf
	}
	return appendUint(buf, num, value)
}

// decodeUpdate decodes an update and takes now as the time when it was encoded.
func decodeUpdate(buf []byte, now time.Time) (update, error) {
	var upd update
	var fsvs []intent.FormerService
	var mry memoryFields
	var era, revision uint64
	since := now
	err := eachField(buf, func(num protowire.Number, value uint64, raw []byte) error {
		switch num {
		case fieldAfter:
			upd.after = mirror.Position(value)
		case fieldRevision:
			revision = value
		case fieldEra:
			era = value
		case fieldFull:
			upd.full = protowire.DecodeBool(value)
		case fieldItem:
			itm, err := decodeItem(raw)
			if err != nil {
				return err
			}
			upd.items = append(upd.items, itm)
		case fieldHistoryAge:
			since = now.Add(-fromMillis(value))
		case fieldFormerService:
			fsv, err := decodeFormerService(raw, now)
			if err != nil {
				return err
			}
			fsvs = append(fsvs, fsv)
		case fieldConfirmedAge:
			upd.confirmedAt = now.Add(-fromMillis(value - min(value, 1)))
		default:
			return mry.decode(num, value, raw, now)
		}
		return nil
	})
	upd.history = intent.NewHistory(since, fsvs)
	upd.memory = fleet.NewMemory(mry.removed, mry.restarting, mry.settled)
	if err == nil {
		upd.position, err = mirror.At(era, revision)
	}
	return upd, err
}

func decodeFormerService(buf []byte, now time.Time) (intent.FormerService, error) {
	var ip [4]byte
	var port uint16
	var service string
	until := now
	err := eachField(buf, func(num protowire.Number, value uint64, raw []byte) error {
		switch num {
		case formerIP:
			binary.BigEndian.PutUint32(ip[:], uint32(value))
		case formerPort:
			port = uint16(value)
		case formerService:
			service = string(raw)
		case formerRemaining:
			until = now.Add(fromMillis(value))
		}
		return nil
	})
	return intent.NewFormerService(flow.NewEndpoint(ip, port), service, until), err
}

func decodeItem(buf []byte) (mirror.Item, error) {
	var key string
	var val []byte
	var revision, era, mark, deleted uint64
	err := eachField(buf, func(num protowire.Number, value uint64, raw []byte) error {
		switch num {
		case itemKey:
			key = string(raw)
		case itemValue:
			val = raw
		case itemRevision:
			revision = value
		case itemEra:
			era = value
		case itemMark:
			mark = value
		case itemDeleted:
			deleted = value
		}
		return nil
	})
	if err != nil {
		return mirror.Item{}, err
	}
	position, err := mirror.At(era, revision)
	if protowire.DecodeBool(deleted) {
		return mirror.NewDeletion(key, position), err
	}
	itm := mirror.NewItem(key, val, position)
	if mark <= uint64(mirror.Lacked) { // A mark of a later version is left out.
		itm = itm.WithMark(mirror.Mark(mark))
	}
	return itm, err
}

// eachField calls visit for every field of a message: with value for a varint,
// with raw for bytes.
func eachField(buf []byte, visit func(num protowire.Number, value uint64, raw []byte) error) error {
	for len(buf) > 0 {
		num, typ, size := protowire.ConsumeTag(buf)
		if size < 0 {
			return &CodecError{cause: protowire.ParseError(size)}
		}
		buf = buf[size:]
		var value uint64
		var raw []byte
		switch typ {
		case protowire.VarintType:
			value, size = protowire.ConsumeVarint(buf)
		case protowire.BytesType:
			raw, size = protowire.ConsumeBytes(buf)
		default:
			size = protowire.ConsumeFieldValue(num, typ, buf)
		}
		if size < 0 {
			return &CodecError{cause: protowire.ParseError(size)}
		}
		buf = buf[size:]
		if err := visit(num, value, raw); err != nil {
			return err
		}
	}
	return nil
}
