package admission

import "time"

const (
	// maxAccumulationTime is the time for which a route may accumulate tokens of MinRetriesPerSecond.
	maxAccumulationTime = 10 * time.Second

	// maxAccumulationRequests is the number of first requests for which a route may accumulate tokens of RetryBudget.
	maxAccumulationRequests = 100

	// retryWaitWithoutMinRate is the Retry-After of an exhausted budget to which only first requests add tokens.
	retryWaitWithoutMinRate = time.Second

	// maxRetryWait is the maximum Retry-After of an exhausted budget, in seconds.
	maxRetryWait = 3600
)

// retryBudget limits the retries of a route's clients. Each first request adds a fraction of a token, each second adds
// minPerSecond tokens, and each retry takes one token.
type retryBudget struct {
	enabled      bool
	perRequest   float64 // tokens added by each first request
	minPerSecond float64 // tokens added per second
	tokens       float64
	refilledAt   time.Duration
}

func newRetryBudget(now time.Duration, config *RouteConfig) retryBudget {
	return retryBudget{tokens: config.MinRetriesPerSecond, refilledAt: now}
}

// configure sets the budget's limits and keeps its tokens, up to the new maximum.
func (b *retryBudget) configure(config *RouteConfig) {
	b.enabled = config.RetryBudgeted
	b.perRequest = config.RetryBudget
	b.minPerSecond = config.MinRetriesPerSecond
	b.tokens = min(b.tokens, b.maxTokens())
}

// maxTokens returns the maximum number of accumulated tokens. It prevents a retry storm after a time of low traffic.
func (b *retryBudget) maxTokens() float64 {
	return max(1, b.minPerSecond, b.minPerSecond*maxAccumulationTime.Seconds(), b.perRequest*maxAccumulationRequests)
}

// refill adds the tokens for the time that has elapsed since the last refill.
func (b *retryBudget) refill(now time.Duration) {
	if b.enabled {
		b.tokens = min(b.tokens+b.minPerSecond*(now-b.refilledAt).Seconds(), b.maxTokens())
	}
	b.refilledAt = now
}

// allows reports whether a request is within the budget. A first request always is. A retry needs a token if the budget is
// enabled.
func (b *retryBudget) allows(retry bool) bool { return !retry || !b.enabled || b.tokens >= 1 }

// account takes the token of an admitted retry, or adds the tokens of an admitted first request.
func (b *retryBudget) account(retry bool) {
	switch {
	case !b.enabled:
	case retry:
		b.tokens--
	default:
		b.tokens = min(b.tokens+b.perRequest, b.maxTokens())
	}
}

// wait returns the time until a token is available if no first request arrives.
func (b *retryBudget) wait() time.Duration {
	if b.minPerSecond <= 0 {
		return retryWaitWithoutMinRate
	}
	return time.Duration(min((1-b.tokens)/b.minPerSecond, maxRetryWait) * float64(time.Second))
}
