package peer

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"lagoondrum/core/dissem"
	"lagoondrum/core/inidoc"
	"lagoondrum/core/lists"
	"lagoondrum/io/peer/internal/wire"
)

// TestUpdateSurvivesTheWire checks that an update is unchanged after encoding and
// decoding.
func TestUpdateSurvivesTheWire(t *testing.T) {
	upd := dissem.NewUpdate(lists.PlansName, dissem.NewVersion(1, 2), dissem.NewVersion(3, 4),
		[]string{"[plan a]\n", "[plan b]\n"}, []string{"plan c"})
	encoded, err := encodeUpdate(upd)
	assert.NilError(t, err)
	got, err := decodeUpdate(encoded)
	assert.NilError(t, err)
	assert.Equal(t, got.Name(), upd.Name())
	assert.Equal(t, got.Base(), upd.Base())
	assert.Equal(t, got.Version(), upd.Version())
	assert.DeepEqual(t, got.Changed(), upd.Changed())
	assert.DeepEqual(t, got.Removed(), upd.Removed())
}

// FuzzStep checks that no message from a peer causes a panic, and that a decoded
// update inflates to at most 2*inidoc.MaxBytes.
func FuzzStep(f *testing.F) {
	upd, err := encodeUpdate(dissem.NewUpdate(lists.PlansName, dissem.Version{}, dissem.NewVersion(1, 1), []string{"[plan a]\n"}, nil))
	assert.NilError(f, err)
	raw, err := proto.Marshal(exchangeStep(&wire.Exchange{Updates: []*wire.Update{upd}}))
	assert.NilError(f, err)
	f.Add(raw)
	f.Add([]byte{0x0a, 0x01})
	f.Fuzz(func(t *testing.T, raw []byte) {
		stp := &wire.Step{}
		if proto.Unmarshal(raw, stp) != nil {
			return
		}
		_ = decodeOffer(stp.GetOffer())
		for _, upd := range stp.GetExchange().GetUpdates() {
			got, err := decodeUpdate(upd)
			if err != nil {
				continue
			}
			size := 0
			for _, body := range got.Changed() {
				size += len(body)
			}
			assert.Assert(t, size <= 2*inidoc.MaxBytes)
		}
	})
}
