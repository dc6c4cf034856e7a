package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// Timing of the case. The pages' limits: a machine freezes for 3.5 s, a share of 0.6 of
// the processes is killed at the same moment, a flow may be idle for 15 s, and machines
// count as in touch 4 s after a disturbance.
const (
	lateIdleMs    = 15000
	lateFreeze    = 3500 * time.Millisecond
	lateKillAfter = 1800 * time.Millisecond // After the beginning of the freeze.
	lateKilled    = 2                       // Of 4 agents; the limit is a share of 0.6.
	lateRestart   = 500 * time.Millisecond  // Between the end of a process and its start.
	latePause     = 9 * time.Second         // Between two requests on a flow.
	lateRate      = 100.0                   // Flows that are opened in a second.
	lateBudget    = 2500 * time.Millisecond
)

// playLateOpening freezes a balancer while clients open long flows, kills and restarts
// some agents, and lets the balancer go on. The flows' next requests come when all
// processes have been calm for longer than the pages ask.
func playLateOpening(wld *world, trouble bool) error {
	dst := &disturbances{last: make(map[*machine]time.Time)}
	wld.judge = func(att *attempt, flw openFlow, now time.Time) {
		gap := max(att.maxGap, now.Sub(att.last))
		calm := dst.calmFor(now)
		text := fmt.Sprintf("%s on %v>%v: reset of the system %.3f s after the flow was opened at %s, which lives and holds it; longest pause between two packets of the client %.3f s; all processes calm for %.3f s",
			att.id, att.key.client, att.key.service, now.Sub(flw.at).Seconds(), flw.backend.cfg.id, gap.Seconds(), calm.Seconds())
		if calm > contactTime && gap < lateIdleMs*time.Millisecond {
			wld.rec.breach("FLOW", text)
		} else {
			wld.rec.note("excused %s", text)
		}
	}
	address := netip.AddrPortFrom(wld.ip(200), 8443)
	service := "plaque-feed"
	for _, zone := range []string{"karlin", "karlin", "smichov", "podoli"} {
		wld.addFront(zone)
		wld.addSide(zone, service) // In the order in which they are stopped and started.
	}
	wld.putState(1, lateIdleMs, []string{service}, route{name: "r-1", service: service, kind: "safe", address: address, timeoutMs: 2500, targetMs: 150, priority: 2})
	if err := wld.startAll(4, func() time.Duration { return 30 * time.Millisecond }); err != nil {
		return err
	}
	cln, err := newClient(wld, "karlin", wld.at(wld.ip(100), wld.ports.datagram))
	if err != nil {
		return err
	}
	began := time.Now()
	if trouble {
		go func() {
			time.Sleep(time.Second)
			dst.note(wld.fronts[0])
			wld.fronts[0].signal(syscall.SIGSTOP)
			time.Sleep(lateKillAfter)
			for _, mch := range wld.sides[:lateKilled] {
				dst.note(mch)
				mch.signal(syscall.SIGKILL)
				go func() {
					<-mch.exited
					time.Sleep(lateRestart)
					_ = mch.start(false)
					dst.note(mch)
				}()
			}
			time.Sleep(lateFreeze - lateKillAfter)
			wld.fronts[0].signal(syscall.SIGCONT)
			dst.note(wld.fronts[0])
		}()
	}
	var wait sync.WaitGroup
	for num := 0; time.Since(began) < 5*time.Second; num++ {
		wait.Add(1)
		go func() {
			defer wait.Done()
			cln.session(fmt.Sprintf("q-%d", num), address, 3, latePause, lateBudget, began.Add(time.Minute))
		}()
		time.Sleep(time.Duration(rand.ExpFloat64() / lateRate * float64(time.Second)))
	}
	wait.Wait()
	return nil
}
