package admit

// Limits of retries.
const (
	retriesPerRequest = 0.2 // Retries that each first attempt pays for.
	maxRetryCredit    = 10
	maxCustomers      = 1 << 14
)

// Budget bounds the retries of each customer to a fraction of its requests, so
// that a failing upstream is not stormed.
type Budget struct{ credit map[string]float64 }

// NewBudget returns a budget in which every customer has full credit.
func NewBudget() *Budget { return &Budget{credit: make(map[string]float64)} }

// Earn records a first attempt of a customer.
func (bud *Budget) Earn(customer string) {
	if len(bud.credit) >= maxCustomers {
		clear(bud.credit)
	}
	bud.credit[customer] = min(bud.of(customer)+retriesPerRequest, maxRetryCredit)
}

// Spend takes one retry from a customer's credit and reports whether it had one.
func (bud *Budget) Spend(customer string) bool {
	have := bud.of(customer)
	if have < 1 {
		return false
	}
	bud.credit[customer] = have - 1
	return true
}

func (bud *Budget) of(customer string) float64 {
	if have, ok := bud.credit[customer]; ok {
		return have
	}
	return maxRetryCredit
}
