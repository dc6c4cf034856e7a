package health_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/health"
)

func TestDelayAfterPause(t *testing.T) {
	pse := &health.PauseDetector{}
	assert.Equal(t, pse.Delay(now), time.Duration(0))
	pse.Tick(now)
	pse.Tick(now.Add(100 * time.Millisecond))
	assert.Equal(t, pse.Delay(now.Add(200*time.Millisecond)), time.Duration(0))
	resumed := now.Add(100*time.Millisecond + 4*time.Second)
	assert.Equal(t, pse.Delay(resumed), 4*time.Second, "before the first tick after the pause")
	pse.Tick(resumed)
	assert.Equal(t, pse.Delay(resumed.Add(10*time.Millisecond)), 4*time.Second)
	for at := resumed; at.Before(resumed.Add(health.BacklogTime)); at = at.Add(100 * time.Millisecond) {
		pse.Tick(at)
	}
	assert.Equal(t, pse.Delay(resumed.Add(health.BacklogTime)), time.Duration(0))
}
