package proof

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"time"

	"pgregory.net/rapid"

	"lagoondrum/core/fleet"
	"lagoondrum/core/flow"
	"lagoondrum/core/hop"
	"lagoondrum/core/intent"
	"lagoondrum/core/owner"
	"lagoondrum/core/track"
)

// The scene of the packet machine: two services with their VMs, and balancers.
const (
	sceneVMs       = 5
	sceneSlots     = 1 // So that openings wait for room.
	sceneBalancers = 2
	sceneTick      = 10 * time.Millisecond
	sceneBeat      = 250 * time.Millisecond
	sceneTouch     = 4 * time.Second // A VM is in touch when nothing was done to it for this long.
	reorderTime    = 2 * time.Second // Packets at other upstreams break a flow when none reaches its own for this long.
	listLag        = 300 * time.Millisecond
	drainBound     = 3 * time.Second
	stateBound     = 3 * time.Second // For a desired state to be in force.
	restartTime    = 400 * time.Millisecond
	askAgainTime   = 100 * time.Millisecond
	sceneIdle      = 15 * time.Second
	sceneLink      = 125e6 // Bytes a second.
)

var sceneServices = [2]string{"plaque-feed", "photo-upload"}

// sceneAddress returns the address that leads to a service at first.
func sceneAddress(num int) flow.End {
	return flow.NewEnd([4]byte{198, 18, 0, byte(num + 1)}, 443)
}

func vmIP(at int) [4]byte { return [4]byte{10, 0, 1, byte(at + 1)} }

func balancerEnd(at int) flow.End { return flow.NewEnd([4]byte{10, 0, 0, byte(at + 1)}, 7842) }

// event is something that happens at a time.
type event struct {
	at   time.Time
	num  int
	does func()
}

type events []event

func (evs events) Len() int { return len(evs) }
func (evs events) Less(i, j int) bool {
	if evs[i].at.Equal(evs[j].at) {
		return evs[i].num < evs[j].num
	}
	return evs[i].at.Before(evs[j].at)
}
func (evs events) Swap(i, j int) { evs[i], evs[j] = evs[j], evs[i] }
func (evs *events) Push(x any)   { *evs = append(*evs, x.(event)) }
func (evs *events) Pop() any {
	last := (*evs)[len(*evs)-1]
	*evs = (*evs)[:len(*evs)-1]
	return last
}

// sceneVM is a VM with an upstream and the agent beside it.
type sceneVM struct {
	service   int
	life      int // The upstream's incarnation.
	up        bool
	draining  bool
	drainAt   time.Time
	holds     map[flow.Key]*heldFlow
	book      *owner.Book // Nil while the agent is down.
	agentLife uint64
	agentAt   time.Time // When the agent was last started.
	hurtAt    time.Time // When the agent was last killed without notice.
	listed    bool
}

// heldFlow is a flow at an upstream.
type heldFlow struct {
	first uint32
	seq   uint32
	open  bool
}

// sceneBalancer is a balancer, with the list as it has it.
type sceneBalancer struct {
	table  *track.Table
	fleet  *fleet.Fleet
	board  *intent.Board
	hurtAt time.Time
	lag    time.Duration
	behind []time.Time // When the desired states that it has not heard of were published.
	nextAt time.Time   // When it hears of the last of them: they come in order.
}

// sceneFlow is a client's flow.
type sceneFlow struct {
	key      flow.Key
	address  int
	first    uint32
	via      int
	vm       int // Where it is open, -1 before.
	life     int
	seq      uint32
	copies   int
	over     bool // The client has let go of it.
	answered int
	asked    int
	askedAt  time.Time
	openedAt time.Time // When its client first asked to open it.
	strays   int       // How many of its packets reached other upstreams.
	watched  bool      // Strays are being counted.
	ownAt    time.Time // When one last reached its own.
	usedAt   time.Time // When its upstream last took one.
	dropped  bool      // Its route was dropped while it was there.
}

// scene plays the system in virtual time.
type scene struct {
	t         *rapid.T
	rules     packetRules
	now       time.Time
	agenda    events
	serial    int
	vms       [sceneVMs]*sceneVM
	balancers [sceneBalancers]*sceneBalancer
	flows     []*sceneFlow
	byKey     map[flow.Key]*sceneFlow
	packets   []flow.Packet
	ports     uint16
	seqs      uint32
	version   uint64                                            // Of the desired state.
	leads     [len(sceneServices)]int                           // The service that each address leads to, noService for none.
	ledTill   [len(sceneServices)][len(sceneServices)]time.Time // When an address last led to a service, zero for never.
	truth     *intent.Board                                     // Every desired state, at once.
	alone     bool                                              // Processes that start find no other one.
	lossy     bool
	drops     uint32
}

