package health_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/health"
)

func TestDelayAfterPause(t *testing.T) {
	det := health.NewPauseDetector(now)
	assert.Equal(t, det.Delay(now), time.Duration(0))
	det.Tick(now)
	det.Tick(now.Add(100 * time.Millisecond))
	assert.Equal(t, det.Delay(now.Add(200*time.Millisecond)), time.Duration(0))
	resumed := now.Add(100*time.Millisecond + 4*time.Second)
	assert.Equal(t, det.Delay(resumed), 4*time.Second, "before the first tick after the pause")
	det.Tick(resumed)
	assert.Equal(t, det.Delay(resumed.Add(10*time.Millisecond)), 4*time.Second)
	for at := resumed; at.Before(resumed.Add(health.BacklogTime)); at = at.Add(100 * time.Millisecond) {
		det.Tick(at)
	}
	assert.Equal(t, det.Delay(resumed.Add(health.BacklogTime)), time.Duration(0))
}

// A process may be stopped right after its start, before it has ticked for the first
// time.
func TestDelayAfterPauseBeforeTheFirstTick(t *testing.T) {
	det := health.NewPauseDetector(now)
	resumed := now.Add(3 * time.Second)
	assert.Equal(t, det.Delay(resumed), 3*time.Second)
	det.Tick(resumed)
	assert.Equal(t, det.Delay(resumed.Add(time.Millisecond)), 3*time.Second)
}
