package judge

import (
	"bytes"
	"math"
	"slices"
	"time"

	"lagoondrum/core/flow"
)

const (
	windowTime   = 2 * time.Second        // Time constant with which events lose weight,
	windowEvents = 20                     // and how many later ones have the same effect, so that a busy upstream that turns bad is noticed sooner.
	forgetBelow  = 0.05                   // A route with less weight is dropped.
	tellInterval = 500 * time.Millisecond // Between two times that evidence is news.
	newsShare    = 0.1                    // Evidence is news when the share of failures has changed by this much,
	newsBits     = 1.5                    // or the times by this factor, as a binary logarithm: either may make an upstream suspect. News reach all balancers at once and refresh the load report too, so they are kept for what matters.
)

// Window collects at an agent what callers get from its upstream. The methods of a nil
// Window do nothing, so that agents which judge nothing need no other code.
type Window struct {
	resets     float64
	unanswered float64
	routes     map[flow.Endpoint]*Answers // With the sum of the logarithms.
	decayedAt  time.Time
	told       Evidence // When it was news last.
	tellAfter  time.Time
}

// NewWindow returns an empty window.
func NewWindow() *Window { return &Window{routes: make(map[flow.Endpoint]*Answers)} }

// NoteAnswer records an answer to a request of a route, and after which time it came.
func (win *Window) NoteAnswer(route flow.Endpoint, took time.Duration, now time.Time) {
	if win == nil {
		return
	}
	win.begin(now)
	ans := win.routes[route]
	if ans == nil {
		if len(win.routes) >= maxRoutes {
			return
		}
		ans = &Answers{route: route}
		win.routes[route] = ans
	}
	ans.count++
	ans.time += math.Log2(max(float64(took.Microseconds()), 1))
}

// NoteReset records that the upstream reset an opening or a flow with a request.
func (win *Window) NoteReset(now time.Time) {
	if win != nil {
		win.begin(now)
		win.resets++
	}
}

// NoteUnanswered records openings or requests that have waited for much longer than
// usual.
func (win *Window) NoteUnanswered(count int, now time.Time) {
	if win == nil {
		return
	}
	for range count {
		win.begin(now)
		win.unanswered++
	}
}

// NoteLateAnswer takes back that an opening is unanswered.
func (win *Window) NoteLateAnswer(now time.Time) {
	if win != nil {
		win.decay(now)
		win.unanswered = max(win.unanswered-1, 0)
	}
}

// Clear forgets everything: the upstream has ended, and its successor is judged anew.
func (win *Window) Clear() {
	if win != nil {
		win.resets, win.unanswered = 0, 0
		clear(win.routes)
	}
}

func (win *Window) decay(now time.Time) {
	elapsed := now.Sub(win.decayedAt)
	if elapsed <= 0 {
		return
	}
	win.decayedAt = now
	win.keep(math.Exp(-float64(elapsed) / float64(windowTime)))
}

// begin makes room for an event.
func (win *Window) begin(now time.Time) {
	win.decay(now)
	win.keep(1 - 1.0/windowEvents)
}

// keep leaves a share of its weight to every event.
func (win *Window) keep(keep float64) {
	win.resets *= keep
	win.unanswered *= keep
	for route, ans := range win.routes {
		ans.count, ans.time = ans.count*keep, ans.time*keep
		if ans.count < forgetBelow {
			delete(win.routes, route)
		}
	}
}

// Evidence returns the evidence at a time, its routes in the order of their addresses.
func (win *Window) Evidence(now time.Time) Evidence {
	if win == nil {
		return Evidence{}
	}
	win.decay(now)
	evd := Evidence{resets: win.resets, unanswered: win.unanswered}
	for _, ans := range win.routes {
		evd.routes = append(evd.routes, Answers{route: ans.route, count: ans.count, time: ans.time / ans.count})
	}
	slices.SortFunc(evd.routes, func(one, other Answers) int {
		ip, otherIP := one.route.IP(), other.route.IP()
		if order := bytes.Compare(ip[:], otherIP[:]); order != 0 {
			return order
		}
		return int(one.route.Port()) - int(other.route.Port())
	})
	return evd
}

// News reports whether balancers are to be told at once, and not only with the next
// heartbeat, because the evidence has changed much since they were told last.
func (win *Window) News(now time.Time) bool {
	if win == nil || now.Before(win.tellAfter) {
		return false
	}
	evd := win.Evidence(now)
	if evd.requests() < minRequests {
		return false
	}
	first := win.told.requests() == 0
	changed := math.Abs(evd.failureShare()-win.told.failureShare()) >= newsShare || math.Abs(evd.timeSince(win.told)) >= newsBits
	if !first && !changed {
		return false
	}
	win.told, win.tellAfter = evd, now.Add(tellInterval)
	return changed
}

// timeSince returns by which factor the times of the routes that both know have changed,
// as a binary logarithm.
func (evd Evidence) timeSince(former Evidence) float64 {
	sum, count := 0.0, 0.0
	for _, ans := range evd.routes {
		if old, known := former.answersOf(ans.route); known {
			sum += ans.count * (ans.time - old.time)
			count += ans.count
		}
	}
	if count == 0 {
		return 0
	}
	return sum / count
}
