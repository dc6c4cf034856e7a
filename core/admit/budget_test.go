package admit_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"lagoondrum/core/admit"
)

// spend asks for a number of retries and returns how many were granted.
func spend(bud *admit.Budget, customer string, retries int) int {
	granted := 0
	for range retries {
		if bud.Spend(customer) {
			granted++
		}
	}
	return granted
}

func TestFailingUpstreamIsNotStormed(t *testing.T) {
	bud := admit.NewBudget()
	assert.Equal(t, spend(bud, "a", 100), 10)
	for range 100 {
		bud.Earn("a")
	}
	assert.Equal(t, spend(bud, "a", 100), 10)
}

func TestRetriesFollowRequests(t *testing.T) {
	bud := admit.NewBudget()
	spend(bud, "a", 100)
	granted := 0
	for range 100 {
		bud.Earn("a")
		granted += spend(bud, "a", 1)
	}
	assert.Assert(t, granted >= 19 && granted <= 20, "%d retries for 100 requests", granted)
}

func TestCustomersHaveBudgetsOfTheirOwn(t *testing.T) {
	bud := admit.NewBudget()
	spend(bud, "a", 100)
	assert.Equal(t, spend(bud, "b", 100), 10)
}
