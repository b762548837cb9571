package lwthttp_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// otherReaders matches what reads responses without the checks of this package.
var otherReaders = regexp.MustCompile(`\bhttp\.(ReadResponse|Transport|Client|DefaultClient|DefaultTransport|Get|Head|Post|PostForm)\b|` +
	`\bfasthttp\.(HostClient|Client|PipelineClient|LBClient|Do|DoTimeout|DoDeadline|Get|Post)\b|\bReadLimitBody\b`)

// standIns are the folders of code that stands in for outside systems and for callers in tests.
var standIns = []string{"io/lwthttp/", "io/lwthttptest/", "io/lwtstandin/", "platform/lwtfake/", "platform/lwtsoak/", "review/"}

// TestResponsesAreReadInOnePlace guards against code that reads responses in another way than this package.
func TestResponsesAreReadInOnePlace(t *testing.T) {
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		name := strings.TrimPrefix(filepath.ToSlash(path), "../../")
		for _, folder := range standIns {
			if strings.HasPrefix(name, folder) {
				return nil
			}
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if found := otherReaders.Find(content); found != nil {
			t.Errorf("%s uses %s", name, found)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
