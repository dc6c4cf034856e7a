package model

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

// flowRules are the decisions that send every packet of a flow to its owner and
// isolate the services. Mutants replace one of them.
type flowRules struct {
	decide func(rtr *route.Router, caller netip.AddrPort, address netip.Addr, packet []byte) (netip.AddrPort, frame.Header)
	accept func(own lists.ServiceID, hdr frame.Header) bool
	seal   func(krg *token.Keyring, tok token.Token, now time.Time, out []byte) error
}

func realFlowRules() flowRules {
	return flowRules{
		decide: func(rtr *route.Router, caller netip.AddrPort, address netip.Addr, packet []byte) (netip.AddrPort, frame.Header) {
			ver := rtr.Decide(caller, address, packet)
			return ver.Target(), ver.Header()
		},
		accept: func(own lists.ServiceID, hdr frame.Header) bool { return hdr.Service() == own },
		seal:   (*token.Keyring).Seal,
	}
}

// noLinks reports no health link for any agent.
type noLinks struct{}

func (noLinks) Link(netip.AddrPort) *health.Link { return nil }

// flowMachine runs balancers that hold different list revisions in front of
// agents whose IP addresses move between services, while flows stay open and
// keys rotate.
type flowMachine struct {
	rules        flowRules
	now          time.Time
	services     [flowAgents]string // The service that runs at each agent's address now.
	incarnations [flowAgents]int
	published    []flowLists // Every published state, oldest first.
	balancers    []*flowBalancer
	keyCount     int
	rings        [flowAgents]*token.Keyring
	flows        []openFlow
	serial       uint16
}

// flowLists is one published state of the lists.
type flowLists struct {
	vms  *lists.VMs
	keys *lists.Keys
}

// flowBalancer is a balancer with the published state that it has in force.
type flowBalancer struct {
	keyring  *token.Keyring
	revision int // Index of that state in the published ones.
	router   *route.Router
	pending  []pendingUpdate
}

// pendingUpdate is a published state that a balancer puts in force by a deadline.
type pendingUpdate struct {
	deadline time.Time
	index    int
}

// openFlow is a flow with the agent incarnation that owns it.
type openFlow struct {
	agent       int
	incarnation int
	service     string
	cid         [token.Bytes]byte
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

// flowAgentAddr returns the address of an agent.
func flowAgentAddr(idx int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.1.%d:7842", idx+1))
}

func newFlowMachine(rules flowRules) *flowMachine {
	mch := &flowMachine{rules: rules, now: epoch, keyCount: 1}
	for idx := range flowAgents {
		mch.services[idx] = flowServices[idx%2]
		mch.rings[idx] = token.NewKeyring()
	}
	mch.publish()
	for range flowBalancers {
		bal := &flowBalancer{keyring: token.NewKeyring()}
		mch.balancers = append(mch.balancers, bal)
		mch.applyLists(bal, 0)
	}
	mch.updateAgentKeys()
	return mch
}

// publish appends the current VMs and keys to the published states.
func (mch *flowMachine) publish() {
	var sb strings.Builder
	for idx, service := range mch.services {
		fmt.Fprintf(&sb, "[vm u%d]\nrole = upstream\naddress = %s\nzone = z\nservice = %s\n", idx, flowAgentAddr(idx), service)
	}
	vms, _ := lists.ParseVMs([]byte(sb.String() + "[end]\n"))
	sb.Reset()
	for id := 1; id <= mch.keyCount; id++ {
		fmt.Fprintf(&sb, "[key %d]\nsecret = %064x\n", id, id)
	}
	kys, _ := lists.ParseKeys([]byte(sb.String() + "[end]\n"))
	mch.published = append(mch.published, flowLists{vms, kys})
}

// applyLists puts a published state in force at a balancer.
func (mch *flowMachine) applyLists(bal *flowBalancer, idx int) {
	bal.revision = idx
	bal.keyring = bal.keyring.With(mch.published[idx].keys, mch.now)
	pls, _ := lists.ParsePlans([]byte(flowPlans))
	loc := table.NewLocality("z", "", netip.AddrPort{})
	bal.router = route.New(table.New(pls, mch.published[idx].vms, loc), bal.keyring, noLinks{})
}

// updateAgentKeys gives every agent the newest keys immediately: the worst case,
// since balancers receive them later.
func (mch *flowMachine) updateAgentKeys() {
	newest := mch.published[len(mch.published)-1]
	for idx := range mch.rings {
		mch.rings[idx] = mch.rings[idx].With(newest.keys, mch.now)
	}
}

// open starts a flow through a balancer whose lists may be old.
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
	mch.receive(t, target, hdr, service, nil)
}

