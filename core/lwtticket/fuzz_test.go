package lwtticket_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtticket"
)

// FuzzCheck guards against tickets that crash Check, problems without a message
// or with a line outside the document, and tickets without problems that leave a
// model without engines or a dangling reference.
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
		ticket, formProblems := lwtticket.Parse(content)
		problems := lwtticket.Check(state, ticket)
		if len(problems) < len(formProblems) {
			t.Errorf("Check reports %v and omits some of %v", problems, formProblems)
		}
		lines := strings.Count(string(content), "\n") + 1
		for _, problem := range problems {
			if problem.Line < 0 || problem.Line > lines || problem.Message == "" {
				t.Errorf("invalid problem %+v in a ticket of %d lines", problem, lines)
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
		serving := slices.DeleteFunc(slices.Clone(state.EnginesServing(name)), func(engine string) bool {
			return state.Engines[engine].Draining
		})
		if len(serving) == 0 {
			t.Errorf("model %q has no engine", name)
		}
	}
	for _, engine := range state.Engines {
		for _, model := range engine.Models {
			if _, found := state.Models[model]; !found {
				t.Errorf("engine %q serves the undeclared model %q", engine.Name, model)
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
