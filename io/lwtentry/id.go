package lwtentry

import (
	"fmt"
	"math/rand/v2"
	"strings"
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

// rerunMark separates the name of a stream from that of its run anew.
const rerunMark = "~"

// rerunName returns the name of a stream that runs anew the request of another
// one.
func rerunName(first, run string) string { return firstName(first) + rerunMark + run }

// firstName returns the name under which a stream's request ran first.
func firstName(name string) string {
	first, _, _ := strings.Cut(name, rerunMark)
	return first
}
