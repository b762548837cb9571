package lwtentry

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
)

// requestIDSource generates request IDs that are unique across daemons and incarnations.
type requestIDSource struct {
	prefix string
	count  atomic.Uint64
}

func newRequestIDSource(name string) *requestIDSource {
	return &requestIDSource{prefix: fmt.Sprintf("%s-%012x-", name, rand.Uint64()>>16)}
}

func (requestIDSource *requestIDSource) next() string {
	return fmt.Sprintf("%s%d", requestIDSource.prefix, requestIDSource.count.Add(1))
}

// rerunSeparator separates the original ID of a request from the suffix of a rerun.
const rerunSeparator = "~"

// rerunID returns the ID of a rerun of the request with the given ID.
func rerunID(id, suffix string) string { return originalID(id) + rerunSeparator + suffix }

// originalID returns the ID under which a request ran first.
func originalID(id string) string {
	original, _, _ := strings.Cut(id, rerunSeparator)
	return original
}
