package agent

import (
	"context"
	"sort"
	"sync"

	"lagoondrum/core/relay"
)

// Usage is what one customer has open and has had done at an agent.
type Usage struct {
	customer string
	flows    int
	outcomes map[relay.Outcome]int
}

// Customer returns the customer's name.
func (usg Usage) Customer() string { return usg.customer }

// Flows returns how many of the customer's connections are open.
func (usg Usage) Flows() int { return usg.flows }

// Work returns how much of the customer's work ended with an outcome.
func (usg Usage) Work(out relay.Outcome) int { return usg.outcomes[out] }

// usages counts by customer. It is safe for concurrent use.
type usages struct {
	mu  sync.Mutex
	all map[string]*Usage
}

func newUsages() *usages { return &usages{all: make(map[string]*Usage)} }

// noteFlow counts a flow for its first customer until the flow ends.
func (usgs *usages) noteFlow(flw *flow, customer string) {
	flw.counted.Do(func() {
		usgs.add(customer, 1)
		context.AfterFunc(flw.conn.Context(), func() { usgs.add(customer, -1) })
	})
}

func (usgs *usages) add(customer string, flows int) {
	usgs.mu.Lock()
	defer usgs.mu.Unlock()
	usgs.of(customer).flows += flows
}

func (usgs *usages) noteWork(customer string, out relay.Outcome) {
	usgs.mu.Lock()
	defer usgs.mu.Unlock()
	usgs.of(customer).outcomes[out]++
}

func (usgs *usages) of(customer string) *Usage {
	usg, ok := usgs.all[customer]
	if !ok {
		usg = &Usage{customer: customer, outcomes: make(map[relay.Outcome]int)}
		usgs.all[customer] = usg
	}
	return usg
}

// list returns a copy by customer name.
func (usgs *usages) list() []Usage {
	usgs.mu.Lock()
	defer usgs.mu.Unlock()
	var all []Usage
	for _, usg := range usgs.all {
		kept := Usage{customer: usg.customer, flows: usg.flows, outcomes: make(map[relay.Outcome]int)}
		for out, count := range usg.outcomes {
			kept.outcomes[out] = count
		}
		all = append(all, kept)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].customer < all[j].customer })
	return all
}
