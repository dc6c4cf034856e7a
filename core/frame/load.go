package frame

// Load is how full an agent is: flows in the high half and work in the low
// half, each as a fraction of its capacity in steps of 1/LoadFull.
type Load uint32

// LoadFull is the value of either part at capacity.
const LoadFull = 20000

const loadMax = 1<<16 - 1

// LoadOf returns the load word for flows of maxFlows and work of slots, where
// work counts what runs and what waits.
func LoadOf(flows, maxFlows, work, slots int) Load {
	return Load(part(flows, maxFlows)<<16 | part(work, slots))
}

func part(used, capacity int) uint32 {
	if capacity <= 0 {
		return loadMax
	}
	return uint32(min(used*LoadFull/capacity, loadMax))
}

// Flows returns the part for flows.
func (ld Load) Flows() int { return int(ld >> 16) }

// Work returns the part for work.
func (ld Load) Work() int { return int(ld & loadMax) }
