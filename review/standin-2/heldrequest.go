package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// Load of the case: the three backends serve 120 requests a second. The pages' limits of
// a burst: 1.95 times the traffic for 3.99 s.
const (
	heldIdleMs   = 3000
	heldSlots    = 4
	heldWork     = 100 * time.Millisecond
	heldRate     = 100.0 // Requests a second, all on flows of their own.
	heldBurst    = 1.95
	heldBurstFor = 3900 * time.Millisecond
	heldBudget   = 8 * time.Second
)

// playHeldRequest plays a burst of clients at a service whose requests may take longer
// than a flow may be idle. A client that waits sends its request again at most 1.6 s
// after the last time, so no flow is idle for 3 s.
func playHeldRequest(wld *world, trouble bool) error {
	wld.judge = func(att *attempt, flw openFlow, now time.Time) {
		gap := max(att.maxGap, now.Sub(att.last))
		text := fmt.Sprintf("%s on %v>%v: reset of the system %.3f s after the flow was opened at %s, which lives and holds it; longest pause between two packets of the client %.3f s",
			att.id, att.key.client, att.key.service, now.Sub(flw.at).Seconds(), flw.backend.cfg.id, gap.Seconds())
		if gap < heldIdleMs*time.Millisecond {
			wld.rec.breach("FLOW", text)
		} else {
			wld.rec.note("excused %s", text)
		}
	}
	address := netip.AddrPortFrom(wld.ip(200), 8443)
	service := "photo-upload"
	zones := []string{"karlin", "smichov", "podoli"}
	for _, zone := range zones {
		wld.addFront(zone)
		wld.addSide(zone, service)
	}
	wld.putState(1, heldIdleMs, []string{service}, route{name: "r-1", service: service, kind: "upload", address: address, timeoutMs: 8000, targetMs: 500, priority: 2})
	err := wld.startAll(heldSlots, func() time.Duration { return time.Duration((0.8 + 0.4*rand.Float64()) * float64(heldWork)) })
	if err != nil {
		return err
	}
	var clients []*client
	for i, zone := range zones {
		cln, err := newClient(wld, zone, wld.at(wld.ip(100+i), wld.ports.datagram))
		if err != nil {
			return err
		}
		clients = append(clients, cln)
	}
	var wait sync.WaitGroup
	began := time.Now()
	for num := 0; time.Since(began) < 24*time.Second; num++ {
		rate, since := heldRate, time.Since(began)
		if trouble && since >= 5*time.Second && since < 5*time.Second+heldBurstFor {
			rate *= heldBurst
		}
		att := clients[num%len(clients)].start(fmt.Sprintf("q-%d", num), address, 900, heldBudget, false)
		wait.Add(1)
		go func() {
			defer wait.Done()
			<-att.done
		}()
		time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
	}
	wait.Wait()
	return nil
}
