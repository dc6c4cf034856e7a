package simul

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"time"

	"lagoondrum/core/encap"
	"lagoondrum/core/fleet"
	"lagoondrum/core/flow"
	"lagoondrum/core/intent"
	"lagoondrum/core/track"
)

// LoadClass describes the requests of one route.
type LoadClass struct {
	Shares     []int         // Of each service in the new flows.
	Rate       float64       // Requests per second of all callers together.
	Objective  time.Duration // Latency objective, from the first attempt to the answer.
	Budget     time.Duration // The caller gives a request up after this long.
	Work       time.Duration // Mean service time.
	Tail       float64       // Fraction of requests that need TailFactor times as much.
	TailFactor float64
	Priority   uint8 // 0 is the highest.
	Idempotent bool  // Repeated after any failure; others only if they certainly did not run.
	KeepsFlow  bool  // A flow carries many requests; otherwise each request opens one.
}

// Timing of a load scenario.
const (
	loadWarmup       = 3 * time.Second // Before the start of the fault, so that flows are open.
	loadMeasured     = 4 * time.Second // Requests that begin within this time of the fault are counted.
	loadWindow       = 2 * time.Second // Results are also given for windows of this length.
	loadTick         = 5 * time.Millisecond
	loadHeartbeat    = 250 * time.Millisecond
	callerDelay      = 3 * time.Millisecond // One way between callers and the system.
	hopDelay         = 500 * time.Microsecond
	minStartDelay    = 150 * time.Millisecond // From the return of power until a process serves.
	maxStartDelay    = 500 * time.Millisecond
	loadIdleTimeout  = 12 * time.Second
	loadLinkBytes    = 125e6
	workDeviation    = 0.5 // Standard deviation of service times, as a fraction of the mean.
	maxWorkFactor    = 6   // Largest service time, as a multiple of the mean.
	requestBytes     = 200
	loadBalancerPort = 7842
	loadZone         = "z" // Of the balancers.
)

// loadWindows is the number of windows of a result.
const loadWindows = int(loadMeasured / loadWindow)

// LoadCount counts the requests of a window by what their callers got.
type LoadCount struct {
	Asked  int
	InTime int // Answered within the latency objective.
	Late   int // Answered later.
	Failed int // Not answered.
}

// LoadResult holds what the callers of a load scenario got.
type LoadResult struct {
	Total                  LoadCount
	Windows                [loadWindows]LoadCount // By the time of the first attempt.
	Classes                []LoadCount
	Muted                  int // Measured requests that an upstream took and never answered.
	FalseVerdicts          int // Verdicts against upstreams without a defect.
	RefusedBesideFreeSlots int // Openings that were refused while an upstream of their route had a free slot and nothing queued.
}

// Benefit returns what the answers are worth to all callers, where each priority counts
// twice the next one and a late answer lateWorth of one in time.
func (res LoadResult) Benefit(classes []LoadClass, lateWorth float64) float64 {
	sum := 0.0
	for i, cnt := range res.Classes {
		sum += math.Exp2(-float64(classes[i].Priority)) * (float64(cnt.InTime) + lateWorth*float64(cnt.Late))
	}
	return sum
}

// note counts a request.
func (cnt *LoadCount) note(req *loadRequest) {
	cnt.Asked++
	switch {
	case req.answeredAt.IsZero():
		cnt.Failed++
	case req.answeredAt.After(req.startedAt.Add(req.class.Objective)):
		cnt.Late++
	default:
		cnt.InTime++
	}
}

// Add adds the counts of another run.
func (cnt *LoadCount) Add(other LoadCount) {
	cnt.Asked += other.Asked
	cnt.InTime += other.InTime
	cnt.Late += other.Late
	cnt.Failed += other.Failed
}

// loadRun is one run of the product's decisions under a load.
type loadRun struct {
	*Timeline
	scenario  LoadScenario
	rnd       *rand.Rand // For everything but arrivals and work, which are equal for all policies.
	arrivals  *rand.Rand
	start     time.Time // Of the fault.
	callers   []*loadCaller
	requests  []*loadRequest
	attempts  map[flow.Key]*loadAttempt
	balancers []*loadBalancer
	upstreams []*loadUpstream
	packets   []flow.Packet // Every packet, by the index that encode returned.
	lastPort  []uint16      // By caller.
	lastISN   uint32

	falseVerdicts          int
	refusedBesideFreeSlots int
}

// loadBalancer is a balancer.
type loadBalancer struct {
	table   *track.Table // Nil while it is down.
	fleet   *fleet.Fleet
	tracker *intent.Tracker
}

