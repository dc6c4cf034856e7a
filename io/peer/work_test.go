package peer

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/relay"
	"lagoondrum/io/peer/internal/wire"
)

// lateRunRefusal sends run for accepted work after its deadline and returns the
// outcome in the receiver's refusal.
func lateRunRefusal(t *testing.T, toOwner bool) string {
	t.Helper()
	senderSide, peerSide := net.Pipe()
	t.Cleanup(func() { _ = senderSide.Close() })
	deadline := time.Now().Add(messageTimeout)
	go func() {
		req := Request{ToOwner: toOwner, Deadline: time.Now()}
		(&Mesh{}).awaitRun(newConn(peerSide), &req)
	}()
	con := newConn(senderSide)
	stp, err := con.receive(deadline)
	assert.NilError(t, err)
	assert.Assert(t, stp.GetAccept() != nil)
	assert.NilError(t, sendBody(con, []byte("x"), deadline))
	assert.NilError(t, con.send(&wire.Step{Kind: &wire.Step_Run{Run: &wire.Run{}}}, deadline))
	stp, err = con.receive(deadline)
	assert.NilError(t, err)
	return stp.GetRefuse().GetOutcome()
}

// TestLateRunProvesNothingAboutEarlierAttempts checks the outcome that is sent when
// run arrives after the deadline: a retry at the owner must not report notRun, since
// an earlier attempt may have run the work.
func TestLateRunProvesNothingAboutEarlierAttempts(t *testing.T) {
	t.Run("peer reports not run", func(t *testing.T) {
		assert.Equal(t, lateRunRefusal(t, false), relay.NotRun.String())
	})
	t.Run("owner reports unknown", func(t *testing.T) {
		assert.Equal(t, lateRunRefusal(t, true), relay.Unknown.String())
	})
}
