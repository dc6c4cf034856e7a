package carry

import (
	"context"
	"time"
)

// ticker calls a process's tick whenever it is due, and soon after a wake.
type ticker struct {
	tick func(now time.Time) (next time.Time)
	wake <-chan struct{}
}

// Serve ticks until ctx ends.
func (tck *ticker) Serve(ctx context.Context) error {
	next := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			next = tck.tick(time.Now())
		case <-tck.wake:
			if soon := time.Now().Add(busyTick); soon.Before(next) {
				next = soon
			}
		}
		timer.Reset(time.Until(next))
	}
}
