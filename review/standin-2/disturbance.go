package main

import (
	"sync"
	"time"
)

// contactTime is contact-ms: a process counts as in touch so long after its last
// disturbance.
const contactTime = 4 * time.Second

// disturbances keeps when each process was disturbed last.
type disturbances struct {
	mu   sync.Mutex
	last map[*machine]time.Time
}

func (dst *disturbances) note(mch *machine) {
	dst.mu.Lock()
	defer dst.mu.Unlock()
	dst.last[mch] = time.Now()
}

// calmFor returns how long ago the last disturbance of any process was.
func (dst *disturbances) calmFor(now time.Time) time.Duration {
	dst.mu.Lock()
	defer dst.mu.Unlock()
	calm := time.Hour
	for _, at := range dst.last {
		calm = min(calm, now.Sub(at))
	}
	return calm
}

// calmSince returns how long before a time the last disturbance of a process was.
func (dst *disturbances) calmSince(mch *machine, now time.Time) time.Duration {
	dst.mu.Lock()
	defer dst.mu.Unlock()
	if at, found := dst.last[mch]; found {
		return now.Sub(at)
	}
	return time.Hour
}
