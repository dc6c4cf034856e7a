package flows

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/encap"
	"lagoondrum/core/flow"
	"lagoondrum/core/intent"
)

const longerTimeout = 2 * idleTimeout

func setIdleTimeout(tbl *Table, version uint64, timeout time.Duration) {
	tbl.SetState(intent.NewState(version, nil, timeout))
}

// newTableWithOpenFlow returns a table in which the flow with the test key is
// open and idle since start.
func newTableWithOpenFlow(t *testing.T) *Table {
	t.Helper()
	tbl := newTableWithHalfOpenFlow(t)
	setIdleTimeout(tbl, 1, idleTimeout)
	sendFromClient(tbl, encap.Data, 5001, start)
	tbl.HandleUpstreamPacket(fromUpstream(flow.Ack, 5001, 200), nil, start)
	tbl.TakeActions()
	return tbl
}

// assertVerdict checks what the agent answers about the test flow after a tick.
func assertVerdict(t *testing.T, tbl *Table, now time.Time, want encap.Kind) {
	t.Helper()
	tbl.Tick(now)
	tbl.TakeActions()
	assert.Equal(t, verdictOf(tbl, now), want)
}

// Guards against flows that are removed, and then reset, by the idle timeout that
// was in force when their last packet came.
func TestRaisedIdleTimeoutHoldsForIdleFlows(t *testing.T) {
	t.Run("until the raised timeout", func(t *testing.T) {
		tbl := newTableWithOpenFlow(t)
		setIdleTimeout(tbl, 2, longerTimeout)
		assertVerdict(t, tbl, start.Add(longerTimeout-time.Millisecond), encap.Held)
	})
	t.Run("not for longer", func(t *testing.T) {
		tbl := newTableWithOpenFlow(t)
		setIdleTimeout(tbl, 2, longerTimeout)
		assertVerdict(t, tbl, start.Add(longerTimeout), encap.Absent)
	})
	t.Run("when it was lowered before", func(t *testing.T) {
		tbl := newTableWithOpenFlow(t)
		setIdleTimeout(tbl, 2, idleTimeout/2)
		setIdleTimeout(tbl, 3, longerTimeout)
		assertVerdict(t, tbl, start.Add(longerTimeout), encap.Absent)
	})
	t.Run("closed flows are removed as before", func(t *testing.T) {
		tbl := newTableWithOpenFlow(t)
		tbl.HandleUpstreamPacket(fromUpstream(flow.Rst, 5201, 0), nil, start)
		setIdleTimeout(tbl, 2, longerTimeout)
		assertVerdict(t, tbl, start.Add(closedRetention), encap.Absent)
	})
}

// Guards against flows that are removed while they are idle for less than the
// timeout that applied when their last packet came.
func TestLoweredIdleTimeoutLeavesIdleFlows(t *testing.T) {
	tbl := newTableWithOpenFlow(t)
	setIdleTimeout(tbl, 2, idleTimeout/2)
	assertVerdict(t, tbl, start.Add(idleTimeout-time.Millisecond), encap.Held)
}

// Guards against requests that stop counting as load, or never do, because the
// timeout changed while they were running.
func TestChangedIdleTimeoutLeavesRunningRequests(t *testing.T) {
	for name, timeout := range map[string]time.Duration{"raised": longerTimeout, "lowered": idleTimeout / 2} {
		t.Run(name, func(t *testing.T) {
			tbl := newTableWithHalfOpenFlow(t)
			setIdleTimeout(tbl, 1, idleTimeout)
			sendFromClient(tbl, encap.Data, 5001, start)
			setIdleTimeout(tbl, 2, timeout)
			tbl.Tick(start.Add(stallTimeout / 2))
			assert.Equal(t, tbl.Load(start.Add(stallTimeout/2)).Requests(), 1.0)
			tbl.Tick(start.Add(2 * stallTimeout))
			assert.Assert(t, tbl.Load(start.Add(3*stallTimeout)).Requests() < 0.1)
		})
	}
}
