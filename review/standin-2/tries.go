package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// Timing of the case. Machines are stopped and started in turn, agents every 1.2 s and
// balancers every 2 s. flow-reorder-ms is 2,000 and the idle timeout 15 s.
const (
	triesReorder  = 2 * time.Second
	triesIdleMs   = 15000
	triesCompact  = 3 * time.Second
	triesRoll     = 20 * time.Second
	triesSideGap  = 1200 * time.Millisecond
	triesFrontGap = 2 * time.Second
	triesRestart  = 500 * time.Millisecond // Between the end of a process and its start.
	triesLength   = 52 * time.Second
	triesBudget   = 2500 * time.Millisecond
	triesFlows    = 120
)

// playTries makes the store forget its history, and later stops and starts all machines
// of the system in turn. Long flows, which pause between their requests, go on. Only the
// first is left out without trouble.
func playTries(wld *world, trouble bool) error {
	dst := &disturbances{last: make(map[*machine]time.Time)}
	told := make(map[flowKey]bool)
	wld.rec.misled = func(key flowKey, flw openFlow, astray []time.Time) {
		first, last := astray[0], astray[len(astray)-1]
		own := wld.sideOf(flw.backend)
		if calm := dst.calmSince(own, first); len(astray) >= 3 && last.Sub(first) >= triesReorder && calm > contactTime && !told[key] {
			told[key] = true
			wld.rec.addBreach("FLOW", fmt.Sprintf("%v>%v is open at %s: for %.3f s %d of its packets reached other backends and none its own; the agent there was calm for %.3f s before",
				key.client, key.service, flw.backend.cfg.id, last.Sub(first).Seconds(), len(astray), calm.Seconds()))
		}
	}
	address, second := netip.AddrPortFrom(wld.ip(200), 8443), netip.AddrPortFrom(wld.ip(201), 8443)
	service, other := "plaque-feed", "photo-upload"
	for _, zone := range []string{"karlin", "karlin", "smichov", "podoli"} {
		wld.addFront(zone)
	}
	for _, zone := range []string{"karlin", "karlin", "karlin", "smichov", "smichov", "podoli", "podoli"} {
		wld.addSide(zone, service)
	}
	for _, zone := range []string{"karlin", "smichov", "podoli"} {
		wld.addSide(zone, other)
	}
	putState := func(version, timeoutMs int) {
		wld.putState(version, triesIdleMs, []string{service, other},
			route{name: "r-1", service: service, kind: "safe", address: address, timeoutMs: timeoutMs, targetMs: 150, priority: 2},
			route{name: "r-2", service: other, kind: "upload", address: second, timeoutMs: 8000, targetMs: 500, priority: 2})
	}
	putState(1, 2500)
	if err := wld.startAll(4, func() time.Duration { return 30 * time.Millisecond }); err != nil {
		return err
	}
	began := time.Now()
	var wait sync.WaitGroup
	for i, zone := range []string{"karlin", "smichov", "podoli"} {
		cln, err := newClient(wld, zone, wld.at(wld.ip(100+i), wld.ports.datagram))
		if err != nil {
			return err
		}
		for num := range triesFlows / 3 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				time.Sleep(time.Duration(rand.IntN(6000)) * time.Millisecond)
				for round := 0; time.Since(began) < triesLength; round++ {
					pause := time.Duration(4000+rand.IntN(6000)) * time.Millisecond
					cln.session(fmt.Sprintf("q-%d-%d-%d", i, num, round), address, 10, pause, triesBudget, began.Add(triesLength))
				}
			}()
		}
	}
	if trouble {
		time.Sleep(triesCompact)
		wld.rec.note("the store forgets its history")
		wld.store.compact(func() { putState(2, 2600) })
	}
	time.Sleep(triesRoll - time.Since(began))
	wait.Add(2)
	for _, part := range []struct {
		machines []*machine
		gap      time.Duration
	}{{wld.fronts, triesFrontGap}, {wld.sides, triesSideGap}} {
		go func() {
			defer wait.Done()
			for _, mch := range part.machines {
				go wld.restart(mch, dst, triesRestart)
				time.Sleep(part.gap)
			}
		}()
	}
	wait.Wait()
	return nil
}
