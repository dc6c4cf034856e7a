package carry

import (
	"context"
	"time"
)

// ticker calls tick when it is due. A wake brings the next tick forward to at most
// busyTick from now.
type ticker struct {
	tick func(now time.Time) (next time.Time)
	wake <-chan struct{}
}

// Serve calls tick until ctx ends.
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
