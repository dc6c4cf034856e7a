package frame

// Load is the load of an agent: flows in the upper 16 bits and work in the lower
// 16 bits, each as a fraction of its capacity in units of 1/FullLoad.
type Load uint32

// FullLoad is the value of either part of a load at full capacity.
const FullLoad = 20000

// maxLoadFraction is the largest value that fits into 16 bits.
const maxLoadFraction = 1<<16 - 1

// NewLoad returns the load of an agent with flows out of maxFlows, and with work
// out of slots. work counts running and queued pieces of work.
func NewLoad(flows, maxFlows, work, slots int) Load {
	return Load(loadFraction(flows, maxFlows)<<16 | loadFraction(work, slots))
}

// loadFraction returns used as a fraction of capacity in units of 1/FullLoad, at
// most maxLoadFraction. Without capacity it returns maxLoadFraction.
func loadFraction(used, capacity int) uint32 {
	if capacity <= 0 {
		return maxLoadFraction
	}
	return uint32(min(used*FullLoad/capacity, maxLoadFraction))
}

// Flows returns the load by flows, in units of 1/FullLoad.
func (ld Load) Flows() int { return int(ld >> 16) }

// Work returns the load by work, in units of 1/FullLoad.
func (ld Load) Work() int { return int(ld & maxLoadFraction) }
