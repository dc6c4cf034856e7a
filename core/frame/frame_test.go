package frame_test

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"lagoondrum/core/frame"
)

func TestHeaderRoundTrip(t *testing.T) {
	caller := netip.MustParseAddrPort("198.51.100.7:5000")
	address := netip.MustParseAddr("192.0.2.1")
	agent := netip.MustParseAddrPort("10.0.0.1:7842")
	for name, hdr := range map[string]frame.Header{
		"forward": frame.Forward(caller, address, 7),
		"first":   frame.Forward(caller, address, 7).WithSecondChoice(agent, frame.NewLoad(5, 10, 1, 4)),
		"detour":  frame.Forward(caller, address, 7).Detour(agent),
		"passed":  frame.Forward(caller, address, 7).Pass(agent, 9),
		"return":  frame.Return(caller, address, frame.NewLoad(1, 2, 3, 4), true),
	} {
		t.Run(name, func(t *testing.T) {
			var buf [frame.HeaderBytes]byte
			hdr.Put(buf[:])
			got, ok := frame.Parse(buf[:])
			assert.Assert(t, ok)
			assert.Equal(t, got.Kind(), hdr.Kind())
			assert.Equal(t, got.Caller(), hdr.Caller())
			assert.Equal(t, got.Address(), hdr.Address())
			assert.Equal(t, got.Load(), hdr.Load())
			assert.Equal(t, got.Has(frame.FirstFlightFlag), hdr.Has(frame.FirstFlightFlag))
			assert.Equal(t, got.Has(frame.LeavingFlag), hdr.Has(frame.LeavingFlag))
		})
	}
}

func TestOnlyPaddedInitialsOpenFlows(t *testing.T) {
	initialPacket := make([]byte, 1200)
	initialPacket[0], initialPacket[5] = 0xc0, 8
	for name, tc := range map[string]struct {
		packet  []byte
		valid   bool
		initial bool
	}{
		"initial":                {initialPacket, true, true},
		"short initial":          {initialPacket[:600], true, false},
		"handshake":              {append([]byte{0xe0}, initialPacket[1:]...), true, false},
		"connection ID too long": {append([]byte{0xc0, 0, 0, 0, 1, 21}, initialPacket[6:]...), false, false},
		"too short":              {[]byte{0x40, 1}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			pkt, ok := frame.ParsePacket(tc.packet)
			assert.Equal(t, ok, tc.valid)
			assert.Equal(t, pkt.Initial(), tc.initial)
		})
	}
}

func FuzzParse(f *testing.F) {
	var buf [frame.HeaderBytes + 40]byte
	frame.Ping().Put(buf[:])
	f.Add(buf[:])
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, raw []byte) {
		if hdr, ok := frame.Parse(raw); ok {
			var out [frame.HeaderBytes]byte
			hdr.Put(out[:])
			reparsed, ok := frame.Parse(out[:])
			assert.Assert(t, ok && reparsed == hdr)
		}
		if pkt, ok := frame.ParsePacket(raw); ok {
			assert.Assert(t, len(pkt.CID()) <= 20)
		}
	})
}
