package admission

import "time"

const (
	// maxSavedTime is how long a route may save up its MinRetriesPerSecond.
	maxSavedTime = 10 * time.Second

	// maxSavedRequests is for how many first requests a route may save up its RetryBudget.
	maxSavedRequests = 100

	// retryWaitWithoutFloor is the Retry-After where only first requests bring further retries.
	retryWaitWithoutFloor = time.Second

	// maxRetryWait bounds the Retry-After of an exhausted budget, in seconds.
	maxRetryWait = 3600
)

// retryBudget bounds the retries of a route's clients: each first request brings a part of a token, each second some
// tokens in any case, and each retry takes one.
type retryBudget struct {
	enabled      bool
	perRequest   float64 // tokens that a first request brings
	minPerSecond float64 // tokens that a second brings
	tokens       float64
	refilledAt   time.Duration
}

func newRetryBudget(now time.Duration, config *RouteConfig) retryBudget {
	return retryBudget{tokens: config.MinRetriesPerSecond, refilledAt: now}
}

// configure changes the budget's limits and keeps its tokens, as far as the new limits allow so many.
func (b *retryBudget) configure(config *RouteConfig) {
	b.enabled = config.RetryBudgeted
	b.perRequest = config.RetryBudget
	b.minPerSecond = config.MinRetriesPerSecond
	b.tokens = min(b.tokens, b.maxTokens())
}

// maxTokens bounds the tokens that may be saved up: a quiet hour must not pay for a retry storm.
func (b *retryBudget) maxTokens() float64 {
	return max(1, b.minPerSecond, b.minPerSecond*maxSavedTime.Seconds(), b.perRequest*maxSavedRequests)
}

// refill adds the tokens that the time since the last refill brings.
func (b *retryBudget) refill(now time.Duration) {
	if b.enabled {
		b.tokens = min(b.tokens+b.minPerSecond*(now-b.refilledAt).Seconds(), b.maxTokens())
	}
	b.refilledAt = now
}

// allows reports whether a request may come: a first one always, a retry if there is a token for it.
func (b *retryBudget) allows(retry bool) bool { return !retry || !b.enabled || b.tokens >= 1 }

// account takes the token of an admitted retry, or adds what an admitted first request brings.
func (b *retryBudget) account(retry bool) {
	switch {
	case !b.enabled:
	case retry:
		b.tokens--
	default:
		b.tokens = min(b.tokens+b.perRequest, b.maxTokens())
	}
}

// wait returns how long it takes until time alone has brought one token.
func (b *retryBudget) wait() time.Duration {
	if b.minPerSecond <= 0 {
		return retryWaitWithoutFloor
	}
	return time.Duration(min((1-b.tokens)/b.minPerSecond, maxRetryWait) * float64(time.Second))
}
