package main

import (
	"fmt"
	"os"
	"time"
)

// cases are the cases by name.
var cases = map[string]testCase{
	"restartedAgent": {lavky, runRestartedAgent},
	"formerEntry":    {grown, runFormerEntry},
	"coldRestart":    {sondrio, runColdRestart},
	"lostReaders":    {grown, runLostReaders},
}

// startTime is how long the system gets from the start of its processes to traffic.
const startTime = 4 * time.Second

// begin starts balancers, agents and backends, and waits until the balancers are in the
// rotation.
func (wld *world) begin(fronts []*machine, sides []*side, bcks []*backend) error {
	for _, mch := range fronts {
		if err := mch.start(true); err != nil {
			return err
		}
		wld.router.add(mch)
	}
	for _, sid := range sides {
		if err := sid.start(true); err != nil {
			return err
		}
	}
	for _, bck := range bcks {
		if err := bck.start(50 * time.Millisecond); err != nil {
			return err
		}
	}
	time.Sleep(startTime)
	return await("all balancers in the rotation", 5*time.Second, func() bool {
		for _, mch := range fronts {
			if !wld.router.inRotation(mch) {
				return false
			}
		}
		return true
	})
}

// flowFor returns a new flow that the router gives to a balancer once all are in the
// rotation.
func (wld *world) flowFor(mch *machine, others []*machine, route int) *flow {
	for {
		flw := wld.clients.newFlow(wld.route(route))
		best := true
		for _, other := range others {
			best = best && scoreOf(flw.key, other) < scoreOf(flw.key, mch)
		}
		if best {
			return flw
		}
	}
}

// openAt opens flows for a balancer until one is held by a backend.
func (wld *world) openAt(mch *machine, others []*machine, route int, bck *backend) (*flow, error) {
	for num := range 40 {
		flw := wld.flowFor(mch, others, route)
		if flw.connect() && flw.request(fmt.Sprintf("first-%d", num), 3*time.Second) && bck.holds(flw.key) {
			return flw, nil
		}
	}
	return nil, fmt.Errorf("%w: no flow was opened at backend %s", errNotRun, bck.id)
}

// agentDowntime is how long the agent's machine needs between SIGTERM and the start.
const agentDowntime = 2000 * time.Millisecond

// runRestartedAgent restarts the agent beside a living backend while a balancer joins,
// to which the router moves some flows.
func runRestartedAgent(wld *world, trouble bool) error {
	one, two := wld.newFront(1), wld.newFront(2)
	sides := []*side{wld.newSide(1, "desk"), wld.newSide(2, "desk")}
	holder, other := newBackend(sides[0], "i-holder", 30*time.Millisecond), newBackend(sides[1], "i-other", 30*time.Millisecond)
	wld.putState(7, []routeEntry{{wld.route(1), "desk"}}, []string{"desk"}, 0)
	if err := wld.begin([]*machine{one}, sides, []*backend{holder, other}); err != nil {
		return err
	}
	flw, err := wld.openAt(two, []*machine{one}, 1, holder)
	if err != nil {
		return err
	}
	wld.rec.note("flow of %s is open at %s", flw.key.client, holder.id)
	time.Sleep(time.Second)
	if trouble {
		done := sides[0].terminate()
		go func() {
			time.Sleep(agentDowntime)
			<-done
			_ = sides[0].start(false)
		}()
	}
	time.Sleep(100 * time.Millisecond)
	if err := two.start(false); err != nil {
		return err
	}
	wld.router.add(two)
	time.Sleep(1600 * time.Millisecond)
	if !wld.router.inRotation(two) {
		return fmt.Errorf("%w: the balancer did not join in time", errNotRun)
	}
	answered := flw.request("second", 6*time.Second)
	_, resetAt, resetOpen, _, _ := flw.state()
	wld.rec.note("answered: %v, backend holds the flow: %v", answered, holder.holds(flw.key))
	if !resetAt.IsZero() && resetOpen && holder.holds(flw.key) {
		return &brokenError{"FLOW: the client got a reset of an open flow that its backend did not send and still holds"}
	}
	return nil
}

