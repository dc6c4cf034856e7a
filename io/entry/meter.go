package entry

import (
	tally "github.com/uber-go/tally/v4"

	"lagoondrum/core/route"
	"lagoondrum/io/stats"
)

// meter counts what the data path does.
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

func (mtr *meter) verdict(rsn route.Reason) { mtr.verdicts[rsn].Inc(1) }
func (mtr *meter) returned()                { mtr.returns.Inc(1) }
func (mtr *meter) detoured()                { mtr.detours.Inc(1) }
func (mtr *meter) badFrame()                { mtr.badFrames.Inc(1) }

func (mtr *meter) refused(count int) {
	if count > 0 {
		mtr.unsent.Inc(int64(count))
	}
}
