// Package lwtadmission implements admission control: it rejects a request at once
// when its estimated latency exceeds its deadlines.
package lwtadmission

import (
	"fmt"
	"time"
)

// Rejection is the error for a request that was not admitted and did not run.
type Rejection struct {
	// Reason names the limit that was exceeded, for example "deadline" or "rate".
	Reason string
	// RetryAfter is the time after which a retry may be admitted.
	RetryAfter time.Duration
}

// Error implements error.
func (rejection *Rejection) Error() string {
	return fmt.Sprintf("request not admitted (%s); retry after %s", rejection.Reason, rejection.RetryAfter)
}
