package lwtticket_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtticket"
)

// FuzzCheck guards against tickets that crash the check, and against accepted
// ones that leave a state in which a reference or a phase of a model is open.
func FuzzCheck(f *testing.F) {
	archive, err := txtar.ParseFile("testdata/check/problems.txtar")
	if err != nil {
		f.Fatal(err)
	}
	for _, file := range archive.Files {
		f.Add(file.Data)
	}
	state := baseState(f)
	f.Fuzz(func(t *testing.T, content []byte) {
		ticket, form := lwtticket.Parse(content)
		problems := lwtticket.Check(state, ticket)
		if len(problems) < len(form) {
			t.Errorf("the check reports %v and leaves out some of %v", problems, form)
		}
		lines := strings.Count(string(content), "\n") + 1
		for _, problem := range problems {
			if problem.Line < 0 || problem.Line > lines || problem.Message == "" {
				t.Errorf("problem %+v of %d lines", problem, lines)
			}
		}
		if len(problems) == 0 {
			checkServable(t, lwtticket.Apply(state, ticket))
		}
	})
}

func checkServable(t *testing.T, state lwtdeclaredstate.State) {
	t.Helper()
	for name := range state.Models {
		serving := slices.DeleteFunc(slices.Clone(state.EnginesServing(name)), func(engine string) bool { return state.Engines[engine].Draining })
		if len(serving) == 0 {
			t.Errorf("model %q has no engine", name)
		}
	}
	for _, engine := range state.Engines {
		for _, model := range engine.Models {
			if _, found := state.Models[model]; !found {
				t.Errorf("engine %q has model %q", engine.Name, model)
			}
		}
	}
	object, err := lwtticket.EncodeSnapshot(state)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := lwtticket.DecodeSnapshot(object)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := lwtticket.EncodeSnapshot(decoded); err != nil || again.Hash != object.Hash {
		t.Errorf("a decoded state has another hash: %v", err)
	}
}
