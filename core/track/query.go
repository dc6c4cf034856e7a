package track

import (
	"slices"
	"time"

	"lagoondrum/core/encap"
	"lagoondrum/core/fleet"
	"lagoondrum/core/flow"
)

// Rate limits of the queries to agents.
const (
	queryShare       = 0.3                    // Share of the link that queries may use; the answers use as much of the other direction.
	queryBurst       = 100 * time.Millisecond // Largest burst, as time at that rate.
	ipUDPHeaderBytes = 28                     // IPv4 and UDP headers of a datagram.
	queryPause       = 5 * time.Millisecond   // Between two datagrams to one agent, unless the second is full: while many flows are searched for they share datagrams, whose number is what costs processor time.
)

// queryQueue collects the queries to each agent and limits their rate with a token
// bucket. When many flows are searched for at once, as after a power loss, one
// datagram carries many queries, and all queries together leave most of the link
// to the flows.
type queryQueue struct {
	rate       float64 // Bytes per second.
	credit     float64 // Bytes that may be sent; below zero after a datagram that exceeded it.
	creditAt   time.Time
	byAgent    map[[4]byte]*agentQueries
	agentOrder [][4]byte // Agents with queries, the next one first.
	sentAt     map[[4]byte]time.Time
}

// agentQueries holds the queries that wait to be sent to one agent.
type agentQueries struct {
	agent *fleet.Agent
	keys  []flow.Key
	acks  map[flow.Key]uint32
}

func newQueryQueue(linkBytes float64) queryQueue {
	return queryQueue{rate: queryShare * linkBytes, byAgent: make(map[[4]byte]*agentQueries), sentAt: make(map[[4]byte]time.Time)}
}

// add queues a query. A flow is queued once for each agent, with its newest
// acknowledgement.
func (que *queryQueue) add(agt *fleet.Agent, key flow.Key, ack uint32) {
	aqs := que.byAgent[agt.IP()]
	if aqs == nil {
		aqs = &agentQueries{acks: make(map[flow.Key]uint32)}
		que.byAgent[agt.IP()] = aqs
		que.agentOrder = append(que.agentOrder, agt.IP())
	}
	aqs.agent = agt
	if _, waits := aqs.acks[key]; !waits {
		aqs.keys = append(aqs.keys, key)
	}
	aqs.acks[key] = ack
}

// nextDatagram returns the next datagram of queries, or false if none waits or the
// rate does not allow one yet. Agents take turns, one datagram each.
func (que *queryQueue) nextDatagram(now time.Time) (ip [4]byte, hdr encap.Header, list []byte, ok bool) {
	if len(que.agentOrder) == 0 && now.Sub(que.creditAt) >= queryPause {
		clear(que.sentAt)
	}
	burst := que.rate * queryBurst.Seconds()
	que.credit = min(que.credit+que.rate*now.Sub(que.creditAt).Seconds(), burst)
	que.creditAt = now
	at := slices.IndexFunc(que.agentOrder, func(ip [4]byte) bool { return que.mayAsk(ip, now) })
	if at < 0 || que.credit <= 0 {
		return ip, hdr, nil, false
	}
	ip = que.agentOrder[at]
	que.sentAt[ip] = now
	aqs := que.byAgent[ip]
	count := min(len(aqs.keys), encap.MaxQueries)
	for _, key := range aqs.keys[:count] {
		list = encap.AppendQuery(list, key, aqs.acks[key])
		delete(aqs.acks, key)
	}
	aqs.keys = aqs.keys[count:]
	que.agentOrder = slices.Delete(que.agentOrder, at, at+1)
	if len(aqs.keys) > 0 {
		que.agentOrder = append(que.agentOrder, ip)
	} else {
		delete(que.byAgent, ip)
	}
	aqs.agent.NoteMessageSent(now)
	que.credit -= float64(ipUDPHeaderBytes + encap.HeaderBytes + len(list))
	return ip, encap.New(encap.Seek, aqs.agent.ServiceID(), flow.Key{}), list, true
}

// mayAsk reports whether a datagram of queries may go to an agent now.
func (que *queryQueue) mayAsk(ip [4]byte, now time.Time) bool {
	return now.Sub(que.sentAt[ip]) >= queryPause || len(que.byAgent[ip].keys) >= encap.MaxQueries
}

// SendQueries sends the queued queries as far as their rate limit allows. It is
// called once for each batch of packets.
func (tbl *Table) SendQueries(now time.Time) {
	for {
		ip, hdr, list, ok := tbl.queries.nextDatagram(now)
		if !ok {
			return
		}
		tbl.actions = append(tbl.actions, Action{kind: Send, agent: ip, header: hdr, packet: list})
	}
}
