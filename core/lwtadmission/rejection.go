// Package lwtadmission decides at once whether a request can be answered in
// time.
package lwtadmission

import (
	"fmt"
	"time"
)

// Rejection is the error of a request that is not admitted. The request did
// not run.
type Rejection struct {
	// Reason names the bound that was met, for example "deadline" or "rate".
	Reason string
	// RetryAfter is the time after which a retry can be admitted.
	RetryAfter time.Duration
}

// Error implements error.
func (rejection *Rejection) Error() string {
	return fmt.Sprintf("request not admitted (%s); retry after %s", rejection.Reason, rejection.RetryAfter)
}
