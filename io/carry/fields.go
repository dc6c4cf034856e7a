package carry

import (
	"net/netip"
	"time"

	"lagoondrum/core/encap"
	"lagoondrum/core/fleet"
)

// heartbeatFields returns the payload of the agent's heartbeats to balancers: what
// they are told besides the header.
func (agt *agent) heartbeatFields(now time.Time) []byte {
	return agt.appendEvidence(agt.appendColdRoom(nil, now), now)
}

// notePayload handles the payload of a heartbeat: of a balancer the names of others, of
// an agent the fields.
func (blc *balancer) notePayload(hdr encap.Header, payload []byte, from netip.AddrPort, now time.Time) {
	if hdr.Service() == 0 {
		blc.noteNamedBalancers(payload, now)
		blc.noteStanding(hdr, from, now)
	} else if agt := blc.fleet.Agent(from.Addr().As4()); agt != nil {
		blc.noteFields(agt, payload, now)
	}
}

// noteFields handles the fields in the payload of an agent's heartbeat, or of its answer
// to an opening.
func (blc *balancer) noteFields(agt *fleet.Agent, payload []byte, now time.Time) {
	valid := true
	wellFormed := encap.EachField(payload, func(fld encap.Field, value []byte) {
		switch fld {
		case encap.EvidenceField:
			valid = blc.judge.hear(agt, value, now) && valid
		case encap.ColdRoomField:
			blc.noteColdRoom(agt, value, now)
		case encap.BacklogField:
		}
	})
	if !wellFormed || !valid {
		blc.metrics.malformed.Inc(1)
	}
}