// caller is the address of every flow's caller.
var caller = netip.MustParseAddrPort("198.51.100.7:5000")

// receive is the agent's side: an agent accepts a packet only for its own
// service. A packet without a flow opens one.
func (mch *flowMachine) receive(t *rapid.T, target netip.AddrPort, hdr frame.Header, service string, flw *openFlow) {
	for idx := range flowAgents {
		if flowAgentAddr(idx) != target || !mch.rules.accept(lists.ServiceIDOf(mch.services[idx]), hdr) {
			continue
		}
		if mch.services[idx] != service {
			t.Fatalf("a packet for %s reached an agent of %s", service, mch.services[idx])
		}
		if flw == nil {
			mch.addFlow(t, idx)
		}
	}
}

// addFlow opens a flow at an agent, which seals the token that is its connection
// ID.
func (mch *flowMachine) addFlow(t *rapid.T, idx int) {
	mch.serial++
	flw := openFlow{agent: idx, incarnation: mch.incarnations[idx], service: mch.services[idx]}
	tok := token.New(flowAgentAddr(idx), lists.ServiceIDOf(mch.services[idx]), mch.serial, [3]byte{byte(idx), 2, 3})
	if err := mch.rules.seal(mch.rings[idx], tok, mch.now, flw.cid[:]); err != nil {
		t.Fatalf("sealing the token of a new flow: %v", err)
	}
	mch.flows = append(mch.flows, flw)
}

// send has a caller send a packet of an open flow to any balancer. The packet
// has to reach the agent that owns the flow, whichever lists that balancer has.
func (mch *flowMachine) send(t *rapid.T) {
	if len(mch.flows) == 0 {
		t.Skip()
	}
	flw := rapid.SampledFrom(mch.flows).Draw(t, "flow")
	bal := mch.balancers[rapid.IntRange(0, flowBalancers-1).Draw(t, "balancer")]
	packet := append([]byte{0x40}, flw.cid[:]...)
	target, hdr := mch.rules.decide(bal.router, caller, flowAddresses[flw.service], packet)
	if mch.incarnations[flw.agent] == flw.incarnation && target != flowAgentAddr(flw.agent) {
		t.Fatalf("a packet of an open flow went to %s, not to its agent %s", target, flowAgentAddr(flw.agent))
	}
	mch.receive(t, target, hdr, flw.service, &flw)
}

// sendToOtherService has a caller send a packet of a flow to the other service's
// address. No agent of the flow's service may accept it.
func (mch *flowMachine) sendToOtherService(t *rapid.T) {
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
	mch.receive(t, target, hdr, other, &flw)
}

// reuseAddress gives an agent's IP address to a new VM of either service.
func (mch *flowMachine) reuseAddress(t *rapid.T) {
	idx := rapid.IntRange(0, flowAgents-1).Draw(t, "agent")
	mch.incarnations[idx]++
	mch.services[idx] = rapid.SampledFrom(flowServices).Draw(t, "service")
	mch.publish()
}

// rotateKeys publishes one more key. Agents receive it immediately, balancers
// within maxUpdateDelay.
func (mch *flowMachine) rotateKeys(*rapid.T) {
	if mch.keyCount >= 5 {
		return
	}
	mch.keyCount++
	mch.publish()
	mch.updateAgentKeys()
	for _, bal := range mch.balancers {
		bal.pending = append(bal.pending, pendingUpdate{mch.now.Add(maxUpdateDelay), len(mch.published) - 1})
	}
}

// maxUpdateDelay is the time within which every process has an edit in force.
const maxUpdateDelay = 14 * time.Second

// updateBalancer gives a balancer any published state that is not older than its
// own.
func (mch *flowMachine) updateBalancer(t *rapid.T) {
	bal := mch.balancers[rapid.IntRange(0, flowBalancers-1).Draw(t, "balancer")]
	mch.applyLists(bal, rapid.IntRange(bal.revision, len(mch.published)-1).Draw(t, "at"))
}

