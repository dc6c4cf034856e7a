package peer

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/relay"
	"lagoondrum/io/peer/internal/wire"
)

// refusalOfLateRun has run come after the deadline of accepted work, and
// returns the outcome that is told.
func refusalOfLateRun(t *testing.T, toOwner bool) string {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { _ = near.Close() })
	soon := time.Now().Add(messageTimeout)
	go func() {
		req := Request{ToOwner: toOwner, Deadline: time.Now()}
		(&Mesh{}).awaitRun(newConn(far), &req)
	}()
	con := newConn(near)
	stp, err := con.receive(soon)
	assert.NilError(t, err)
	assert.Assert(t, stp.GetAccept() != nil)
	assert.NilError(t, sendBody(con, []byte("x"), soon))
	assert.NilError(t, con.send(&wire.Step{Kind: &wire.Step_Run{Run: &wire.Run{}}}, soon))
	stp, err = con.receive(soon)
	assert.NilError(t, err)
	return stp.GetRefuse().GetOutcome()
}

func TestLateRunProvesNothingAboutEarlierAttempts(t *testing.T) {
	t.Run("a peer never ran it", func(t *testing.T) {
		assert.Equal(t, refusalOfLateRun(t, false), relay.NotRun.String())
	})
	t.Run("an owner may have run it before", func(t *testing.T) {
		assert.Equal(t, refusalOfLateRun(t, true), relay.Unknown.String())
	})
}
