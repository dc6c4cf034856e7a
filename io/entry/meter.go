package entry

import (
	tally "github.com/uber-go/tally/v4"

	"lagoondrum/core/route"
	"lagoondrum/io/stats"
)

// meter counts the datagrams of the data path by what happened to them.
type meter struct {
	verdicts  [route.ReasonCount]tally.Counter
	returns   tally.Counter
	detours   tally.Counter
	badFrames tally.Counter
	unsent    tally.Counter
}

func newMeter(scope *stats.Scope) *meter {
	mtr := &meter{
		returns:   scope.Counter("datagramsReturned"),
		detours:   scope.Counter("datagramsDetoured"),
		badFrames: scope.Counter("badFrames"),
		unsent:    scope.Counter("datagramsUnsent"),
	}
	for rsn := range route.ReasonCount {
		mtr.verdicts[rsn] = scope.Counter("datagrams", "verdict", route.Reason(rsn).String())
	}
	return mtr
}

func (mtr *meter) countVerdict(rsn route.Reason) { mtr.verdicts[rsn].Inc(1) }
func (mtr *meter) countReturned()                { mtr.returns.Inc(1) }
func (mtr *meter) countDetoured()                { mtr.detours.Inc(1) }
func (mtr *meter) countBadFrame()                { mtr.badFrames.Inc(1) }

// countUnsent counts datagrams that the kernel refused to send.
func (mtr *meter) countUnsent(count int) {
	if count > 0 {
		mtr.unsent.Inc(int64(count))
	}
}