// RunLoad simulates a load.
func RunLoad(scn LoadScenario, seed uint64) LoadResult {
	run := playLoad(scn, seed)
	res := LoadResult{Classes: make([]LoadCount, len(scn.Classes)), FalseVerdicts: run.falseVerdicts, RefusedBesideFreeSlots: run.refusedBesideFreeSlots}
	for _, req := range run.measured() {
		res.Total.note(req)
		if req.muted {
			res.Muted++
		}
		res.Classes[req.classIndex].note(req)
		res.Windows[min(int(req.startedAt.Sub(run.start)/loadWindow), loadWindows-1)].note(req)
	}
	return res
}

// playLoad runs a scenario until every measured request has ended.
func playLoad(scn LoadScenario, seed uint64) *loadRun {
	run := &loadRun{
		Timeline: NewTimeline(burstStart), scenario: scn,
		rnd: rand.New(rand.NewPCG(seed, 1)), arrivals: rand.New(rand.NewPCG(seed, 2)),
		attempts: make(map[flow.Key]*loadAttempt), lastPort: make([]uint16, scn.Callers),
	}
	run.start = run.Now().Add(loadWarmup)
	for num := range scn.Callers {
		run.callers = append(run.callers, newLoadCaller(num, len(scn.Classes)))
	}
	for service, count := range scn.Services {
		for range count {
			num := len(run.upstreams)
			run.upstreams = append(run.upstreams, &loadUpstream{num: num, service: service})
			run.startUpstream(num, 0)
			run.startAgent(num)
		}
	}
	for range scn.Balancers {
		run.balancers = append(run.balancers, &loadBalancer{})
		run.startBalancer(len(run.balancers) - 1)
	}
	for idx := range scn.Classes {
		run.scheduleArrival(idx)
	}
	run.Schedule(loadTick, run.tick)
	run.Schedule(0, run.sendHeartbeats)
	run.Schedule(loadWarmup, run.injectFault)
	longest := time.Duration(0)
	for _, cls := range scn.Classes {
		longest = max(longest, cls.Budget)
	}
	run.Advance(loadWarmup + loadMeasured + longest)
	return run
}

// measured returns the requests that began within loadMeasured of the fault.
func (run *loadRun) measured() []*loadRequest {
	var reqs []*loadRequest
	for _, req := range run.requests {
		if !req.startedAt.Before(run.start) && req.startedAt.Before(run.start.Add(loadMeasured)) {
			reqs = append(reqs, req)
		}
	}
	return reqs
}

// injectFault takes the power from every machine for the time of the outage, and
// upstreams that are lost for good.
func (run *loadRun) injectFault() {
	for num, ups := range run.upstreams {
		if num < run.scenario.Lost {
			run.stopUpstream(ups)
			for _, blc := range run.balancers {
				blc.fleet.RemoveEntry(ups.id(), run.Now().Add(-time.Hour))
			}
		}
	}
	if run.scenario.Restarted {
		for num := range run.upstreams {
			run.startAgent(num)
		}
	}
	if run.scenario.Outage == 0 {
		return
	}
	for _, blc := range run.balancers {
		blc.table = nil
	}
	for num, ups := range run.upstreams {
		run.stopUpstream(ups)
		if num >= run.scenario.Lost {
			run.Schedule(run.scenario.Outage, func() { run.startUpstream(num, run.scenario.Cold) })
			run.Schedule(run.scenario.Outage+run.startDelay(), func() { run.startAgent(num) })
		}
	}
	for num := range run.balancers {
		run.Schedule(run.scenario.Outage+run.startDelay(), func() { run.startBalancer(num) })
	}
}

func (run *loadRun) startDelay() time.Duration {
	return minStartDelay + time.Duration(run.rnd.Int64N(int64(maxStartDelay-minStartDelay)))
}

// startBalancer starts a balancer, which knows every upstream that runs.
func (run *loadRun) startBalancer(num int) {
	blc := run.balancers[num]
	blc.fleet = fleet.New()
	for _, ups := range run.upstreams {
		if !ups.lost {
			blc.fleet.PutEntry(fleet.NewUpstream(run.listing(ups), run.Now()), run.Now())
		}
	}
	blc.tracker = intent.NewTracker(run.Now())
	routes := make(map[flow.Endpoint]*intent.Route)
	for idx, cls := range run.scenario.Classes {
		var shares []intent.Share
		for service, weight := range cls.Shares {
			shares = append(shares, intent.NewShare(serviceName(service), weight))
		}
		routes[classAddress(idx)] = intent.NewRoute("", shares).WithUrgency(flow.NewUrgency(cls.Priority, cls.Objective, cls.Budget))
	}
	blc.tracker.Adopt(intent.NewState(1, routes, loadIdleTimeout), run.Now())
	blc.table = track.New(loadZone, loadLinkBytes, blc.tracker, blc.fleet)
}

