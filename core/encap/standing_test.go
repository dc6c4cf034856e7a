package encap

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestStandingOfAHeartbeat(t *testing.T) {
	read := func(hdr Header) Header {
		buf := make([]byte, HeaderBytes)
		hdr.Put(buf)
		parsed, ok := Parse(buf)
		assert.Assert(t, ok)
		return parsed
	}
	hdr := read(NewHeartbeat(0, 1, 7).WithStanding("north", Out))
	assert.Equal(t, hdr.StandingIn("north"), Out)
	assert.Equal(t, hdr.StandingIn("south"), NoStanding)
	assert.Equal(t, hdr.Revision(), uint64(7))
	assert.Equal(t, read(NewHeartbeat(0, 1, 7)).StandingIn("north"), NoStanding, "of an earlier version")
}