// runFormerEntry has a backend crash and start again with a new ID, and later cuts it from
// the store, which removes its entry while it lives.
func runFormerEntry(wld *world, trouble bool) error {
	const (
		downtime      = 3 * time.Second        // Of the backend that crashes.
		registerAfter = 900 * time.Millisecond // The first report after its start.
	)
	one := wld.newFront(1)
	sides := []*side{wld.newSide(1, "desk"), wld.newSide(2, "desk")}
	cut, other := newBackend(sides[0], "i-former", 30*time.Millisecond), newBackend(sides[1], "i-other", 30*time.Millisecond)
	wld.putState(7, []routeEntry{{wld.route(1), "desk"}}, []string{"desk"}, 0)
	if err := wld.begin([]*machine{one}, sides, []*backend{cut, other}); err != nil {
		return err
	}
	stop := make(chan struct{})
	defer close(stop)
	go wld.trickle(stop, 25*time.Millisecond)
	if !trouble {
		time.Sleep(15 * time.Second)
		return cut.checkLate(time.Now())
	}
	if os.Getenv("CRASH") != "0" { // CRASH=0 leaves the first disruption out.
		heardAt := cut.lastHeard()
		if err := await("a report of the backend", 2*heartbeat, func() bool { return cut.lastHeard() != heardAt }); err != nil {
			return err
		}
		cut.crash()
		time.Sleep(downtime)
		cut.rename("i-latter")
		if err := cut.start(registerAfter); err != nil {
			return err
		}
		time.Sleep(10 * time.Second)
	}
	before := cut.removed()
	cut.cutFromStore()
	if err := await("the removal of the entry", 5*heartbeat, func() bool { return cut.removed() != before }); err != nil {
		return err
	}
	removedAt := cut.removed()
	time.Sleep(time.Duration(wld.trms.drainMillis)*time.Millisecond + 6*time.Second)
	return cut.checkLate(removedAt)
}

// runLostReaders cuts a backend from the store, and cuts the power of the two balancers
// that read the store just before it removes the backend's entry.
func runLostReaders(wld *world, trouble bool) error {
	const (
		confirmTime = 300 * time.Millisecond // From an answer of the store until all balancers know of it.
		removeAfter = 50 * time.Millisecond  // From the loss of power to the removal of the entry.
		darkTime    = 6 * time.Second        // Of the machines without power.
	)
	readers, others := []*machine{wld.newFront(1), wld.newFront(2)}, wld.lateFronts(2)
	wld.seeds = readers
	sides := []*side{wld.newSide(1, "desk"), wld.newSide(2, "desk")}
	cut, other := newBackend(sides[0], "i-cut", 10*time.Millisecond), newBackend(sides[1], "i-other", 10*time.Millisecond)
	cut.leased = true
	wld.putState(7, []routeEntry{{wld.route(1), "desk"}}, []string{"desk"}, 0)
	if err := wld.begin(append(readers, others...), sides, []*backend{cut, other}); err != nil {
		return err
	}
	stop := make(chan struct{})
	defer close(stop)
	go wld.trickle(stop, 10*time.Millisecond)
	time.Sleep(2 * time.Second)
	if !trouble {
		time.Sleep(10 * time.Second)
		return cut.checkLate(time.Now())
	}
	cut.cutFromStore()
	time.Sleep(time.Until(cut.lastHeard().Add(3 * heartbeat)))
	before := wld.store.watchAnswered()
	if err := await("an answer to a watch", 3*time.Second, func() bool { return wld.store.watchAnswered() != before }); err != nil {
		return err
	}
	time.Sleep(confirmTime)
	if os.Getenv("KILL") != "0" { // KILL=0 leaves the second disruption out.
		for _, mch := range readers {
			mch.losePower(darkTime)
		}
	}
	time.Sleep(removeAfter)
	cut.removeSilent(cut.id, cut.lastHeard())
	time.Sleep(8 * time.Second)
	all := cut.openings()
	wld.rec.note("the backend took its last opening %d ms after the removal", all[len(all)-1].at.Sub(cut.removed()).Milliseconds())
	return cut.checkLate(cut.removed())
}