// tick drives the timers of all agents and balancers.
func (run *loadRun) tick() {
	for _, ups := range run.upstreams {
		if ups.table != nil {
			ups.table.Tick(run.Now())
			run.performAgent(ups)
		}
	}
	for num, blc := range run.balancers {
		if blc.table != nil {
			blc.tracker.Confirm(run.Now())
			blc.table.Tick(run.Now())
			run.performBalancer(num)
		}
	}
	run.Schedule(loadTick, run.tick)
}

// sendHeartbeats has every balancer ask every agent for its load.
func (run *loadRun) sendHeartbeats() {
	run.reviewUpstreams()
	for num, blc := range run.balancers {
		for _, ups := range run.upstreams {
			if blc.table != nil {
				run.Schedule(hopDelay, func() { run.answerHeartbeat(ups, num) })
			}
		}
	}
	run.Schedule(loadHeartbeat, run.sendHeartbeats)
}

func (run *loadRun) answerHeartbeat(ups *loadUpstream, balancer int) {
	if ups.table != nil {
		hdr := encap.NewHeartbeat(ups.table.Service(), uint64(ups.incarnation), 1).WithLoad(ups.table.Load(run.Now()))
		run.Schedule(run.scenario.ReportLag, func() { run.sendToBalancer(balancer, hdr, nil, ups) })
	}
}

// sendToBalancer delivers a datagram of an agent to a balancer.
func (run *loadRun) sendToBalancer(num int, hdr encap.Header, raw []byte, ups *loadUpstream) {
	evd := ups.table.Evidence(run.Now())
	run.Schedule(hopDelay, func() {
		blc := run.balancers[num]
		if blc.table == nil {
			return
		}
		if agt := blc.fleet.Agent(ups.ip()); agt != nil {
			agt.NoteHeard(hdr, run.Now())
			if hdr.Kind() == encap.Heartbeat || hdr.Kind() == encap.Opened {
				run.hearEvidence(agt, evd)
			}
		}
		if hdr.Kind() != encap.Heartbeat {
			blc.table.HandleAgentDatagram(hdr, raw, ups.ip(), run.Now())
		}
		run.performBalancer(num)
	})
}

// sendFromCaller delivers a packet of a caller to the balancer that the routers
// choose for its flow.
func (run *loadRun) sendFromCaller(pkt flow.Packet) {
	raw := run.encode(pkt)
	num := int(pkt.From().Port()+uint16(pkt.From().IP()[3])) % run.scenario.Balancers
	run.Schedule(callerDelay, func() {
		if blc := run.balancers[num]; blc.table != nil {
			blc.table.HandleClientPacket(pkt, raw, run.Now())
			run.performBalancer(num)
		}
	})
}

// performBalancer carries out the actions of a balancer.
func (run *loadRun) performBalancer(num int) {
	blc := run.balancers[num]
	blc.table.SendQueries(run.Now())
	for _, act := range blc.table.TakeActions() {
		switch act.Kind() {
		case track.Send:
			ups, hdr, payload := run.upstreamAt(act.Agent()), act.Header(), append([]byte(nil), act.Packet()...)
			run.Schedule(hopDelay, func() { run.handleAtAgent(ups, hdr, payload, num) })
		case track.Reset:
			key := act.Key()
			if act.Cause() == track.AllRefused && run.hasFreeSlot(key.Service()) {
				run.refusedBesideFreeSlots++
			}
			run.Schedule(callerDelay, func() { run.handleReset(key) })
		case track.Notice:
		}
	}
}

// hasFreeSlot reports whether an upstream that the route of an address leads to has
// a free slot and nothing queued.
func (run *loadRun) hasFreeSlot(address flow.Endpoint) bool {
	shares := run.scenario.Classes[address.IP()[3]-1].Shares
	for _, ups := range run.upstreams {
		if shares[ups.service] > 0 && ups.table != nil && ups.flows != nil && ups.running < run.scenario.Slots && ups.table.Queued() == 0 {
			return true
		}
	}
	return false
}

// encode stores a packet and returns its index as the bytes that represent it.
func (run *loadRun) encode(pkt flow.Packet) []byte {
	run.packets = append(run.packets, pkt)
	return binary.BigEndian.AppendUint32(nil, uint32(len(run.packets)-1))
}

// decode returns the packet that encode stored.
func (run *loadRun) decode(raw []byte) flow.Packet {
	return run.packets[binary.BigEndian.Uint32(raw)]
}

// drawWork draws a service time of a class from a log-normal distribution.
func (run *loadRun) drawWork(cls LoadClass) time.Duration {
	mean := cls.Work
	if cls.Tail > 0 && run.arrivals.Float64() < cls.Tail {
		mean = time.Duration(cls.TailFactor * float64(mean))
	}
	variance := math.Log(1 + workDeviation*workDeviation)
	factor := math.Exp(math.Sqrt(variance)*run.arrivals.NormFloat64() - variance/2)
	return time.Duration(min(factor, maxWorkFactor) * float64(mean))
}
