package main

import (
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// Timing of the case.
const (
	fractionGrace   = "6.5" // Seconds between SIGTERM and SIGKILL, 6 before.
	fractionGap     = 1300 * time.Millisecond
	fractionRestart = 500 * time.Millisecond // Between the end of a process and its start.
	fractionTries   = 3                      // Starts of a process that ends at once.
)

// playFraction changes one figure of the settings to a fraction, and then stops and
// starts all machines of the system in turn. Without trouble the figure stays.
func playFraction(wld *world, trouble bool) error {
	address := netip.AddrPortFrom(wld.ip(200), 8443)
	service := "plaque-feed"
	for _, zone := range []string{"karlin", "smichov"} {
		wld.addFront(zone)
		wld.addSide(zone, service)
	}
	wld.putState(1, 15000, []string{service}, route{name: "r-1", service: service, kind: "unsafe", address: address, timeoutMs: 3000, targetMs: 200, priority: 1})
	if err := wld.startAll(4, func() time.Duration { return 30 * time.Millisecond }); err != nil {
		return err
	}
	cln, err := newClient(wld, "karlin", wld.at(wld.ip(100), wld.ports.datagram))
	if err != nil {
		return err
	}
	all := append(append([]*machine(nil), wld.sides...), wld.fronts...)
	if trouble {
		wld.grace = fractionGrace
		for _, mch := range all {
			if err := mch.writeSettings(false); err != nil {
				return err
			}
		}
		all[0].signal(syscall.SIGHUP) // The other files change without a signal.
		time.Sleep(2 * time.Second)
	}
	var wait sync.WaitGroup
	for _, mch := range all {
		wait.Add(1)
		go func() {
			defer wait.Done()
			mch.signal(syscall.SIGTERM)
			<-mch.exited
			for range fractionTries {
				time.Sleep(fractionRestart)
				if err := mch.start(false); err != nil {
					wld.rec.note("start of %s: %v", mch.name, err)
				}
				select {
				case <-mch.exited:
				case <-time.After(3 * time.Second):
					return
				}
			}
			wld.rec.breach("Fault", fmt.Sprintf("%s does not start: it ended by itself after each of %d starts with grace-s = %s", mch.name, fractionTries, wld.grace))
		}()
		time.Sleep(fractionGap)
	}
	wait.Wait()
	time.Sleep(2 * time.Second)
	var attempts []*attempt
	for num := range 50 {
		attempts = append(attempts, cln.start(fmt.Sprintf("q-%d", num), address, 900, 3*time.Second, false))
		time.Sleep(50 * time.Millisecond)
	}
	served := 0
	for _, att := range attempts {
		if <-att.done == answered {
			served++
		}
	}
	wld.rec.note("%d of 50 requests were served after the machines had been stopped and started", served)
	if served == 0 {
		wld.rec.breach("Fault", "no request is served")
	}
	return nil
}
