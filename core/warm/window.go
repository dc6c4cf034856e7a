package warm

import "time"

// window counts events in any span of time. It keeps the times of as many events as are
// allowed in one: there is room for another when the oldest of them has left the span.
type window struct {
	times []time.Time
	next  int // Index of the oldest.
}

// newWindow returns a window without room until a span after now: what happened before
// is not known.
func newWindow(limit int, now time.Time) window {
	win := window{times: make([]time.Time, limit)}
	for i := range win.times {
		win.times[i] = now
	}
	return win
}

// resized returns a window of another limit with the same events. Events that it would
// have kept are taken to be as late as the oldest that is known.
func (win window) resized(limit int, now time.Time) window {
	if len(win.times) == 0 {
		return newWindow(limit, now)
	}
	other := newWindow(limit, win.times[win.next])
	for i := range win.times {
		other.add(win.times[(win.next+i)%len(win.times)])
	}
	return other
}

// add counts an event.
func (win *window) add(at time.Time) {
	if len(win.times) == 0 {
		return
	}
	win.times[win.next] = at
	win.next = (win.next + 1) % len(win.times)
}

// roomAt returns when there is room for another event, the zero time if never.
func (win *window) roomAt() time.Time {
	if len(win.times) == 0 {
		return time.Time{}
	}
	return win.times[win.next].Add(span)
}

// room returns for how many events there is room.
func (win *window) room(now time.Time) int {
	count := 0
	for i := range win.times {
		if now.Before(win.times[(win.next+i)%len(win.times)].Add(span)) {
			break
		}
		count++
	}
	return count
}
