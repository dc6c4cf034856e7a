package gossip

import (
	"google.golang.org/protobuf/encoding/protowire"

	"lagoondrum/core/mirror"
)

// Fields of the messages, in the encoding of protobuf.
const (
	fieldAfter    protowire.Number = 1
	fieldRevision protowire.Number = 2
	fieldWhole    protowire.Number = 3
	fieldItem     protowire.Number = 4

	itemKey      protowire.Number = 1
	itemValue    protowire.Number = 2
	itemRevision protowire.Number = 3
	itemDeleted  protowire.Number = 4
)

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
}

func (upd update) encode() []byte {
	buf := appendUint(nil, fieldAfter, upd.after)
	buf = appendUint(buf, fieldRevision, upd.revision)
	buf = appendUint(buf, fieldWhole, protowire.EncodeBool(upd.whole))
	for _, itm := range upd.items {
		buf = protowire.AppendTag(buf, fieldItem, protowire.BytesType)
		buf = protowire.AppendBytes(buf, encodeItem(itm))
	}
	return buf
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

func decodeUpdate(buf []byte) (update, error) {
	var upd update
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
		}
		return nil
	})
	return upd, err
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
