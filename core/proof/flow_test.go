package proof

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lagoondrum/core/frame"
	"lagoondrum/core/health"
	"lagoondrum/core/lists"
	"lagoondrum/core/route"
	"lagoondrum/core/steer"
	"lagoondrum/core/table"
	"lagoondrum/core/token"
)

// flowRules are the decisions that keep flows whole and services apart.
type flowRules struct {
	decide func(rtr *route.Router, caller netip.AddrPort, address netip.Addr, packet []byte) (netip.AddrPort, frame.Header)
	keep   func(own lists.ServiceID, hdr frame.Header) bool
	mint   func(ring *token.Ring, tok token.Token, now time.Time, out []byte) error
}

func realFlow() flowRules {
	return flowRules{
		decide: func(rtr *route.Router, caller netip.AddrPort, address netip.Addr, packet []byte) (netip.AddrPort, frame.Header) {
			ver := rtr.Decide(caller, address, packet)
			return ver.Target(), ver.Header()
		},
		keep: func(own lists.ServiceID, hdr frame.Header) bool { return hdr.Service() == own },
		mint: (*token.Ring).Seal,
	}
}

type noLinks struct{}

func (noLinks) Link(netip.AddrPort) *health.Link { return nil }

// flowMachine has balancers with different lists in front of agents whose IP
// numbers move between services, while flows stay open and keys rotate.
type flowMachine struct {
	rules     flowRules
	now       time.Time
	services  [flowAgents]string // What runs at each agent's address now.
	boots     [flowAgents]int
	published []flowLists
	balancers []*flowBalancer
	keys      int
	rings     [flowAgents]*token.Ring
	flows     []openFlow
	serial    uint16
}

type flowLists struct {
	vms  *lists.VMs
	keys *lists.Keys
}

type flowBalancer struct {
	ring   *token.Ring
	vmsAt  int
	router *route.Router
	due    []dueEdit
}

// dueEdit is a published state that a balancer has in force by a deadline.
type dueEdit struct {
	deadline time.Time
	index    int
}

type openFlow struct {
	agent   int
	boot    int
	service string
	cid     [token.Bytes]byte
}

const (
	flowAgents    = 4
	flowBalancers = 3
)

var flowServices = []string{"plaque-feed", "photo-upload"}

var flowAddresses = map[string]netip.Addr{
	"plaque-feed":  netip.MustParseAddr("192.0.2.1"),
	"photo-upload": netip.MustParseAddr("192.0.2.2"),
}

const flowPlans = `[service plaque-feed]
[service photo-upload]
[plan gold]
[grant gold plaque-feed]
address = 192.0.2.1
upstreams = 3
share = 1
[grant gold photo-upload]
address = 192.0.2.2
upstreams = 3
share = 1
[end]
`

func flowAgent(at int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.1.%d:7842", at+1))
}

func newFlowMachine(rules flowRules) *flowMachine {
	mch := &flowMachine{rules: rules, now: epoch, keys: 1}
	for at := range flowAgents {
		mch.services[at] = flowServices[at%2]
		mch.rings[at] = token.NewRing()
	}
	mch.publish()
	for range flowBalancers {
		bal := &flowBalancer{ring: token.NewRing()}
		mch.balancers = append(mch.balancers, bal)
		mch.refresh(bal, 0)
	}
	mch.takeKeys()
	return mch
}

func (mch *flowMachine) publish() {
	var sb strings.Builder
	for at, service := range mch.services {
		fmt.Fprintf(&sb, "[vm u%d]\nrole = upstream\naddress = %s\nzone = z\nservice = %s\n", at, flowAgent(at), service)
	}
	vms, _ := lists.ParseVMs([]byte(sb.String() + "[end]\n"))
	sb.Reset()
	for id := 1; id <= mch.keys; id++ {
		fmt.Fprintf(&sb, "[key %d]\nsecret = %064x\n", id, id)
	}
	kys, _ := lists.ParseKeys([]byte(sb.String() + "[end]\n"))
	mch.published = append(mch.published, flowLists{vms, kys})
}

// refresh gives a balancer the published lists as of a position.
func (mch *flowMachine) refresh(bal *flowBalancer, at int) {
	bal.vmsAt = at
	bal.ring = bal.ring.With(mch.published[at].keys, mch.now)
	pls, _ := lists.ParsePlans([]byte(flowPlans))
	place := table.NewPlace("z", "", netip.AddrPort{})
	bal.router = route.New(table.New(pls, mch.published[at].vms, place), bal.ring, noLinks{})
}

