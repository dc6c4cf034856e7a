package judge

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/flow"
)

var (
	start = time.Date(2026, 12, 6, 8, 0, 0, 0, time.UTC)
	board = flow.NewEndpoint([4]byte{198, 18, 0, 1}, 443)
	seats = flow.NewEndpoint([4]byte{198, 18, 0, 2}, 443)
)

// server is how an upstream serves its requests: of ten, some fail and the others take
// a time.
type server struct {
	reset, hang, fastFail int
	took                  time.Duration
	perSecond             int // Requests, 40 if not set.
	route                 flow.Endpoint
	silent, cold          bool
}

// service is a service whose upstreams report to one balancer.
type service struct {
	servers  []server
	windows  []*Window
	subjects []*Subject
	lag      time.Duration // Of reports.
	reports  []report
	now      time.Time
}

// report is evidence on its way to the balancer.
type report struct {
	upstream int
	due      time.Time
	data     []byte
}

func newService(servers ...server) *service {
	svc := &service{servers: servers, now: start}
	for range servers {
		svc.windows = append(svc.windows, NewWindow())
		svc.subjects = append(svc.subjects, &Subject{})
	}
	return svc
}

// repeat returns a number of equal servers and then others.
func repeat(count int, srv server, others ...server) []server {
	var all []server
	for range count {
		all = append(all, srv)
	}
	return append(all, others...)
}

// serve runs the service for a time. Reports come four times a second.
func (svc *service) serve(span time.Duration) {
	const step = 25 * time.Millisecond
	for end := svc.now.Add(span); svc.now.Before(end); svc.now = svc.now.Add(step) {
		tick := int(svc.now.Sub(start) / step)
		for i, srv := range svc.servers {
			if every := max(40/max(srv.perSecond, 1), 1); srv.perSecond == 0 || tick%every == 0 {
				svc.request(i, srv, (tick*7+i)%10, float64(1+tick%3))
			}
			if tick%10 == 0 && !srv.silent {
				svc.reports = append(svc.reports, report{upstream: i, due: svc.now.Add(svc.lag), data: svc.windows[i].Evidence(svc.now).Append(nil)})
			}
		}
		for ; len(svc.reports) > 0 && !svc.now.Before(svc.reports[0].due); svc.reports = svc.reports[1:] {
			rpt := svc.reports[0]
			if evd, ok := Parse(rpt.data); ok {
				svc.subjects[rpt.upstream].Hear(evd, svc.servers[rpt.upstream].cold, svc.now)
			}
		}
		if tick%10 == 0 {
			Compare(svc.subjects, svc.now)
		}
	}
}

// request has a server handle one request.
func (svc *service) request(idx int, srv server, num int, factor float64) {
	win, now, route := svc.windows[idx], svc.now, cmp.Or(srv.route, board)
	switch {
	case num < srv.reset:
		win.NoteReset(now)
	case num < srv.reset+srv.hang:
		win.NoteUnanswered(1, now)
	case num < srv.reset+srv.hang+srv.fastFail:
		win.NoteAnswer(route, time.Millisecond, now)
	default:
		win.NoteAnswer(route, time.Duration(factor*float64(srv.took)/2), now)
	}
}

// suspects returns which upstreams are suspect.
func (svc *service) suspects() (idxs []int) {
	for i, sbj := range svc.subjects {
		if sbj.Suspect() {
			idxs = append(idxs, i)
		}
	}
	return idxs
}

// assertSuspects checks which upstreams are suspect.
func (svc *service) assertSuspects(t *testing.T, want ...int) {
	t.Helper()
	assert.DeepEqual(t, svc.suspects(), want)
}

const usual = 30 * time.Millisecond

func TestUpstreamsThatServeCallersWorse(t *testing.T) {
	for name, bad := range map[string]server{
		"resets":                   {reset: 4, took: usual},
		"no answers":               {hang: 4, took: usual},
		"failures at once":         {fastFail: 4, took: usual},
		"five times slower":        {took: 5 * usual, perSecond: 20},
		"all requests hang":        {hang: 10},
		"few requests, all failed": {reset: 10, perSecond: 8},
	} {
		t.Run(name, func(t *testing.T) {
			svc := newService(repeat(7, server{took: usual}, bad, server{took: usual})...)
			svc.serve(1500 * time.Millisecond)
			svc.assertSuspects(t, 7)
			svc.servers[7] = server{took: usual}
			svc.serve(6 * time.Second)
			svc.assertSuspects(t)
		})
	}
}

