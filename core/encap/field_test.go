package encap

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestFields(t *testing.T) {
	payload := AppendField(AppendField(nil, ColdRoomField, []byte{7}), BacklogField, nil)
	read := func(payload []byte) (fields map[Field]string, ok bool) {
		fields = map[Field]string{}
		ok = EachField(payload, func(fld Field, value []byte) { fields[fld] = string(value) })
		return fields, ok
	}
	t.Run("round trip", func(t *testing.T) {
		fields, ok := read(payload)
		assert.Assert(t, ok)
		assert.DeepEqual(t, fields, map[Field]string{ColdRoomField: "\x07", BacklogField: ""})
	})
	t.Run("truncated payload", func(t *testing.T) {
		fields, ok := read(payload[:len(payload)-1])
		assert.Assert(t, !ok)
		assert.DeepEqual(t, fields, map[Field]string{ColdRoomField: "\x07"})
	})
	t.Run("value that is too long", func(t *testing.T) {
		assert.Equal(t, len(AppendField(nil, EvidenceField, make([]byte, maxFieldBytes+1))), 0)
	})
}
