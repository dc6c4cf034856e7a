package flows

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/encap"
)

func TestWhatCountsAgainstTheColdLimit(t *testing.T) {
	for name, tc := range map[string]struct {
		event func(tbl *Table)
		room  int // Of three.
	}{
		"an opening":                 {func(*Table) {}, 2},
		"a copy of it":               {func(tbl *Table) { openFlow(tbl, 1, true, start) }, 1},
		"its first request does not": {func(tbl *Table) { sendRequest(tbl, 1, 5001, start) }, 2},
		"a later request on its flow": {func(tbl *Table) {
			sendRequest(tbl, 1, 5001, start)
			sendAnswer(tbl, 1, start)
			sendRequest(tbl, 1, 5201, start)
		}, 1},
		"a request of an earlier flow": {func(tbl *Table) { tbl.complete = false; sendRequest(tbl, 9, 5001, start) }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			tbl := newTable(true)
			tbl.Cold().SetLimit(3, true, start.Add(-time.Hour))
			tbl.Cold().SetEntry("a", start.Add(time.Minute))
			acceptOpening(tbl, 1, start)
			tc.event(tbl)
			assert.Equal(t, tbl.Cold().Room(start), tc.room)
			tbl.TakeActions()
			for port := range uint16(2) {
				acts := openFlow(tbl, 10+port, true, start)
				allowed := int(port) < tc.room
				assertActionCount(t, acts, ToUpstream, map[bool]int{true: 1}[allowed])
				assert.Equal(t, allowed || acts[0].Header().Reason() == encap.ColdLimit, true)
			}
			acts := openFlow(tbl, 1, true, start) // Beyond the limit by now.
			assertActionCount(t, acts, ToUpstream, 0)
			assertNotified(t, acts, encap.Opened)
		})
	}
}
