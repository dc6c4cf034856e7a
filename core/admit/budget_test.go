package admit_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"lagoondrum/core/admit"
)

// withdraw asks for a number of retries and returns how many were granted.
func withdraw(bud *admit.RetryBudget, customer string, retries int) int {
	granted := 0
	for range retries {
		if bud.Withdraw(customer) {
			granted++
		}
	}
	return granted
}

func TestRetriesToFailingUpstreamAreBounded(t *testing.T) {
	bud := admit.NewRetryBudget()
	assert.Equal(t, withdraw(bud, "a", 100), 10)
	for range 100 {
		bud.Deposit("a")
	}
	assert.Equal(t, withdraw(bud, "a", 100), 10)
}

func TestRetriesAreFractionOfRequests(t *testing.T) {
	bud := admit.NewRetryBudget()
	withdraw(bud, "a", 100)
	granted := 0
	for range 100 {
		bud.Deposit("a")
		granted += withdraw(bud, "a", 1)
	}
	assert.Assert(t, granted >= 19 && granted <= 20, "%d retries for 100 requests", granted)
}

func TestCustomersHaveSeparateBudgets(t *testing.T) {
	bud := admit.NewRetryBudget()
	withdraw(bud, "a", 100)
	assert.Equal(t, withdraw(bud, "b", 100), 10)
}
