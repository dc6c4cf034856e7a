package track

import (
	"time"

	"lagoondrum/core/fleet"
	"lagoondrum/core/flow"
	"lagoondrum/core/hop"
)

// Limits of the questions to agents.
const (
	questionShare = 0.1                    // Of the link, for questions; as much comes back as answers.
	questionBurst = 100 * time.Millisecond // Of that rate, in one go.
	lineBytes     = 28                     // The headers of IP and UDP before each datagram.
)

// inquiry collects the questions to each agent. When many flows are sought at
// once, as after a power loss, one datagram carries many questions, and all of
// them together leave the link to the flows.
type inquiry struct {
	rate   float64 // Bytes a second.
	credit float64
	at     time.Time
	queues map[[4]byte]*questions
	order  [][4]byte
}

// questions are those that wait for one agent.
type questions struct {
	agent *fleet.Agent
	keys  []flow.Key
	acks  map[flow.Key]uint32
}

func newInquiry(linkBytes float64) inquiry {
	return inquiry{rate: questionShare * linkBytes, queues: make(map[[4]byte]*questions)}
}

// add queues a question, once for each flow and agent.
func (inq *inquiry) add(agt *fleet.Agent, key flow.Key, ack uint32) {
	que := inq.queues[agt.IP()]
	if que == nil {
		que = &questions{acks: make(map[flow.Key]uint32)}
		inq.queues[agt.IP()] = que
		inq.order = append(inq.order, agt.IP())
	}
	que.agent = agt
	if _, waits := que.acks[key]; !waits {
		que.keys = append(que.keys, key)
	}
	que.acks[key] = ack
}

// next returns the next datagram of questions that the rate allows.
func (inq *inquiry) next(now time.Time) (ip [4]byte, hdr hop.Header, list []byte, ok bool) {
	burst := inq.rate * questionBurst.Seconds()
	inq.credit = min(inq.credit+inq.rate*now.Sub(inq.at).Seconds(), burst)
	inq.at = now
	if len(inq.order) == 0 || inq.credit <= 0 {
		return ip, hdr, nil, false
	}
	ip = inq.order[0]
	que := inq.queues[ip]
	count := min(len(que.keys), hop.MaxQuestions)
	for _, key := range que.keys[:count] {
		list = hop.AppendQuestion(list, key, que.acks[key])
		delete(que.acks, key)
	}
	que.keys = que.keys[count:]
	inq.order = inq.order[1:]
	if len(que.keys) > 0 {
		inq.order = append(inq.order, ip)
	} else {
		delete(inq.queues, ip)
	}
	que.agent.NoteAsked(now)
	inq.credit -= float64(lineBytes + hop.HeaderBytes + len(list))
	return ip, hop.New(hop.Seek, que.agent.ServiceID(), flow.Key{}), list, true
}

// Ask sends the questions that have come together, as far as their rate allows.
// It is called once for each batch of packets.
func (tbl *Table) Ask(now time.Time) {
	for {
		ip, hdr, list, ok := tbl.inquiry.next(now)
		if !ok {
			return
		}
		tbl.out = append(tbl.out, Action{kind: Send, agent: ip, header: hdr, packet: list})
	}
}