func newScene(t *rapid.T, rules packetRules) *scene {
	scn := &scene{t: t, rules: rules, now: epoch, byKey: make(map[flow.Key]*sceneFlow), ports: 20000, version: 1, truth: intent.NewBoard(time.Time{})}
	for num := range scn.leads {
		scn.leads[num] = num
	}
	scn.truth.Adopt(scn.state(), scn.now)
	for at := range scn.vms {
		scn.vms[at] = &sceneVM{service: at % 2}
		scn.startUpstream(at, at%2)
		scn.startAgent(at, true)
	}
	for at := range scn.balancers {
		scn.startBalancer(at)
		scn.balancers[at].board = scn.newBoard(time.Time{})
		scn.balancers[at].board.Adopt(scn.state(), scn.now)
		scn.balancers[at].newTable()
	}
	scn.after(sceneTick, scn.tick)
	scn.after(0, scn.beat)
	scn.run(500 * time.Millisecond)
	return scn
}

func (scn *scene) after(wait time.Duration, does func()) {
	scn.serial++
	heap.Push(&scn.agenda, event{at: scn.now.Add(wait), num: scn.serial, does: does})
}

// send has a datagram arrive after a while, twice at times, or never.
func (scn *scene) send(does func()) {
	scn.drops = scn.drops*1664525 + 1013904223 // A fixed sequence, so that draws stay few.
	roll := scn.drops >> 16 % 100
	if scn.lossy && roll < 8 {
		return
	}
	wait := time.Duration(200+roll*30) * time.Microsecond
	scn.after(wait, does)
	if scn.lossy && roll > 92 {
		scn.after(wait+3*time.Millisecond, does)
	}
}

func (scn *scene) run(span time.Duration) {
	until := scn.now.Add(span)
	for len(scn.agenda) > 0 && !scn.agenda[0].at.After(until) {
		evt := heap.Pop(&scn.agenda).(event)
		scn.now = evt.at
		evt.does()
	}
	scn.now = until
}

func (scn *scene) tick() {
	for at, vm := range scn.vms {
		if vm.book != nil {
			vm.book.Tick(scn.now)
			scn.performAgent(at)
		}
	}
	for at, blc := range scn.balancers {
		blc.fleet.Tick(scn.now)
		blc.board.Confirm(scn.confirmed(blc))
		blc.table.Tick(scn.now)
		scn.performBalancer(at)
	}
	scn.after(sceneTick, scn.tick)
}

func (scn *scene) beat() {
	for at := range scn.balancers {
		for vm := range scn.vms {
			if agt := scn.balancers[at].fleet.Agent(vmIP(vm)); agt != nil {
				agt.NoteAsked(scn.now)
			}
			scn.send(func() { scn.answerBeat(vm, at, false) })
		}
	}
	scn.after(sceneBeat, scn.beat)
}

func (scn *scene) answerBeat(at, balancer int, restarting bool) {
	vm := scn.vms[at]
	if vm.book == nil {
		return
	}
	hdr := hop.NewBeat(vm.book.Service(), vm.agentLife, 1).WithLoad(vm.book.Load(scn.now))
	if vm.book.Leaving() || restarting {
		hdr = hdr.WithLeaving(restarting)
	}
	if vm.book.Down() {
		hdr = hdr.WithDown()
	}
	scn.send(func() { scn.toBalancer(balancer, hdr, nil, vmIP(at)) })
}

// raw returns bytes that stand for a packet.
func (scn *scene) raw(pkt flow.Packet) []byte {
	scn.packets = append(scn.packets, pkt)
	return binary.BigEndian.AppendUint32(nil, uint32(len(scn.packets)-1))
}

func (scn *scene) packet(raw []byte) flow.Packet { return scn.packets[binary.BigEndian.Uint32(raw)] }

// startUpstream starts an upstream of a service at a VM.
func (scn *scene) startUpstream(at, service int) {
	vm := scn.vms[at]
	vm.service = service
	vm.life++
	vm.up, vm.draining, vm.listed = true, false, true
	vm.holds = make(map[flow.Key]*heldFlow)
	scn.list(at)
}

