package flows

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/encap"
	"lagoondrum/core/flow"
)

// newTableWithRequest returns a table that collects evidence, with a flow whose request
// the upstream has got.
func newTableWithRequest(t *testing.T) *Table {
	t.Helper()
	tbl := newTableWithHalfOpenFlow(t)
	tbl.CollectEvidence()
	sendFromClient(tbl, encap.Data, 5001, start)
	return tbl
}

// assertEvidence checks how many requests were answered, reset and not answered.
func assertEvidence(t *testing.T, tbl *Table, now time.Time, answered, resets, unanswered float64) {
	t.Helper()
	evd := tbl.Evidence(now)
	assert.DeepEqual(t, []float64{evd.Answered(), evd.Resets(), evd.Unanswered()}, []float64{answered, resets, unanswered})
}

func TestEvidence(t *testing.T) {
	t.Run("answer", func(t *testing.T) {
		tbl := newTableWithRequest(t)
		now := start.Add(32 * time.Millisecond)
		tbl.HandleUpstreamPacket(fromUpstream(flow.Ack, 5001, 600), nil, now)
		assertEvidence(t, tbl, now, 1, 0, 0)
		assert.Equal(t, tbl.Evidence(now).MeanTime().Round(time.Millisecond), 32*time.Millisecond)
	})
	t.Run("reset of a request", func(t *testing.T) {
		tbl := newTableWithRequest(t)
		tbl.HandleUpstreamPacket(fromUpstream(flow.Rst, 5001, 0), nil, start)
		assertEvidence(t, tbl, start, 0, 1, 0)
	})
	t.Run("end of an idle flow", func(t *testing.T) {
		tbl := newTableWithRequest(t)
		tbl.HandleUpstreamPacket(fromUpstream(flow.Ack, 5001, 600), nil, start)
		tbl.HandleUpstreamPacket(fromUpstream(flow.Rst, 5601, 0), nil, start)
		assertEvidence(t, tbl, start, 1, 0, 0)
	})
	t.Run("opening without an answer in time", func(t *testing.T) {
		tbl := newTable(true)
		tbl.CollectEvidence()
		tbl.HandleBalancerPacket(encap.New(encap.Open, service, key), fromClient(flow.Syn, 0, 0), nil, balancer, start)
		now := start.Add(openTimeout)
		tbl.Tick(now)
		assertEvidence(t, tbl, now, 0, 0, 1)
		tbl.HandleUpstreamPacket(fromUpstream(flow.Syn|flow.Ack, 5000, 0), nil, now)
		assertEvidence(t, tbl, now, 0, 0, 0)
	})
	t.Run("request without an answer", func(t *testing.T) {
		tbl := newTableWithRequest(t)
		tbl.admission.answerTime = 10 * time.Millisecond
		now := start.Add(2 * overdueFactor * 10 * time.Millisecond)
		tbl.Tick(now)
		assertEvidence(t, tbl, now, 0, 0, 0)
		now = start.Add(unansweredTime)
		tbl.Tick(now)
		assertEvidence(t, tbl, now, 0, 0, 1)
	})
	t.Run("the upstream has ended", func(t *testing.T) {
		tbl := newTableWithRequest(t)
		tbl.HandleUpstreamPacket(fromUpstream(flow.Rst, 5001, 0), nil, start)
		tbl.HandleProbeResult(NotRunning{})
		assertEvidence(t, tbl, start, 0, 0, 0)
	})
	t.Run("nobody judges", func(t *testing.T) {
		tbl := newTableWithHalfOpenFlow(t)
		sendFromClient(tbl, encap.Data, 5001, start)
		tbl.HandleUpstreamPacket(fromUpstream(flow.Rst, 5001, 0), nil, start)
		assertEvidence(t, tbl, start, 0, 0, 0)
	})
}