func TestNobodyIsSuspect(t *testing.T) {
	good := server{took: usual}
	for name, servers := range map[string][]server{
		"all are slow":                   repeat(8, server{took: 8 * usual, perSecond: 8}),
		"all fail a part":                repeat(8, server{reset: 4, took: usual}),
		"a full upstream beside others":  repeat(7, good, server{took: 2 * usual}),
		"a cold upstream":                repeat(7, good, server{took: 3 * usual, cold: true}),
		"an upstream without a queue":    repeat(7, server{took: 2 * usual}, good),
		"two upstreams":                  {good, {reset: 5, took: usual}},
		"routes of different work":       repeat(4, good, repeat(4, server{took: 10 * usual, route: seats, perSecond: 20})...),
		"upstreams that just started":    repeat(4, server{took: 2 * usual, cold: true}, repeat(4, good)...),
		"one failure of small traffic":   repeat(7, good, server{reset: 1, took: usual, perSecond: 2}),
		"empty service":                  nil,
		"nothing reported by most of it": repeat(6, server{took: usual, silent: true}, server{reset: 5, took: usual}, good),
	} {
		t.Run(name, func(t *testing.T) {
			svc := newService(servers...)
			svc.serve(4 * time.Second)
			svc.assertSuspects(t)
		})
	}
}

// The ninth upstream of a service resets half of its requests; then something fails.
func TestFailures(t *testing.T) {
	good, bad := server{took: usual}, server{reset: 5, took: usual}
	for name, tc := range map[string]struct {
		event  func(svc *service)
		after  time.Duration
		stays  bool // The verdict.
		events int
	}{
		"nothing":                       {func(*service) {}, time.Second, true, 1},
		"reports lag a second":          {func(svc *service) { svc.lag = time.Second }, 3 * time.Second, true, 1},
		"its agent has just fallen off": {func(svc *service) { svc.servers[8].silent = true }, verdictLifetime / 2, true, 1},
		"its agent stays silent":        {func(svc *service) { svc.servers[8].silent = true }, verdictLifetime + evidenceLifetime, false, 1},
		"its agent restarts":            {func(svc *service) { svc.windows[8] = NewWindow() }, 2 * time.Second, true, 1},
		"another agent restarts":        {func(svc *service) { svc.windows[2] = NewWindow() }, 2 * time.Second, true, 1},
		"every other report is lost":    {func(svc *service) { svc.servers[8].silent = !svc.servers[8].silent }, 250 * time.Millisecond, true, 8},
	} {
		t.Run(name, func(t *testing.T) {
			svc := newService(repeat(8, good, bad)...)
			svc.serve(2 * time.Second)
			for range tc.events {
				tc.event(svc)
				svc.serve(tc.after)
			}
			assert.Equal(t, svc.subjects[8].Suspect(), tc.stays)
			assert.Assert(t, !svc.subjects[2].Suspect())
		})
	}
}

func TestLargePartTurnsBad(t *testing.T) {
	good, bad := server{took: usual}, server{reset: 5, took: usual}
	t.Run("half of the service", func(t *testing.T) {
		svc := newService(repeat(4, good, repeat(4, bad)...)...)
		svc.serve(2 * time.Second)
		assert.Equal(t, len(svc.suspects()), 8/suspectPart)
		assert.Equal(t, Compare(svc.subjects, svc.now).Spared(), 4-8/suspectPart)
	})
	t.Run("nearly all of it", func(t *testing.T) {
		svc := newService(repeat(1, good, repeat(8, bad)...)...)
		svc.serve(2 * time.Second)
		svc.assertSuspects(t)
	})
}

func TestEvidenceOnTheWire(t *testing.T) {
	for size, valid := range map[int]bool{0: false, 3: false, 4: true, 5: false, 13: true, 148: true, 157: false} {
		_, ok := Parse(make([]byte, size))
		assert.Equal(t, ok, valid, "%d bytes", size)
	}
}

func TestNews(t *testing.T) {
	svc := newService(server{took: usual})
	svc.serve(time.Second)
	assert.Assert(t, !svc.windows[0].News(svc.now))
	svc.servers[0].reset = 5
	svc.serve(time.Second)
	assert.Assert(t, svc.windows[0].News(svc.now))
}

func ExampleCompare() {
	subjects := []*Subject{{}, {}, {}, {}}
	for i, sbj := range subjects {
		win := NewWindow()
		for range 20 {
			win.NoteAnswer(board, 30*time.Millisecond, start)
			if i == 2 {
				win.NoteReset(start)
			}
		}
		sbj.Hear(win.Evidence(start), false, start)
	}
	for _, chg := range Compare(subjects, start).Changes() {
		fmt.Println(chg.Index(), chg.Suspect(), chg.Reason())
	}
	// Output: 2 true failures
}

func BenchmarkCompare(b *testing.B) {
	for _, upstreams := range []int{40, 300} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			svc := newService(repeat(upstreams, server{took: usual})...)
			svc.serve(time.Second)
			b.ReportAllocs()
			for b.Loop() {
				Compare(svc.subjects, svc.now)
			}
		})
	}
}

func BenchmarkNoteAnswer(b *testing.B) {
	win, now := NewWindow(), start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		win.NoteAnswer(board, usual, now)
	}
}

// BenchmarkHear measures what a balancer holds of one upstream, in bytes allocated.
func BenchmarkHear(b *testing.B) {
	svc := newService(server{took: usual})
	svc.serve(time.Second)
	data := svc.windows[0].Evidence(svc.now).Append(nil)
	b.ReportAllocs()
	for b.Loop() {
		sbj := &Subject{}
		evd, _ := Parse(data)
		sbj.Hear(evd, false, start)
		sink = sbj
	}
}

var sink *Subject