// checkLate checks that the backend took no opening later than drain-ms after its entry
// was removed.
func (bck *backend) checkLate(removedAt time.Time) error {
	drain := time.Duration(bck.wld.trms.drainMillis) * time.Millisecond
	late := 0
	for _, opn := range bck.openings() {
		if opn.at.Sub(removedAt) > drain {
			late++
		}
	}
	bck.wld.rec.note("openings that the backend took more than %v after the store had removed its entry: %d", drain, late)
	if late > 0 {
		return &brokenError{fmt.Sprintf("DRAIN: %d requests reached a backend later than drain-ms after the store had acknowledged that it is gone", late)}
	}
	return nil
}

// trickle has clients come at a steady rate, each with a flow of its own.
func (wld *world) trickle(stop chan struct{}, interval time.Duration) {
	pace := time.NewTicker(interval)
	defer pace.Stop()
	for num := 0; ; num++ {
		select {
		case <-stop:
			return
		case <-pace.C:
		}
		go func() {
			if flw := wld.clients.newFlow(wld.route(1)); flw.connect() {
				flw.request(fmt.Sprintf("work-%d", num), 1500*time.Millisecond)
			}
		}()
	}
}

// runColdRestart has a backend crash and start again in a quiet moment, before many
// clients come at once.
func runColdRestart(wld *world, trouble bool) error {
	const (
		rate          = 10.0                   // Of a cold backend, in requests a second.
		clients       = 80                     // Who come at once, with a flow each.
		arrivals      = 5 * time.Millisecond   // Between two of them.
		downtime      = 500 * time.Millisecond // Of the backend.
		registerAfter = 900 * time.Millisecond // The first report after its start.
	)
	limit := rate*wld.trms.coldOverage + wld.trms.coldSlack
	one := wld.newFront(1)
	sides := []*side{wld.newSide(1, "desk"), wld.newSide(2, "desk")}
	restarted, other := newBackend(sides[0], "i-one", 15*time.Millisecond), newBackend(sides[1], "i-two", 15*time.Millisecond)
	wld.putState(7, []routeEntry{{wld.route(1), "desk"}}, []string{"desk"}, rate)
	if err := wld.begin([]*machine{one}, sides, []*backend{restarted, other}); err != nil {
		return err
	}
	held, err := wld.openAt(one, nil, 1, restarted)
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	before := len(restarted.openings())
	if trouble {
		restarted.crash()
		time.Sleep(downtime)
		restarted.cold = 2 * time.Second
		if err := restarted.start(registerAfter); err != nil {
			return err
		}
		held.request("on-former-flow", time.Second) // Its packet comes back: the node sees that the backend is another one.
	}
	stop := make(chan struct{})
	time.AfterFunc(clients*arrivals, func() { close(stop) })
	wld.trickle(stop, arrivals)
	time.Sleep(1500 * time.Millisecond)
	most := mostInASecond(restarted.openings()[before:])
	wld.rec.note("most openings in one second at %s: %d, limit while it is cold: %v", restarted.id, most, limit)
	if trouble && float64(most) > limit {
		return &brokenError{fmt.Sprintf("FAILBACK: a cold backend got %d requests in one second, the limit is %v", most, limit)}
	}
	return nil
}

// mostInASecond returns the largest number of openings in any span of a second.
func mostInASecond(all []taken) int {
	most := 0
	for i := range all {
		count := 0
		for _, other := range all[i:] {
			if other.at.Sub(all[i].at) < time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}
