package admit

// Limits of the retries of a customer.
const (
	retriesPerRequest = 0.2 // Retry tokens that each first attempt adds.
	maxRetryTokens    = 10
	maxCustomers      = 1 << 14 // When this many are known, all of them start anew with full budgets.
)

// Budget is a retry budget: it bounds the retries of each customer to a fraction of
// its requests, so that retries do not overload a failing upstream.
type Budget struct{ tokens map[string]float64 }

// NewBudget returns a budget in which every customer has maxRetryTokens.
func NewBudget() *Budget { return &Budget{tokens: make(map[string]float64)} }

// Earn adds the retry tokens of a customer's first attempt.
func (bud *Budget) Earn(customer string) {
	if len(bud.tokens) >= maxCustomers {
		clear(bud.tokens)
	}
	bud.tokens[customer] = min(bud.balance(customer)+retriesPerRequest, maxRetryTokens)
}

// Spend takes one retry token of a customer and reports whether it had one.
func (bud *Budget) Spend(customer string) bool {
	tokens := bud.balance(customer)
	if tokens < 1 {
		return false
	}
	bud.tokens[customer] = tokens - 1
	return true
}

func (bud *Budget) balance(customer string) float64 {
	if tokens, ok := bud.tokens[customer]; ok {
		return tokens
	}
	return maxRetryTokens
}
