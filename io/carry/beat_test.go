package carry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestNamedBalancersAreKnownForAWhile(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	blc := &balancer{namedUntil: make(map[[4]byte]time.Time)}
	var heard [][4]byte
	for num := range byte(20) {
		heard = append(heard, [4]byte{10, 0, 0, num})
	}
	for range 30 {
		blc.noteNamedBalancers(append(sampleBalancers(heard[:2], heard), 1, 2), now)
	}
	assert.Equal(t, len(blc.namedUntil), len(heard), "every balancer that was heard gets named eventually")
	assert.Equal(t, blc.namedUntil[heard[3]], now.Add(namedTimeout))
	assert.Assert(t, len(sampleBalancers(heard[:2], heard)) <= 4*maxNamedBalancers)
}
