package admit

// Limits of the retries of a customer.
const (
	retriesPerRequest = 0.2 // Retry tokens that each first attempt adds.
	maxRetryTokens    = 10
	maxCustomers      = 1 << 14 // When this many are known, all of them start anew with full budgets.
)

// RetryBudget bounds the retries of each customer to a fraction of its
// requests, so that retries do not overload a failing upstream.
type RetryBudget struct{ tokens map[string]float64 }

// NewRetryBudget returns a budget in which every customer has maxRetryTokens.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: make(map[string]float64)} }

// Deposit adds the retry tokens of a customer's first attempt.
func (bud *RetryBudget) Deposit(customer string) {
	if len(bud.tokens) >= maxCustomers {
		clear(bud.tokens)
	}
	bud.tokens[customer] = min(bud.balance(customer)+retriesPerRequest, maxRetryTokens)
}

// Withdraw takes one retry token of a customer and reports whether it had one.
func (bud *RetryBudget) Withdraw(customer string) bool {
	tokens := bud.balance(customer)
	if tokens < 1 {
		return false
	}
	bud.tokens[customer] = tokens - 1
	return true
}

func (bud *RetryBudget) balance(customer string) float64 {
	if tokens, ok := bud.tokens[customer]; ok {
		return tokens
	}
	return maxRetryTokens
}
