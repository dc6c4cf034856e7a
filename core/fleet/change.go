package fleet

// ChangeCause is what has changed about an upstream without an entry, and why.
type ChangeCause uint8

// The causes.
const (
	Drained      ChangeCause = iota // It was draining: it departs.
	GraceOver                       // Its entry has not returned in time: it departs.
	AgentLeaving                    // Its agent said that it stops: it departs.
	AgentSilent                     // Its agent does not answer: it departs.
	Told                            // Another process knows that it has departed.
	AgentDown                       // Its agent said that it does not run: it has ended.
	Succeeded                       // Another upstream has its address or its ID: it has ended.
	Absent                          // Its entry was missing while the store was whole: it has ended.
	Dropped                         // It has ended, and its agent does not answer: it is dropped.
	Expired                         // The flows that it may have held are too old: it is dropped.
	changeCauseEnd
)

var changeCauseNames = [changeCauseEnd]string{"drained", "graceOver", "agentLeaving", "agentSilent", "told", "agentDown", "succeeded", "absent", "dropped", "expired"}

// String returns the cause's name in logs.
func (cse ChangeCause) String() string { return changeCauseNames[cse] }

// Ends reports whether the upstream holds no flows any more.
func (cse ChangeCause) Ends() bool { return cse >= AgentDown }

// Change is a change of what is known of an upstream without an entry.
type Change struct {
	upstream *Upstream
	cause    ChangeCause
}

// Upstream returns the upstream.
func (chg Change) Upstream() *Upstream { return chg.upstream }

// Cause returns what has changed.
func (chg Change) Cause() ChangeCause { return chg.cause }

func (flt *Fleet) noteChange(ups *Upstream, cse ChangeCause) {
	flt.changes = append(flt.changes, Change{upstream: ups, cause: cse})
}

// TakeChanges returns the changes since the last call.
func (flt *Fleet) TakeChanges() []Change {
	chgs := flt.changes
	flt.changes = nil
	return chgs
}
