package agent

import (
	"context"
	"sort"
	"sync"

	"lagoondrum/core/relay"
)

// Usage holds the number of a customer's open flows at an agent, and of its finished
// work by outcome.
type Usage struct {
	customer string
	flows    int
	outcomes map[relay.Outcome]int
}

// Customer returns the customer's name.
func (usg Usage) Customer() string { return usg.customer }

// Flows returns how many of the customer's connections are open.
func (usg Usage) Flows() int { return usg.flows }

// Work returns the number of pieces of the customer's work that ended with an
// outcome.
func (usg Usage) Work(out relay.Outcome) int { return usg.outcomes[out] }

// usages holds the usage of each customer. It is safe for concurrent use.
type usages struct {
	mu         sync.Mutex
	byCustomer map[string]*Usage
}

func newUsages() *usages { return &usages{byCustomer: make(map[string]*Usage)} }

// countFlow counts a flow for the customer of its first request until the flow ends.
func (usgs *usages) countFlow(flw *flow, customer string) {
	flw.countOnce.Do(func() {
		usgs.addFlows(customer, 1)
		context.AfterFunc(flw.conn.Context(), func() { usgs.addFlows(customer, -1) })
	})
}

func (usgs *usages) addFlows(customer string, flows int) {
	usgs.mu.Lock()
	defer usgs.mu.Unlock()
	usgs.entry(customer).flows += flows
}

func (usgs *usages) countWork(customer string, out relay.Outcome) {
	usgs.mu.Lock()
	defer usgs.mu.Unlock()
	usgs.entry(customer).outcomes[out]++
}

// entry returns the usage of a customer, a new one on first use.
func (usgs *usages) entry(customer string) *Usage {
	usg, ok := usgs.byCustomer[customer]
	if !ok {
		usg = &Usage{customer: customer, outcomes: make(map[relay.Outcome]int)}
		usgs.byCustomer[customer] = usg
	}
	return usg
}

// list returns a copy of all usages, sorted by customer name.
func (usgs *usages) list() []Usage {
	usgs.mu.Lock()
	defer usgs.mu.Unlock()
	var all []Usage
	for _, usg := range usgs.byCustomer {
		copied := Usage{customer: usg.customer, flows: usg.flows, outcomes: make(map[relay.Outcome]int)}
		for out, count := range usg.outcomes {
			copied.outcomes[out] = count
		}
		all = append(all, copied)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].customer < all[j].customer })
	return all
}