// advance moves time forward and applies the updates that are due.
func (mch *flowMachine) advance(t *rapid.T) {
	mch.now = mch.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "seconds")) * time.Second)
	for _, bal := range mch.balancers {
		for len(bal.pending) > 0 && !mch.now.Before(bal.pending[0].deadline) {
			mch.applyLists(bal, max(bal.revision, bal.pending[0].index))
			bal.pending = bal.pending[1:]
		}
	}
}

func flowProperty(rules flowRules) func(*rapid.T) {
	return func(t *rapid.T) {
		mch := newFlowMachine(rules)
		t.Repeat(map[string]func(*rapid.T){
			"open": mch.open, "send": mch.send, "sendElsewhere": mch.sendToOtherService, "reuse": mch.reuseAddress,
			"rotate": mch.rotateKeys, "learn": mch.updateBalancer, "pass": mch.advance,
		})
	}
}

func TestFlowsReachOwnersAndServicesAreIsolated(t *testing.T) {
	rapid.Check(t, flowProperty(realFlowRules()))
}

func TestFlowOracleDetectsMutants(t *testing.T) {
	mutants := map[string]func(*flowRules){
		"agent accepts packets of any service": func(rls *flowRules) {
			rls.accept = func(lists.ServiceID, frame.Header) bool { return true }
		},
		"packets of open flows are hashed like those of new ones": func(rls *flowRules) {
			rls.decide = func(rtr *route.Router, caller netip.AddrPort, address netip.Addr, packet []byte) (netip.AddrPort, frame.Header) {
				ent, _ := rtr.Table().Lookup(address)
				target, _ := ent.Choose(uint64(packet[7])<<8|uint64(packet[8]), func(netip.AddrPort) bool { return true })
				return target, frame.Forward(caller, address, ent.Service())
			}
		},
		"new key seals without delay": func(rls *flowRules) {
			rls.seal = func(krg *token.Keyring, tok token.Token, now time.Time, out []byte) error {
				return krg.Seal(tok, now.Add(token.ActivationDelay), out)
			}
		},
	}
	for name, mutate := range mutants {
		t.Run(name, func(t *testing.T) {
			rules := realFlowRules()
			mutate(&rules)
			assertCaught(t, flowProperty(rules))
		})
	}
}

// TestFirstFlightIsNotSplit checks that an agent steers every packet of a first
// flight to the same agent, however the loads change meanwhile.
func TestFirstFlightIsNotSplit(t *testing.T) { rapid.Check(t, steerProperty(true)) }

func TestSteerOracleDetectsMutants(t *testing.T) {
	t.Run("decisions are not remembered", func(t *testing.T) { assertCaught(t, steerProperty(false)) })
}

// steerProperty checks the decisions of one agent's steering: a first flight is
// not split, and one that was handed back is not passed on again. Without
// remember, every packet is decided anew.
func steerProperty(remember bool) func(*rapid.T) {
	return func(t *rapid.T) {
		sel := steer.New()
		now := epoch
		targets := make(map[steer.Flight]netip.AddrPort)
		decidedAt := make(map[steer.Flight]time.Time)
		t.Repeat(map[string]func(*rapid.T){
			"packet": func(t *rapid.T) {
				if !remember {
					sel = steer.New()
				}
				fl := steer.NewFlight(caller, uint64(rapid.IntRange(1, 5).Draw(t, "flight")))
				loads := rapid.SliceOfN(rapid.IntRange(0, 3000), 2, 2).Draw(t, "flows")
				hdr := frame.Forward(caller, flowAddresses["plaque-feed"], 1).
					WithSecondChoice(flowAgentAddr(1), frame.NewLoad(loads[0], 2000, 0, 4))
				sta := steer.NewState(frame.NewLoad(loads[1], 2000, 0, 4), rapid.Bool().Draw(t, "refusing"))
				target := sel.Decide(fl, hdr, flowAgentAddr(0), sta, now)
				if decided, ok := decidedAt[fl]; !ok || now.Sub(decided) >= steer.DecisionTTL {
					decidedAt[fl], targets[fl] = now, target
				}
				if targets[fl] != target {
					t.Fatalf("packets of flight %v were sent to %s and then to %s", fl, targets[fl], target)
				}
				back := sel.Decide(fl, hdr.Pass(flowAgentAddr(2), sta.Load()).HandBack(), flowAgentAddr(1), sta, now)
				if back.IsValid() {
					t.Fatalf("a first flight that was handed back was passed on again")
				}
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 8).Draw(t, "seconds")) * time.Second)
			},
		})
	}
}
