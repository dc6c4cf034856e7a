package health_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/health"
)

var now = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func note(ups *health.Upstream, ev health.Evidence, times int) {
	for range times {
		ups.Note(ev, now)
	}
}

func TestColdUpstreamRaisesLimit(t *testing.T) {
	ups := health.NewUpstream(4)
	assert.Equal(t, ups.Limit(now), 1)
	note(ups, health.Success{}, 4)
	assert.Equal(t, ups.Limit(now), 2)
	note(ups, health.Success{}, 100)
	assert.Equal(t, ups.Limit(now), 4)
}

func TestSheddingHalvesTheLimit(t *testing.T) {
	ups := health.NewUpstream(4)
	note(ups, health.Success{}, 100)
	note(ups, health.Shed{}, 1)
	assert.Equal(t, ups.Limit(now), 2)
	assert.Assert(t, ups.Refusing(now))
	assert.Assert(t, !ups.Refusing(now.Add(time.Minute)))
	note(ups, health.Shed{}, 10)
	assert.Equal(t, ups.Limit(now), 1)
}

func TestDownUpstreamIsRetried(t *testing.T) {
	ups := health.NewUpstream(4)
	note(ups, health.Success{}, 100)
	note(ups, health.Failure{}, 5)
	assert.Assert(t, ups.Down())
	assert.Equal(t, ups.Limit(now), 0)
	assert.Equal(t, ups.Limit(now.Add(time.Second)), 1)
	note(ups, health.Success{}, 1)
	assert.Assert(t, !ups.Down())
}
