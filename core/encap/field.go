package encap

// Field is the type of a field in the payload of an agent's heartbeat.
type Field uint8

// The fields of an agent's heartbeat. Receivers skip those that they do not know.
const (
	ColdRoomField Field = iota + 1 // How many openings a cold upstream can take now.
	EvidenceField                  // What callers got from the upstream lately.
	BacklogField                   // What waits for the upstream, and how long.
)

// maxFieldBytes is the longest value of a field.
const maxFieldBytes = 255

// AppendField appends a field to the payload of a heartbeat. A value that is too long
// is left out.
func AppendField(payload []byte, fld Field, value []byte) []byte {
	if len(value) > maxFieldBytes {
		return payload
	}
	return append(append(payload, byte(fld), byte(len(value))), value...)
}

// EachField calls visit for every field of a payload, and reports whether the payload
// was well-formed to its end.
func EachField(payload []byte, visit func(fld Field, value []byte)) bool {
	for len(payload) >= 2 {
		size := int(payload[1])
		if len(payload) < 2+size {
			return false
		}
		visit(Field(payload[0]), payload[2:2+size])
		payload = payload[2+size:]
	}
	return len(payload) == 0
}
