package flows

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/encap"
	"lagoondrum/core/flow"
	"lagoondrum/core/intent"
)

// The explained refusal is the one that the opening gets.
func TestExplainedRefusal(t *testing.T) {
	for name, tc := range map[string]struct {
		build func(t *testing.T) *Table
		want  encap.Reason
	}{
		"idle":      {func(*testing.T) *Table { return newTable(true) }, encap.NoReason},
		"full":      {newFullTable, encap.Full},
		"leaving":   {func(*testing.T) *Table { tbl := newTable(true); tbl.SetLeaving(true); return tbl }, encap.Leaving},
		"evacuated": {func(*testing.T) *Table { tbl := newTable(true); tbl.SetEvacuated(true); return tbl }, encap.Evacuated},
		"down": {func(*testing.T) *Table {
			tbl := newTable(true)
			tbl.HandleProbeResult(NotRunning{})
			return tbl
		}, encap.Down},
		"cold": {func(*testing.T) *Table {
			tbl := newTable(true)
			tbl.Cold().SetEntry("a", start.Add(time.Minute))
			tbl.Cold().SetLimit(0, true, start)
			return tbl
		}, encap.ColdLimit},
	} {
		t.Run(name, func(t *testing.T) {
			tbl := tc.build(t)
			before := *tbl.Cold()
			exp := tbl.Explain(key, start)
			assert.Equal(t, exp.Refusal(), tc.want)
			assert.Equal(t, exp.UnderWay() >= exp.Limit() && exp.Slots() > 0, tc.want == encap.Full)
			assert.Equal(t, tbl.Explain(key, start), exp)
			assert.Equal(t, tbl.Cold().TakeRefused(), before.TakeRefused())
			got := encap.NoReason
			tbl.TakeActions()
			tbl.HandleBalancerPacket(encap.New(encap.Open, service, key), fromClient(flow.Syn, 0, 0), nil, balancer, start)
			for _, act := range tbl.TakeActions() {
				if act.Kind() == ToBalancer && act.Header().Kind() == encap.Refused {
					got = act.Header().Reason()
				}
			}
			assert.Equal(t, got, tc.want)
		})
	}
}

func TestExplainedRoute(t *testing.T) {
	tbl := newTable(true)
	for service, want := range map[string]bool{"plaque-feed": true, "upload": false} {
		rte := intent.NewRoute("r", []intent.Share{intent.NewShare(service, 1)})
		tbl.SetState(intent.NewState(1, map[flow.Endpoint]*intent.Route{address: rte}, idleTimeout))
		assert.Equal(t, tbl.Explain(key, start).LeadsHere(), want)
	}
}
