package fleet

// awayShare is how many of a choice of targets are in other availability zones: one of
// so many.
const awayShare = 5

// SpreadTargets returns up to count agents that a process in an availability zone tells
// of a new state, from agents in a random order. Who is told fetches the state from who
// told it, so most targets are in the own zone, where bytes are free; the others carry
// the state to the other zones. The load it answers: changes in quick succession, each
// of which every process fetches.
func SpreadTargets(agents []*Agent, zone string, count int) []*Agent {
	away := max(count/awayShare, 1)
	var near, far []*Agent
	for _, agt := range agents {
		if agt.upstream.zone == zone {
			near = append(near, agt)
		} else {
			far = append(far, agt)
		}
	}
	targets := append([]*Agent(nil), near[:min(len(near), count-min(away, len(far)))]...)
	return append(targets, far[:min(len(far), count-len(targets))]...)
}