func (scn *scene) listing(at int) fleet.Listing {
	vm := scn.vms[at]
	return fleet.Listing{
		ID:       fmt.Sprintf("u%d-%d", at, vm.life),
		Service:  sceneServices[vm.service],
		Address:  vmIP(at),
		Port:     8080,
		Zone:     "z",
		Slots:    4,
		Draining: vm.draining,
		Born:     int64(vm.life),
	}
}

// list publishes what a VM's upstream says; balancers learn it with their lag.
func (scn *scene) list(at int) {
	lst, listed := scn.listing(at), scn.vms[at].listed
	for _, blc := range scn.balancers {
		if blc == nil {
			continue
		}
		scn.after(blc.lag, func() {
			if listed {
				blc.fleet.List(fleet.NewServer(lst, scn.now), scn.now)
			} else {
				blc.fleet.Unlist(lst.ID, scn.now)
			}
		})
	}
	if book := scn.vms[at].book; book != nil {
		scn.after(listLag, func() {
			if scn.vms[at].book == book && !scn.rules.ignoreDrain {
				book.SetLeaving(lst.Draining)
			}
		})
	}
}

func (scn *scene) startAgent(at int, complete bool) {
	vm := scn.vms[at]
	vm.agentLife++
	vm.agentAt = scn.now
	vm.book = owner.New(hop.ServiceID(sceneServices[vm.service]), sceneIdle, scn.now, complete || scn.rules.trustEmptyMemory)
	vm.book.SetSlots(sceneSlots)
	if !scn.rules.ignoreDrain {
		vm.book.SetLeaving(vm.draining)
	}
}

// noService stands for no route.
const noService = -1

// newBoard returns the board of a balancer that knows routes since a time.
func (scn *scene) newBoard(since time.Time) *intent.Board {
	if scn.rules.trustYouth {
		since = time.Time{}
	}
	return intent.NewBoard(since)
}

// startBalancer starts a balancer, which learns of former routes from another one
// unless it is alone.
func (scn *scene) startBalancer(at int) {
	blc := &sceneBalancer{board: scn.newBoard(scn.now), fleet: fleet.New()}
	if peer := scn.balancers[(at+1)%sceneBalancers]; peer != nil && !scn.alone {
		blc.board.Adopt(peer.board.State(), scn.now)
		blc.board.Inherit(peer.board.History(scn.now), time.Time{})
		blc.board.Inherit(intent.NewHistory(scn.confirmed(peer), scn.truth.History(scn.now).Formers()), scn.confirmed(peer))
	}
	blc.board.Adopt(scn.state(), scn.now)
	for vm := range scn.vms {
		if scn.vms[vm].listed {
			blc.fleet.List(fleet.NewServer(scn.listing(vm), scn.now), scn.now)
		}
	}
	blc.newTable()
	scn.balancers[at] = blc
}

func (blc *sceneBalancer) newTable() { blc.table = track.New("z", sceneLink, blc.board, blc.fleet) }

// confirmed returns until when a balancer has heard of every desired state.
func (scn *scene) confirmed(blc *sceneBalancer) time.Time {
	if len(blc.behind) > 0 && !scn.rules.trustLag {
		return blc.behind[0].Add(-1)
	}
	return scn.now
}

// state returns the desired state as it was published last.
func (scn *scene) state() *intent.State {
	routes := make(map[flow.End]*intent.Route)
	for num, service := range scn.leads {
		if service != noService {
			name := sceneServices[service]
			routes[sceneAddress(num)] = intent.NewRoute(name, []intent.Share{intent.NewShare(name, 1)})
		}
	}
	return intent.NewState(scn.version, routes, sceneIdle)
}

// setRoute publishes a desired state in which an address leads to another
// service, or to none. Balancers learn it with their lag, each state in turn;
// some hear of the former state again later.
func (scn *scene) setRoute(address, service int) {
	former := scn.state()
	scn.version++
	if led := scn.leads[address]; led != noService && led != service {
		scn.ledTill[address][led] = scn.now
	}
	scn.leads[address] = service
	for _, flw := range scn.flows {
		flw.dropped = flw.dropped || flw.address == address && service == noService
	}
	next := scn.state()
	scn.truth.Adopt(next, scn.now)
	for _, blc := range scn.balancers {
		blc.nextAt = later(blc.nextAt, scn.now.Add(blc.lag))
		blc.behind = append(blc.behind, scn.now)
		scn.after(blc.nextAt.Sub(scn.now), func() {
			blc.behind = blc.behind[1:]
			if !scn.rules.ignoreState {
				blc.board.Adopt(next, scn.now)
			}
		})
		scn.after(blc.nextAt.Sub(scn.now)+listLag, func() { scn.hearFormer(blc, former) })
	}
}

