package admission

import "time"

const (
	// maxAccumulationTime is the time over which a route may accumulate its MinRetriesPerSecond.
	maxAccumulationTime = 10 * time.Second

	// maxAccumulationRequests is the number of first requests over which a route may accumulate its RetryBudget.
	maxAccumulationRequests = 100

	// retryWaitWithoutMinRate is the Retry-After if only first requests add tokens.
	retryWaitWithoutMinRate = time.Second

	// maxRetryWait limits the Retry-After of an exhausted budget, in seconds.
	maxRetryWait = 3600
)

// retryBudget limits the retries of a route's clients: each first request adds a fraction of a token, each second adds
// a minimum number of tokens, and each retry takes one.
type retryBudget struct {
	enabled      bool
	perRequest   float64 // tokens added by a first request
	minPerSecond float64 // tokens added each second
	tokens       float64
	refilledAt   time.Duration
}

func newRetryBudget(now time.Duration, config *RouteConfig) retryBudget {
	return retryBudget{tokens: config.MinRetriesPerSecond, refilledAt: now}
}

// configure changes the budget's limits and keeps its tokens, up to the new maximum.
func (b *retryBudget) configure(config *RouteConfig) {
	b.enabled = config.RetryBudgeted
	b.perRequest = config.RetryBudget
	b.minPerSecond = config.MinRetriesPerSecond
	b.tokens = min(b.tokens, b.maxTokens())
}

// maxTokens limits the accumulated tokens: a quiet hour must not allow a retry storm.
func (b *retryBudget) maxTokens() float64 {
	return max(1, b.minPerSecond, b.minPerSecond*maxAccumulationTime.Seconds(), b.perRequest*maxAccumulationRequests)
}

// refill adds the tokens for the time since the last refill.
func (b *retryBudget) refill(now time.Duration) {
	if b.enabled {
		b.tokens = min(b.tokens+b.minPerSecond*(now-b.refilledAt).Seconds(), b.maxTokens())
	}
	b.refilledAt = now
}

// allows reports whether a request is within the budget: a first request always is, a retry if there is a token.
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

// wait returns the time until one token has been added by time alone.
func (b *retryBudget) wait() time.Duration {
	if b.minPerSecond <= 0 {
		return retryWaitWithoutMinRate
	}
	return time.Duration(min((1-b.tokens)/b.minPerSecond, maxRetryWait) * float64(time.Second))
}
