package carry

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"lagoondrum/core/encap"
	"lagoondrum/core/fleet"
	"lagoondrum/core/judge"
	"lagoondrum/io/stats"
)

// newTestJudge returns the judge of a fleet of four upstreams, and its log.
func newTestJudge(now time.Time) (*upstreamJudge, *observer.ObservedLogs) {
	flt := fleet.New()
	for num := range 4 {
		flt.PutEntry(fleet.NewUpstream(fleet.Listing{ID: fmt.Sprint(num), Service: "feed", Address: vmIP(num), Slots: 2}, now), now)
	}
	zco, lines := observer.New(zapcore.InfoLevel)
	return newJudgeOf(flt, zap.New(zco), stats.New("test")), lines
}

// evidence returns the field of an upstream of which every request was answered, or
// every second one was reset.
func evidence(resets bool, now time.Time) []byte {
	win := judge.NewWindow()
	for range 20 {
		win.NoteAnswer(testAddress, 30*time.Millisecond, now)
		if resets {
			win.NoteReset(now)
		}
	}
	return encap.AppendField(nil, encap.EvidenceField, win.Evidence(now).Append(nil))
}

func TestVerdictIsLogged(t *testing.T) {
	now := time.Now()
	ujg, lines := newTestJudge(now)
	blc := &balancer{judge: ujg}
	for num := range 4 {
		blc.noteFields(ujg.fleet.Agent(vmIP(num)), evidence(num == 2, now), now)
	}
	ujg.review(now)
	assert.Equal(t, lines.Len(), 1)
	fields := lines.All()[0].ContextMap()
	assert.Equal(t, fields["upstream"], "2")
	assert.Equal(t, fields["reason"], "failures")
	assert.Equal(t, fields["suspect"], true)
	ujg.review(now.Add(reviewInterval))
	assert.Equal(t, lines.Len(), 1)
}

func TestEvidenceThatIsMalformedOrNotAskedForChangesNothing(t *testing.T) {
	now := time.Now()
	ujg, _ := newTestJudge(now)
	agt := ujg.fleet.Agent(vmIP(1))
	assert.Assert(t, !ujg.hear(agt, []byte{1, 2, 3}, now))
	(&balancer{}).noteFields(agt, evidence(true, now), now)
	assert.Assert(t, agt.Judged().HeardAt().IsZero())
}
