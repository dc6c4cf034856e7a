package simul

import (
	"container/heap"
	"time"
)

// Timeline runs actions in the order of virtual time. Actions that are due at the
// same time run in the order in which they were scheduled.
type Timeline struct {
	now    time.Time
	queue  timedActions
	serial int
}

// NewTimeline returns a timeline that begins at start.
func NewTimeline(start time.Time) *Timeline { return &Timeline{now: start} }

// Now returns the virtual time.
func (tln *Timeline) Now() time.Time { return tln.now }

// Schedule runs an action after a delay.
func (tln *Timeline) Schedule(delay time.Duration, action func()) {
	tln.serial++
	heap.Push(&tln.queue, timedAction{due: tln.now.Add(delay), serial: tln.serial, action: action})
}

// Advance runs the actions of the next span of virtual time.
func (tln *Timeline) Advance(span time.Duration) {
	until := tln.now.Add(span)
	for len(tln.queue) > 0 && !tln.queue[0].due.After(until) {
		act := heap.Pop(&tln.queue).(timedAction)
		tln.now = act.due
		act.action()
	}
	tln.now = until
}

// timedAction is an action that runs at a point in virtual time.
type timedAction struct {
	due    time.Time
	serial int
	action func()
}

// timedActions is a heap with the action that is due first on top.
type timedActions []timedAction

func (que timedActions) Len() int { return len(que) }
func (que timedActions) Less(i, j int) bool {
	if que[i].due.Equal(que[j].due) {
		return que[i].serial < que[j].serial
	}
	return que[i].due.Before(que[j].due)
}
func (que timedActions) Swap(i, j int) { que[i], que[j] = que[j], que[i] }
func (que *timedActions) Push(x any)   { *que = append(*que, x.(timedAction)) }
func (que *timedActions) Pop() any {
	last := (*que)[len(*que)-1]
	*que = (*que)[:len(*que)-1]
	return last
}