// takeKeys gives every agent the newest keys at once: the hard case, since
// balancers lag.
func (mch *flowMachine) takeKeys() {
	newest := mch.published[len(mch.published)-1]
	for at := range mch.rings {
		mch.rings[at] = mch.rings[at].With(newest.keys, mch.now)
	}
}

// open starts a flow through a balancer whose list may be old.
func (mch *flowMachine) open(t *rapid.T) {
	bal := mch.balancers[rapid.IntRange(0, flowBalancers-1).Draw(t, "balancer")]
	service := rapid.SampledFrom(flowServices).Draw(t, "service")
	packet := make([]byte, 1200)
	packet[0] = 0xc0
	packet[5] = 8
	rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "cid"), 1))
	for i := 6; i < 14; i++ {
		packet[i] = byte(rnd.Uint32())
	}
	target, hdr := mch.rules.decide(bal.router, caller, flowAddresses[service], packet)
	mch.arrive(t, target, hdr, service, nil)
}

var caller = netip.MustParseAddrPort("198.51.100.7:5000")

// arrive is the agent's side: it keeps a packet only for its own service.
func (mch *flowMachine) arrive(t *rapid.T, target netip.AddrPort, hdr frame.Header, service string, flw *openFlow) {
	for at := range flowAgents {
		if flowAgent(at) != target || !mch.rules.keep(lists.IDOf(mch.services[at]), hdr) {
			continue
		}
		if mch.services[at] != service {
			t.Fatalf("a packet for %s reached an agent of %s", service, mch.services[at])
		}
		if flw == nil {
			mch.mint(t, at)
		}
	}
}

func (mch *flowMachine) mint(t *rapid.T, at int) {
	mch.serial++
	flw := openFlow{agent: at, boot: mch.boots[at], service: mch.services[at]}
	tok := token.New(flowAgent(at), lists.IDOf(mch.services[at]), mch.serial, [3]byte{byte(at), 2, 3})
	if err := mch.rules.mint(mch.rings[at], tok, mch.now, flw.cid[:]); err != nil {
		t.Fatalf("minting: %v", err)
	}
	mch.flows = append(mch.flows, flw)
}

// send has a caller send a packet of an open flow to any balancer. It has to
// reach the agent that owns the flow, whatever that balancer's lists say.
func (mch *flowMachine) send(t *rapid.T) {
	if len(mch.flows) == 0 {
		t.Skip()
	}
	flw := rapid.SampledFrom(mch.flows).Draw(t, "flow")
	bal := mch.balancers[rapid.IntRange(0, flowBalancers-1).Draw(t, "balancer")]
	packet := append([]byte{0x40}, flw.cid[:]...)
	target, hdr := mch.rules.decide(bal.router, caller, flowAddresses[flw.service], packet)
	if mch.boots[flw.agent] == flw.boot && target != flowAgent(flw.agent) {
		t.Fatalf("a packet of an open flow went to %s, not to its agent %s", target, flowAgent(flw.agent))
	}
	mch.arrive(t, target, hdr, flw.service, &flw)
}

// sendElsewhere has a caller send a packet of a flow to the other service's
// address. No agent may keep it.
func (mch *flowMachine) sendElsewhere(t *rapid.T) {
	if len(mch.flows) == 0 {
		t.Skip()
	}
	flw := rapid.SampledFrom(mch.flows).Draw(t, "flow")
	other := flowServices[0]
	if flw.service == other {
		other = flowServices[1]
	}
	bal := mch.balancers[rapid.IntRange(0, flowBalancers-1).Draw(t, "balancer")]
	packet := append([]byte{0x40}, flw.cid[:]...)
	target, hdr := mch.rules.decide(bal.router, caller, flowAddresses[other], packet)
	mch.arrive(t, target, hdr, other, &flw)
}

// reuse gives an agent's IP number to a VM of the other service.
func (mch *flowMachine) reuse(t *rapid.T) {
	at := rapid.IntRange(0, flowAgents-1).Draw(t, "agent")
	mch.boots[at]++
	mch.services[at] = rapid.SampledFrom(flowServices).Draw(t, "service")
	mch.publish()
}

// rotate publishes one more key; agents take it at once and balancers within
// the time in which an edit is in force everywhere.
func (mch *flowMachine) rotate(*rapid.T) {
	if mch.keys >= 5 {
		return
	}
	mch.keys++
	mch.publish()
	mch.takeKeys()
	for _, bal := range mch.balancers {
		bal.due = append(bal.due, dueEdit{mch.now.Add(inForce), len(mch.published) - 1})
	}
}

