package simul

import "time"

// LoadScenarios returns the loads that the queue and the placing of flows are
// measured with.
func LoadScenarios() []LoadScenario {
	const ms = time.Millisecond
	follow := LoadClass{Shares: []int{1}, Rate: 280, Objective: 250 * ms, Budget: 2500 * ms, Work: 55 * ms, Priority: 2, Idempotent: true, KeepsFlow: true}
	amend := LoadClass{Shares: []int{1}, Rate: 80, Objective: 300 * ms, Budget: 3000 * ms, Work: 72 * ms, Priority: 1, KeepsFlow: true}
	base := LoadScenario{
		Name: "power loss of 0.7 s, 3 upstreams of 7 slots", Classes: []LoadClass{follow}, Services: []int{3}, Slots: 7, Queue: 28,
		Balancers: 8, Callers: 100, Outage: 700 * ms, Cold: 2 * time.Second, ColdFactor: 1.6,
	}
	both := base
	both.Name, both.Classes, both.Services, both.Outage = "power loss of 1.9 s, 6 upstreams of 7 slots", []LoadClass{follow, amend}, []int{6}, 1900*ms
	large := both
	large.Name, large.Services, large.Slots, large.Queue, large.Outage = "power loss of 0.9 s, 20 upstreams of 4 slots", []int{20}, 4, 16, 900*ms
	large.Classes = []LoadClass{follow.scaled(640, 400*ms), amend.scaled(185, 400*ms)}
	short := base
	short.Name, short.Services, short.Slots, short.Queue, short.Outage = "power loss of 0.9 s, 10 upstreams of 2 slots", []int{10}, 2, 8, 900*ms
	renew := amend
	renew.Work, renew.KeepsFlow = 39*ms, false
	quick := follow
	quick.Work = 30 * ms
	short.Classes = []LoadClass{quick, renew}
	surge := base
	surge.Name, surge.Outage, surge.Surge = "burst of twice the rate, 3 upstreams of 7 slots", 0, 2
	split := base
	split.Name, split.Services = "power loss of 0.7 s, shares of 3 to 1 over two services", []int{3, 7}
	follow.Shares, amend.Shares = []int{3, 1}, []int{0, 1}
	split.Classes = []LoadClass{follow, amend}
	return []LoadScenario{base, both, large, short, surge, split}
}

// CostScenarios returns loads of two routes to the same upstreams that differ in what
// their callers lose for the work that they need.
func CostScenarios() []LoadScenario {
	const ms = time.Millisecond
	watch := LoadClass{Shares: []int{1}, Rate: 1400, Objective: 300 * ms, Budget: 1500 * ms, Work: 26 * ms, Tail: 0.03, TailFactor: 7, Priority: 2, Idempotent: true, KeepsFlow: true}
	amend := LoadClass{Shares: []int{1}, Rate: 400, Objective: 300 * ms, Budget: 1500 * ms, Work: 33 * ms, Tail: 0.03, TailFactor: 7, Priority: 1}
	base := LoadScenario{
		Name: "power loss of 1.2 s, 42 upstreams of 2 slots", Classes: []LoadClass{watch, amend}, Services: []int{42}, Slots: 2, Queue: 8,
		Balancers: 19, Callers: 250, Outage: 1200 * ms, Cold: 2 * time.Second, ColdFactor: 1.6,
	}
	uneven := base
	uneven.Name, uneven.Services, uneven.Outage, uneven.Surge = "burst of twice the rate, work of 1 to 7, 12 upstreams of 2 slots", []int{12}, 0, 2
	short, long := watch, watch
	short.Rate, short.Work, short.Tail = 700, 10*ms, 0
	long.Rate, long.Work, long.Tail = 150, 70*ms, 0
	uneven.Classes = []LoadClass{short, long}
	many := base
	many.Name, many.Services, many.Outage, many.Surge = "power loss of 0.9 s, 104 upstreams of 2 slots", []int{104}, 900*ms, 0
	lookup, push := watch, amend
	lookup.Rate, lookup.Objective, lookup.Work = 5000, 200*ms, 15*ms
	push.Rate, push.Objective, push.Work, push.KeepsFlow = 1700, 250*ms, 20*ms, true
	many.Classes = []LoadClass{lookup, push}
	return []LoadScenario{base, uneven, many}
}

// scaled returns the class with another rate and objective.
func (cls LoadClass) scaled(rate float64, objective time.Duration) LoadClass {
	cls.Rate, cls.Objective = rate, objective
	return cls
}
