package lwtticket_test

import (
	"os"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtticket"
	"lacewingtide/core/lwttoml"
)

func baseState(t testing.TB) lwtdeclaredstate.State {
	t.Helper()
	content, err := os.ReadFile("testdata/check/base.toml")
	if err != nil {
		t.Fatal(err)
	}
	ticket, problems := lwtticket.Parse(content)
	if problems = append(problems, lwtticket.Check(lwtdeclaredstate.New(), ticket)...); len(problems) > 0 {
		t.Fatal(lwttoml.Join(problems))
	}
	return lwtticket.Apply(lwtdeclaredstate.New(), ticket)
}

// TestCheckReportsEveryProblem guards against accepted tickets that leave a
// dangling reference, a model without engines or an engine that would execute
// late orders, and against a check that stops at the first problem.
func TestCheckReportsEveryProblem(t *testing.T) {
	state := baseState(t)
	archive, err := txtar.ParseFile("testdata/check/problems.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(archive.Files); i += 2 {
		name := strings.TrimSuffix(archive.Files[i].Name, ".toml")
		t.Run(name, func(t *testing.T) {
			ticket, _ := lwtticket.Parse(archive.Files[i].Data)
			var got strings.Builder
			for _, problem := range lwtticket.Check(state, ticket) {
				got.WriteString(problem.Error() + "\n")
			}
			if want := string(archive.Files[i+1].Data); got.String() != want {
				t.Errorf("got:\n%swant:\n%s", got.String(), want)
			}
		})
	}
}
