package simul

import "time"

// LoadScenario is a load that upstreams cannot serve within the latency objective
// for some time: after a power loss of the whole system, in a burst, or when
// upstreams are gone.
type LoadScenario struct {
	Name       string
	Classes    []LoadClass
	Services   []int // How many upstreams each service has.
	Slots      int
	Queue      int // Requests that an upstream queues; it refuses further ones.
	Balancers  int
	Callers    int           // Hosts with an address of their own.
	Outage     time.Duration // How long everything is without power at the start; 0 for no loss.
	Lost       int           // Upstreams of the first service that are gone for good from the start on.
	Cold       time.Duration // How long an upstream is slow after its start.
	ColdFactor float64       // By how much a cold upstream is slower.
	Surge      float64       // Factor on the rates during the first second; 0 for none.
	Mute       float64       // Fraction of its requests that the first upstream never answers from the start on.
	Unqueued   bool          // Agents do not know the slots of their upstreams, so that nothing waits at them.
	ByCost     bool          // Requests are ordered and refused by what callers lose.
	Restarted  bool          // All agents restart at the start, while their upstreams run on.
	ReportLag  time.Duration // By how much heartbeats of agents are late.
	Remote     bool          // All upstreams are in another availability zone than the balancers.
	Bad        int           // Upstreams, the first ones, that have the defect from the start on.
	Defect     Defect
	Judged     bool // Balancers judge upstreams by what callers get.
}

// upstreams returns how many upstreams all services have.
func (scn LoadScenario) upstreams() int {
	sum := 0
	for _, count := range scn.Services {
		sum += count
	}
	return sum
}
