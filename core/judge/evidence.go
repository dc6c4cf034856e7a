// Package judge judges upstreams by what callers get from them. The agent beside an
// upstream counts answers, resets and requests without an answer in a Window; balancers
// compare the Evidence of the upstreams of a service and keep new flows away from those
// that serve callers much worse than the others. What an upstream says of itself in
// status checks is not asked for.
package judge

import (
	"encoding/binary"
	"math"
	"time"

	"lagoondrum/core/flow"
)

// Answers is what callers of one route got from an upstream lately.
type Answers struct {
	route flow.Endpoint // The address of the route.
	count float64
	time  float64 // Mean binary logarithm of the microseconds to the answer.
}

// Evidence is what callers got from an upstream lately. Older events count less.
type Evidence struct {
	resets     float64 // Requests and openings that the upstream reset.
	unanswered float64 // Requests and openings without an answer for much longer than usual.
	routes     []Answers
}

// Resets returns how many requests and openings the upstream reset.
func (evd Evidence) Resets() float64 { return evd.resets }

// Unanswered returns how many requests and openings had no answer for much longer than
// usual.
func (evd Evidence) Unanswered() float64 { return evd.unanswered }

// Answered returns how many requests were answered.
func (evd Evidence) Answered() float64 {
	count := 0.0
	for _, ans := range evd.routes {
		count += ans.count
	}
	return count
}

// MeanTime returns the geometric mean of the times to the answers.
func (evd Evidence) MeanTime() time.Duration {
	sum, count := 0.0, evd.Answered()
	if count == 0 {
		return 0
	}
	for _, ans := range evd.routes {
		sum += ans.count * ans.time
	}
	return time.Duration(math.Exp2(sum/count) * float64(time.Microsecond))
}

// requests returns how many requests the evidence is about.
func (evd Evidence) requests() float64 { return evd.Answered() + evd.failures() }

func (evd Evidence) failures() float64 { return evd.resets + evd.unanswered }

// failureShare returns which share of the requests failed. The prior requests, all of
// them answered, keep a few failures from counting as many.
func (evd Evidence) failureShare() float64 {
	return evd.failures() / (evd.requests() + priorRequests)
}

// answersOf returns what callers of a route got.
func (evd Evidence) answersOf(route flow.Endpoint) (Answers, bool) {
	for _, ans := range evd.routes {
		if ans.route == route {
			return ans, true
		}
	}
	return Answers{}, false
}

// Format of encoded evidence.
const (
	unitsPerCount = 16 // Counts are told in sixteenths.
	unitsPerBit   = 8  // Logarithms are told in eighths.
	headBytes     = 4  // Resets and unanswered.
	answersBytes  = 9  // Address, port, count and time of one route.
	maxRoutes     = 16
)

// Append appends the encoded evidence.
func (evd Evidence) Append(buf []byte) []byte {
	buf = binary.BigEndian.AppendUint16(buf, toUnits(evd.resets))
	buf = binary.BigEndian.AppendUint16(buf, toUnits(evd.unanswered))
	for _, ans := range evd.routes {
		ip := ans.route.IP()
		buf = binary.BigEndian.AppendUint16(append(buf, ip[:]...), ans.route.Port())
		buf = binary.BigEndian.AppendUint16(buf, toUnits(ans.count))
		buf = append(buf, toEighths(ans.time))
	}
	return buf
}

func toUnits(count float64) uint16 {
	return uint16(min(max(math.Round(count*unitsPerCount), 0), math.MaxUint16))
}

func toEighths(log float64) byte {
	return byte(min(max(math.Round(log*unitsPerBit), 0), math.MaxUint8))
}

// Parse decodes evidence. It reports false when the length fits no evidence.
func Parse(data []byte) (Evidence, bool) {
	if len(data) < headBytes || (len(data)-headBytes)%answersBytes != 0 || len(data) > headBytes+maxRoutes*answersBytes {
		return Evidence{}, false
	}
	fromUnits := func(buf []byte) float64 { return float64(binary.BigEndian.Uint16(buf)) / unitsPerCount }
	evd := Evidence{resets: fromUnits(data), unanswered: fromUnits(data[2:])}
	for data = data[headBytes:]; len(data) > 0; data = data[answersBytes:] {
		evd.routes = append(evd.routes, Answers{
			route: flow.NewEndpoint([4]byte(data), binary.BigEndian.Uint16(data[4:])),
			count: fromUnits(data[6:]),
			time:  float64(data[8]) / unitsPerBit,
		})
	}
	return evd, true
}
