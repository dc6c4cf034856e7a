package mirror

// maxGaps bounds the number of gaps that are kept. The oldest two become one when there
// are more, so that a few peers get the full state without need.
const maxGaps = 8

// gap is the way from one state to the next, where only those were seen: keys that were
// written and deleted between them are not known.
type gap struct {
	from, to Position
}

// noteGap records that a full state is taken at a position, whatever came before it.
func (mir *Mirror) noteGap(position Position) {
	if position == mir.position {
		return
	}
	mir.gaps = append(mir.gaps, gap{from: mir.position, to: position})
	if len(mir.gaps) > maxGaps {
		mir.gaps[1].from = mir.gaps[0].from
		mir.gaps = mir.gaps[1:]
	}
}

// inGap reports whether a process at a position may have keys whose deletion the mirror
// does not know. Those of a process at the start of a gap are known.
func (mir *Mirror) inGap(after Position) bool {
	for _, gp := range mir.gaps {
		if gp.from < after && after < gp.to {
			return true
		}
	}
	return false
}
