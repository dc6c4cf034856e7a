package simul

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Callers lose fewer requests when upstreams are judged by what callers get, and more
// requests are answered in time. What mute upstreams lose is lost on open flows; load
// reports already keep new ones away. No upstream without a defect is suspect.
func TestJudgedUpstreamsServeCallersBetter(t *testing.T) {
	for _, scn := range BadUpstreamScenarios() {
		t.Run(scn.Name, func(t *testing.T) {
			judged := playSeeds(scn)
			scn.Judged = false
			plain := playSeeds(scn)
			t.Logf("judged: %+v, not judged: %+v, false verdicts: %d", judged.Total, plain.Total, judged.FalseVerdicts)
			if _, mute := scn.Defect.(Muted); mute {
				assert.Assert(t, judged.Total.InTime >= plain.Total.InTime)
			} else {
				assert.Assert(t, judged.Total.InTime > plain.Total.InTime)
			}
			assert.Assert(t, judged.Total.Failed <= plain.Total.Failed)
			assert.Equal(t, judged.FalseVerdicts, 0)
		})
	}
}

// Where no upstream is worse than others, nobody is suspect: after a power loss, in a
// burst, and while all have just started.
func TestJudgingChangesNothingInOverload(t *testing.T) {
	for _, scn := range LoadScenarios() {
		t.Run(scn.Name, func(t *testing.T) {
			scn.Judged = true
			judged := playSeeds(scn)
			t.Logf("%+v", judged.Total)
			assert.Equal(t, judged.FalseVerdicts, 0)
		})
	}
}
