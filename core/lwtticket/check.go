package lwtticket

import (
	"fmt"
	"maps"
	"net/netip"
	"regexp"
	"slices"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwttoml"
)

// Check returns all problems of a ticket that is applied to a state, sorted. A
// ticket without problems leads to a state without dangling references.
//
// The whole resulting state is checked, not only the objects of the ticket,
// because a removal can break an object that the ticket doesn't contain. If the
// document is not valid TOML, only its syntax error is reported.
func Check(state lwtdeclaredstate.State, ticket Ticket) []lwttoml.Problem {
	if len(ticket.formProblems) > 0 && !ticket.document.ValidSyntax() {
		return lwttoml.Sorted(ticket.formProblems)
	}
	checker := newChecker(state, ticket)
	checker.checkTicket()
	for i, engine := range ticket.Engines {
		checker.registerObject("engine", i, lwtdeclaredstate.NewObjectID(lwtdeclaredstate.KindEngine, engine.Name),
			engine.Name)
	}
	for i, model := range ticket.Models {
		checker.registerObject("model", i, lwtdeclaredstate.NewObjectID(lwtdeclaredstate.KindModel, model.Name), model.Name)
	}
	for i, adapter := range ticket.Adapters {
		checker.registerObject("adapter", i, lwtdeclaredstate.NewObjectID(lwtdeclaredstate.KindAdapter, adapter.Name),
			adapter.Name)
	}
	for i, caller := range ticket.Callers {
		checker.registerObject("caller", i, lwtdeclaredstate.NewObjectID(lwtdeclaredstate.KindCaller, caller.Name),
			caller.Name)
	}
	for i, service := range ticket.Services {
		checker.registerObject("service", i, lwtdeclaredstate.NewObjectID(lwtdeclaredstate.KindService, service.Name),
			service.Name)
	}
	for i, objective := range ticket.Objectives {
		class := string(objective.Class)
		checker.registerObject("objective", i, lwtdeclaredstate.NewObjectID(lwtdeclaredstate.KindObjective, class), class)
	}
	checker.checkRemovals()
	checker.checkEngines()
	checker.checkModels()
	checker.checkAdapters()
	checker.checkCallers()
	checker.checkServices()
	checker.checkObjectives()
	return lwttoml.Sorted(checker.problems)
}

type checker struct {
	base        lwtdeclaredstate.State
	next        lwtdeclaredstate.State
	input       Ticket
	objectPaths map[lwtdeclaredstate.ObjectID]string
	problems    []lwttoml.Problem
}

func newChecker(state lwtdeclaredstate.State, ticket Ticket) *checker {
	return &checker{
		base: state, next: Apply(state, ticket), input: ticket, objectPaths: map[lwtdeclaredstate.ObjectID]string{},
		problems: slices.Clone(ticket.formProblems),
	}
}

var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

func (checker *checker) report(key, format string, args ...any) {
	if checker.input.document.IsInvalid(key) {
		return
	}
	checker.problems = append(checker.problems, checker.input.document.Problem(key, fmt.Sprintf(format, args...)))
}

func (checker *checker) require(ok bool, key, format string, args ...any) {
	if !ok {
		checker.report(key, format, args...)
	}
}

// objectPath returns the key path of an object in the ticket, or the object's
// identifier if the ticket doesn't contain it.
func (checker *checker) objectPath(kind lwtdeclaredstate.Kind, name string) string {
	id := lwtdeclaredstate.NewObjectID(kind, name)
	if path, found := checker.objectPaths[id]; found {
		return path
	}
	return string(id)
}

func (checker *checker) checkTicket() {
	checker.require(checker.input.BaseRevision >= 0, "base", "must not be negative")
	checker.require(checker.input.BaseRevision <= checker.base.Revision, "base",
		"is %d, but the newest state has the number %d", checker.input.BaseRevision, checker.base.Revision)
	checker.require(len(checker.input.ObjectIDs()) > 0, "", "the ticket changes nothing")
}

// registerObject records the key path of an object in the ticket. It reports a
// duplicate object or an invalid name.
func (checker *checker) registerObject(table string, position int, id lwtdeclaredstate.ObjectID, name string) {
	path := fmt.Sprintf("%s[%d]", table, position)
	key := path + ".name"
	if table == string(lwtdeclaredstate.KindObjective) {
		key = path + ".class"
	}
	if first, found := checker.objectPaths[id]; found {
		checker.report(key, "%q is already given by %s", name, first)
		return
	}
	checker.objectPaths[id] = path
	checker.require(validName.MatchString(name), key,
		"%q must be 1 to 128 letters, digits, dots, colons, hyphens or underscores and start with a letter or digit", name)
}

func (checker *checker) checkRemovals() {
	seen := map[lwtdeclaredstate.ObjectID]bool{}
	for i, id := range checker.input.Remove {
		key := fmt.Sprintf("remove[%d]", i)
		_, given := checker.objectPaths[id]
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

func exists(state lwtdeclaredstate.State, id lwtdeclaredstate.ObjectID) bool {
	kind, name := id.Split()
	found := false
	switch kind {
	case lwtdeclaredstate.KindEngine:
		_, found = state.Engines[name]
	case lwtdeclaredstate.KindModel:
		_, found = state.Models[name]
	case lwtdeclaredstate.KindAdapter:
		_, found = state.Adapters[name]
	case lwtdeclaredstate.KindCaller:
		_, found = state.Callers[name]
	case lwtdeclaredstate.KindService:
		_, found = state.Services[name]
	case lwtdeclaredstate.KindObjective:
		_, found = state.Objectives[lwtdeclaredstate.Class(name)]
	}
	return found
}

// checkReferences reports names of undeclared objects and duplicate names.
func (checker *checker) checkReferences(key string, kind lwtdeclaredstate.Kind, names []string) {
	seen := map[string]bool{}
	for i, name := range names {
		elementKey := fmt.Sprintf("%s[%d]", key, i)
		checker.require(exists(checker.next, lwtdeclaredstate.NewObjectID(kind, name)), elementKey,
			"no %s %q is declared", kind, name)
		checker.require(!seen[name], elementKey, "%q is listed twice", name)
		seen[name] = true
	}
}

func isAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0
}

func sortedNames[V any](values map[string]V) []string { return slices.Sorted(maps.Keys(values)) }
