package gossip

import (
	"encoding/binary"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"lagoondrum/core/flow"
	"lagoondrum/core/intent"
	"lagoondrum/core/mirror"
)

// Fields of the messages, in the encoding of protobuf.
const (
	fieldAfter         protowire.Number = 1
	fieldRevision      protowire.Number = 2
	fieldWhole         protowire.Number = 3
	fieldItem          protowire.Number = 4
	fieldReach         protowire.Number = 5 // How far the history reaches back, ms; without it there is none.
	fieldFormerService protowire.Number = 6
	fieldAge           protowire.Number = 7 // Since the state was known to be the newest, ms, plus 1; without it never.

	itemKey      protowire.Number = 1
	itemValue    protowire.Number = 2
	itemRevision protowire.Number = 3
	itemDeleted  protowire.Number = 4

	formerIP      protowire.Number = 1
	formerPort    protowire.Number = 2
	formerService protowire.Number = 3
	formerLeft    protowire.Number = 4 // Until the last of its flows has ended, ms.
)

// maxMillis bounds lengths of time in messages.
const maxMillis = uint64(1 << 40)

// CodecError reports a message that cannot be decoded.
type CodecError struct{ cause error }

func (err *CodecError) Error() string { return "gossip: " + err.cause.Error() }

// Unwrap returns the cause.
func (err *CodecError) Unwrap() error { return err.cause }

// update is what changed between two revisions, or a whole state.
type update struct {
	after    uint64
	revision uint64
	whole    bool
	items    []mirror.Item

	history     intent.History
	confirmedAt time.Time // Zero when the state was never confirmed.
}

// encode returns the message. Times travel as their distance from now, as clocks
// differ.
func (upd update) encode(now time.Time) []byte {
	buf := appendUint(nil, fieldAfter, upd.after)
	buf = appendUint(buf, fieldRevision, upd.revision)
	buf = appendUint(buf, fieldWhole, protowire.EncodeBool(upd.whole))
	for _, itm := range upd.items {
		buf = protowire.AppendTag(buf, fieldItem, protowire.BytesType)
		buf = protowire.AppendBytes(buf, encodeItem(itm))
	}
	buf = appendUint(buf, fieldReach, millis(now.Sub(upd.history.Since())))
	for _, fsv := range upd.history.FormerServices() {
		buf = protowire.AppendTag(buf, fieldFormerService, protowire.BytesType)
		buf = protowire.AppendBytes(buf, encodeFormerService(fsv, now))
	}
	if !upd.confirmedAt.IsZero() {
		buf = appendUint(buf, fieldAge, 1+millis(now.Sub(upd.confirmedAt)))
	}
	return buf
}

func encodeFormerService(fsv intent.FormerService, now time.Time) []byte {
	ip := fsv.Address().IP()
	buf := appendUint(nil, formerIP, uint64(binary.BigEndian.Uint32(ip[:])))
	buf = appendUint(buf, formerPort, uint64(fsv.Address().Port()))
	buf = protowire.AppendTag(buf, formerService, protowire.BytesType)
	buf = protowire.AppendString(buf, fsv.Service())
	return appendUint(buf, formerLeft, millis(fsv.Until().Sub(now)))
}

func millis(span time.Duration) uint64 { return min(uint64(max(span.Milliseconds(), 0)), maxMillis) }

func span(millis uint64) time.Duration {
	return time.Duration(min(millis, maxMillis)) * time.Millisecond
}

func encodeItem(itm mirror.Item) []byte {
	buf := protowire.AppendTag(nil, itemKey, protowire.BytesType)
	buf = protowire.AppendString(buf, itm.Key())
	buf = protowire.AppendTag(buf, itemValue, protowire.BytesType)
	buf = protowire.AppendBytes(buf, itm.Value())
	buf = appendUint(buf, itemRevision, itm.Revision())
	return appendUint(buf, itemDeleted, protowire.EncodeBool(itm.Deleted()))
}

func appendUint(buf []byte, num protowire.Number, value uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(buf, num, protowire.VarintType), value)
}

func decodeUpdate(buf []byte, now time.Time) (update, error) {
	var upd update
	var fsvs []intent.FormerService
	since := now
	err := eachField(buf, func(num protowire.Number, value uint64, raw []byte) error {
		switch num {
		case fieldAfter:
			upd.after = value
		case fieldRevision:
			upd.revision = value
		case fieldWhole:
			upd.whole = protowire.DecodeBool(value)
		case fieldItem:
			itm, err := decodeItem(raw)
			if err != nil {
				return err
			}
			upd.items = append(upd.items, itm)
		case fieldReach:
			since = now.Add(-span(value))
		case fieldFormerService:
			fsv, err := decodeFormerService(raw, now)
			if err != nil {
				return err
			}
			fsvs = append(fsvs, fsv)
		case fieldAge:
			upd.confirmedAt = now.Add(-span(value - min(value, 1)))
		}
		return nil
	})
	upd.history = intent.NewHistory(since, fsvs)
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
		case formerLeft:
			until = now.Add(span(value))
		}
		return nil
	})
	return intent.NewFormerService(flow.NewEndpoint(ip, port), service, until), err
}

func decodeItem(buf []byte) (mirror.Item, error) {
	var key string
	var val []byte
	var revision, deleted uint64
	err := eachField(buf, func(num protowire.Number, value uint64, raw []byte) error {
		switch num {
		case itemKey:
			key = string(raw)
		case itemValue:
			val = raw
		case itemRevision:
			revision = value
		case itemDeleted:
			deleted = value
		}
		return nil
	})
	if protowire.DecodeBool(deleted) {
		return mirror.NewDeletion(key, revision), err
	}
	return mirror.NewItem(key, val, revision), err
}

// eachField calls visit for every field of a message.
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
