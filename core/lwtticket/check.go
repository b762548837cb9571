package lwtticket

import (
	"fmt"
	"maps"
	"net/netip"
	"regexp"
	"slices"

	"lacewingtide/core/lwtdocument"
	"lacewingtide/core/lwtstate"
)

// Check returns every problem of a ticket against a state. A ticket without
// problems leads to a state in which all references hold.
//
// The whole resulting state is checked, not only the objects of the ticket: a
// removal can break an object that the ticket does not name.
func Check(state lwtstate.State, ticket Ticket) []lwtdocument.Problem {
	if len(ticket.form) > 0 && !ticket.document.Readable() {
		return lwtdocument.Sorted(ticket.form)
	}
	checker := newChecker(state, ticket)
	checker.ticket()
	for i, engine := range ticket.Engines {
		checker.declaredOnce("engine", i, lwtstate.ID(lwtstate.KindEngine, engine.Name), engine.Name)
	}
	for i, model := range ticket.Models {
		checker.declaredOnce("model", i, lwtstate.ID(lwtstate.KindModel, model.Name), model.Name)
	}
	for i, adapter := range ticket.Adapters {
		checker.declaredOnce("adapter", i, lwtstate.ID(lwtstate.KindAdapter, adapter.Name), adapter.Name)
	}
	for i, caller := range ticket.Callers {
		checker.declaredOnce("caller", i, lwtstate.ID(lwtstate.KindCaller, caller.Name), caller.Name)
	}
	for i, service := range ticket.Services {
		checker.declaredOnce("service", i, lwtstate.ID(lwtstate.KindService, service.Name), service.Name)
	}
	for i, objective := range ticket.Objectives {
		class := string(objective.Class)
		checker.declaredOnce("objective", i, lwtstate.ID(lwtstate.KindObjective, class), class)
	}
	checker.removals()
	checker.engines()
	checker.models()
	checker.adapters()
	checker.callers()
	checker.services()
	checker.objectives()
	return lwtdocument.Sorted(checker.problems)
}

type checker struct {
	base     lwtstate.State
	next     lwtstate.State
	input    Ticket
	paths    map[lwtstate.ObjectID]string
	problems []lwtdocument.Problem
}

func newChecker(state lwtstate.State, ticket Ticket) *checker {
	return &checker{
		base: state, next: Apply(state, ticket), input: ticket, paths: map[lwtstate.ObjectID]string{},
		problems: slices.Clone(ticket.form),
	}
}

var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

func (checker *checker) report(key, format string, args ...any) {
	if checker.input.document.Faulty(key) {
		return
	}
	checker.problems = append(checker.problems, checker.input.document.Problem(key, fmt.Sprintf(format, args...)))
}

func (checker *checker) require(ok bool, key, format string, args ...any) {
	if !ok {
		checker.report(key, format, args...)
	}
}

// path returns the key path of an object: its place in the ticket, or its
// identifier when the ticket does not hold it.
func (checker *checker) path(kind lwtstate.Kind, name string) string {
	id := lwtstate.ID(kind, name)
	if path, found := checker.paths[id]; found {
		return path
	}
	return string(id)
}

func (checker *checker) ticket() {
	checker.require(checker.input.Base >= 0, "base", "must not be negative")
	checker.require(checker.input.Base <= checker.base.Number, "base",
		"is %d, but the newest state has the number %d", checker.input.Base, checker.base.Number)
	checker.require(len(checker.input.Objects()) > 0, "", "the ticket changes nothing")
}

// declaredOnce notes where the ticket holds an object and checks its name.
func (checker *checker) declaredOnce(table string, position int, id lwtstate.ObjectID, name string) {
	path := fmt.Sprintf("%s[%d]", table, position)
	key := path + ".name"
	if table == string(lwtstate.KindObjective) {
		key = path + ".class"
	}
	if first, found := checker.paths[id]; found {
		checker.report(key, "%q is already given by %s", name, first)
		return
	}
	checker.paths[id] = path
	checker.require(validName.MatchString(name), key,
		"%q must be 1 to 128 letters, digits, dots, colons, hyphens or underscores and start with a letter or digit", name)
}

func (checker *checker) removals() {
	seen := map[lwtstate.ObjectID]bool{}
	for i, id := range checker.input.Remove {
		key := fmt.Sprintf("remove[%d]", i)
		_, given := checker.paths[id]
		switch {
		case seen[id]:
			checker.report(key, "%s is listed twice", id)
		case given:
			checker.report(key, "%s is both given and removed", id)
		case !exists(checker.base, id):
			checker.report(key, "%s does not exist", id)
		}
		seen[id] = true
	}
}

func exists(state lwtstate.State, id lwtstate.ObjectID) bool {
	kind, name := id.Split()
	found := false
	switch kind {
	case lwtstate.KindEngine:
		_, found = state.Engines[name]
	case lwtstate.KindModel:
		_, found = state.Models[name]
	case lwtstate.KindAdapter:
		_, found = state.Adapters[name]
	case lwtstate.KindCaller:
		_, found = state.Callers[name]
	case lwtstate.KindService:
		_, found = state.Services[name]
	case lwtstate.KindObjective:
		_, found = state.Objectives[lwtstate.Class(name)]
	}
	return found
}

// references checks a list of names of other objects.
func (checker *checker) references(key string, kind lwtstate.Kind, names []string) {
	seen := map[string]bool{}
	for i, name := range names {
		place := fmt.Sprintf("%s[%d]", key, i)
		checker.require(exists(checker.next, lwtstate.ID(kind, name)), place, "no %s %q is declared", kind, name)
		checker.require(!seen[name], place, "%q is listed twice", name)
		seen[name] = true
	}
}

func isAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0
}

func sortedNames[V any](values map[string]V) []string { return slices.Sorted(maps.Keys(values)) }
