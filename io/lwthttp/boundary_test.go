package lwthttp_test

import (
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"lacewingtide/io/lwtsourcetest"
)

// otherReaders matches what reads responses without the checks of this package.
var otherReaders = regexp.MustCompile(`\bhttp\.(ReadResponse|Transport|Client|DefaultClient|DefaultTransport|Get|Head|Post|PostForm)\b|` +
	`\bfasthttp\.(HostClient|Client|PipelineClient|LBClient|Do|DoTimeout|DoDeadline|Get|Post)\b|\bReadLimitBody\b`)

// standIns are the folders of code that stands in for outside systems and for callers in tests.
var standIns = []string{"io/lwthttp/", "io/lwthttptest/", "io/lwtstandin/", "platform/lwtfake/", "platform/lwtsoak/", "review/"}

// TestResponsesAreReadInOnePlace guards against code that reads responses in another way than this package.
func TestResponsesAreReadInOnePlace(t *testing.T) {
	lwtsourcetest.Visit(t, filepath.Join("..", ".."), func(name string, content []byte) {
		isStandIn := slices.ContainsFunc(standIns, func(folder string) bool { return strings.HasPrefix(name, folder) })
		if isStandIn || strings.HasSuffix(name, "_test.go") {
			return
		}
		if found := otherReaders.Find(content); found != nil {
			t.Errorf("%s uses %s", name, found)
		}
	})
}