const inForce = 14 * time.Second

// learn lets a balancer take any published state that is not older than its own.
func (mch *flowMachine) learn(t *rapid.T) {
	bal := mch.balancers[rapid.IntRange(0, flowBalancers-1).Draw(t, "balancer")]
	mch.refresh(bal, rapid.IntRange(bal.vmsAt, len(mch.published)-1).Draw(t, "at"))
}

func (mch *flowMachine) pass(t *rapid.T) {
	mch.now = mch.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "seconds")) * time.Second)
	for _, bal := range mch.balancers {
		for len(bal.due) > 0 && !mch.now.Before(bal.due[0].deadline) {
			mch.refresh(bal, max(bal.vmsAt, bal.due[0].index))
			bal.due = bal.due[1:]
		}
	}
}

func flowProperty(rules flowRules) func(*rapid.T) {
	return func(t *rapid.T) {
		mch := newFlowMachine(rules)
		t.Repeat(map[string]func(*rapid.T){
			"open": mch.open, "send": mch.send, "sendElsewhere": mch.sendElsewhere, "reuse": mch.reuse,
			"rotate": mch.rotate, "learn": mch.learn, "pass": mch.pass,
		})
	}
}

func TestFlowsStayWholeAndServicesApart(t *testing.T) { rapid.Check(t, flowProperty(realFlow())) }

func TestFlowOracleCatches(t *testing.T) {
	mutants := map[string]func(*flowRules){
		"agent keeps packets of any service": func(rls *flowRules) {
			rls.keep = func(lists.ServiceID, frame.Header) bool { return true }
		},
		"open flows are hashed like new ones": func(rls *flowRules) {
			rls.decide = func(rtr *route.Router, caller netip.AddrPort, address netip.Addr, packet []byte) (netip.AddrPort, frame.Header) {
				ent, _ := rtr.Table().Lookup(address)
				target, _ := ent.Choose(uint64(packet[7])<<8|uint64(packet[8]), func(netip.AddrPort) bool { return true })
				return target, frame.Forward(caller, address, ent.Service())
			}
		},
		"a new key seals at once": func(rls *flowRules) {
			rls.mint = func(ring *token.Ring, tok token.Token, now time.Time, out []byte) error {
				return ring.Seal(tok, now.Add(token.MintDelay), out)
			}
		},
	}
	for name, mutate := range mutants {
		t.Run(name, func(t *testing.T) {
			rules := realFlow()
			mutate(&rules)
			assertCaught(t, flowProperty(rules))
		})
	}
}

// TestHandshakeIsNeverSplit drives one agent's steering: every packet of a
// first flight goes the same way, however the loads change meanwhile.
func TestHandshakeIsNeverSplit(t *testing.T) { rapid.Check(t, steerProperty(true)) }

func TestSteerOracleCatches(t *testing.T) {
	t.Run("decisions are not remembered", func(t *testing.T) { assertCaught(t, steerProperty(false)) })
}

func steerProperty(remember bool) func(*rapid.T) {
	return func(t *rapid.T) {
		str := steer.New()
		now := epoch
		went := make(map[steer.Flight]netip.AddrPort)
		begun := make(map[steer.Flight]time.Time)
		t.Repeat(map[string]func(*rapid.T){
			"packet": func(t *rapid.T) {
				if !remember {
					str = steer.New()
				}
				fl := steer.NewFlight(caller, uint64(rapid.IntRange(1, 5).Draw(t, "flight")))
				loads := rapid.SliceOfN(rapid.IntRange(0, 3000), 2, 2).Draw(t, "flows")
				hdr := frame.Forward(caller, flowAddresses["plaque-feed"], 1).
					WithSecond(flowAgent(1), frame.LoadOf(loads[0], 2000, 0, 4))
				self := steer.NewSelf(frame.LoadOf(loads[1], 2000, 0, 4), rapid.Bool().Draw(t, "refusing"))
				target := str.Decide(fl, hdr, flowAgent(0), self, now)
				if at, ok := begun[fl]; !ok || now.Sub(at) >= steer.RememberFor {
					begun[fl], went[fl] = now, target
				}
				if went[fl] != target {
					t.Fatalf("flight %v went to %s and then to %s", fl, went[fl], target)
				}
				back := str.Decide(fl, hdr.Pass(flowAgent(2), self.Load()).Back(), flowAgent(1), self, now)
				if back.IsValid() {
					t.Fatalf("a flight that came back was passed again")
				}
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 8).Draw(t, "seconds")) * time.Second)
			},
		})
	}
}
