package picker

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/fleet"
	"lagoondrum/core/intent"
	"lagoondrum/core/warm"
)

// Upstreams that have just started are idle, so that by load alone all flows would go
// there.
func TestColdUpstreamsWithoutRoomAreLeftOut(t *testing.T) {
	for name, agents := range map[string]int{"small service": 4, "large service": 40} {
		t.Run(name, func(t *testing.T) {
			flt := fleet.New()
			flt.SetColdBounds(warm.NewBounds(1, 0))
			flt.SetState(intent.NewState(1, nil, time.Second).WithServices([]string{"feed"}).WithColdRate("feed", 20))
			for num := range agents {
				flt.PutEntry(fleet.NewUpstream(fleet.Listing{ID: fmt.Sprint(num), Service: "feed", Address: [4]byte{10, 0, 0, byte(num)}, Slots: 4, ColdFor: time.Minute}, start), start)
				reportLoad(flt, num, 0)
				flt.Agent([4]byte{10, 0, 0, byte(num)}).NoteColdReport(warm.NewReport(num/(agents-1), 20, 1), start)
			}
			reportLoad(flt, agents-1, 30)
			for hash := range uint64(20) {
				assert.Equal(t, choose(flt, hash, noneTried).IP()[3], byte(agents-1))
			}
		})
	}
}