func later(one, other time.Time) time.Time {
	if one.After(other) {
		return one
	}
	return other
}

func (scn *scene) hearFormer(blc *sceneBalancer, former *intent.State) {
	if scn.rules.anyVersion {
		blc.board = intent.NewBoard(time.Time{})
		blc.newTable()
	}
	blc.board.Adopt(former, scn.now)
}

// led reports whether an address has led to a service within a time, or ever.
func (scn *scene) led(address, service int) bool {
	return scn.leads[address] == service || !scn.ledTill[address][service].IsZero()
}

// performBalancer carries out what a balancer decided.
func (scn *scene) performBalancer(at int) {
	scn.balancers[at].table.Ask(scn.now)
	for _, act := range scn.balancers[at].table.Take() {
		switch act.Kind() {
		case track.Send:
			hdr, raw, agent := act.Header(), append([]byte(nil), act.Packet()...), act.Agent()
			scn.send(func() { scn.toAgent(int(agent[3])-1, hdr, raw, balancerEnd(at)) })
		case track.Reset:
			scn.resetClient(act.Key())
		case track.Notice:
			if act.Cause() == track.NoHint && scn.rules.resetWithoutProof {
				scn.resetClient(act.Key())
			}
		}
	}
}

func (scn *scene) toAgent(at int, hdr hop.Header, raw []byte, from flow.End) {
	vm := scn.vms[at]
	if vm.book == nil {
		return
	}
	if scn.rules.anyService {
		hdr = hop.New(hdr.Kind(), vm.book.Service(), hdr.Key()).WithSeq(hdr.Seq())
	}
	if hdr.Kind() == hop.Seek {
		vm.book.Asked(hdr, scn.questions(vm, raw), from, scn.now)
		scn.performAgent(at)
		return
	}
	pkt := scn.packet(raw)
	if scn.rules.ignoreAck && !pkt.Opening() {
		if held := vm.holds[pkt.FromClient()]; held != nil {
			pkt = flow.NewPacket(pkt.From(), pkt.To(), flow.Ack, pkt.Seq(), held.seq+1, 1)
		}
	}
	vm.book.FromBalancer(hdr, pkt, raw, from, scn.now)
	scn.performAgent(at)
}

// questions returns a list of questions as an agent reads it.
func (scn *scene) questions(vm *sceneVM, list []byte) []byte {
	if !scn.rules.ignoreAck {
		return list
	}
	var broken []byte
	hop.EachQuestion(list, func(key flow.Key, ack uint32) {
		if held := vm.holds[key]; held != nil {
			ack = held.seq
		}
		broken = hop.AppendQuestion(broken, key, ack)
	})
	return broken
}

func (scn *scene) toBalancer(at int, hdr hop.Header, raw []byte, from [4]byte) {
	blc := scn.balancers[at]
	if agt := blc.fleet.Agent(from); agt != nil {
		silent := agt.Owes(askAgainTime, scn.now)
		agt.NoteHeard(hdr, scn.now)
		if silent {
			blc.table.AskAgain(agt)
		}
	}
	if hdr.Kind() == hop.Beat {
		return
	}
	blc.table.FromAgent(hdr, raw, from, scn.now)
	scn.performBalancer(at)
}

// performAgent carries out what an agent decided.
func (scn *scene) performAgent(at int) {
	vm := scn.vms[at]
	for _, act := range vm.book.Take() {
		raw := append([]byte(nil), act.Packet()...)
		switch act.Kind() {
		case owner.Deliver:
			life := vm.life
			scn.after(100*time.Microsecond, func() {
				if vm.life == life { // An address is another's only seconds later.
					scn.atUpstream(at, raw)
				}
			})
		case owner.ToClient:
			scn.send(func() { scn.atClient(scn.packet(raw)) })
		case owner.Reset:
			scn.resetClient(act.Key())
		case owner.Tell:
			hdr, peer := act.Header(), act.Peer()
			scn.send(func() { scn.toBalancer(int(peer.IP()[3])-1, hdr, raw, vmIP(at)) })
		case owner.Probe:
			scn.after(time.Millisecond, func() { scn.probe(at) })
		}
	}
}

func (scn *scene) probe(at int) {
	vm := scn.vms[at]
	if vm.book == nil {
		return
	}
	if vm.up {
		vm.book.Probed(owner.Running{})
	} else {
		vm.book.Probed(owner.NotRunning{})
	}
}
