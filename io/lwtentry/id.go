package lwtentry

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
)

// idSource makes request ids that no other daemon or incarnation makes.
type idSource struct {
	prefix string
	count  atomic.Uint64
}

func newIDSource(name string) *idSource {
	return &idSource{prefix: fmt.Sprintf("%s-%012x-", name, rand.Uint64()>>16)}
}

func (ids *idSource) next() string {
	return fmt.Sprintf("%s%d", ids.prefix, ids.count.Add(1))
}
