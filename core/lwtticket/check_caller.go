package lwtticket

import (
	"fmt"
	"maps"
	"math"
	"regexp"
	"slices"
	"strings"

	"lacewingtide/core/lwtdeclaredstate"
)

var validHash = regexp.MustCompile(`^[0-9a-f]{64}$`)

func (checker *checker) checkCallers() {
	byHash := map[string]string{}
	for _, name := range sortedNames(checker.next.Callers) {
		caller := checker.next.Callers[name]
		path := checker.objectPath(lwtdeclaredstate.KindCaller, name)
		checker.require(validHash.MatchString(caller.KeyHash), path+".key-hash",
			"must be the SHA-256 of the key in 64 lower-case hexadecimal digits")
		if other, found := byHash[caller.KeyHash]; found {
			checker.report(path+".key-hash", "callers %q and %q have the same key", other, name)
		}
		byHash[caller.KeyHash] = name
		checker.require(len(caller.Models)+len(caller.Services) > 0, path+".models", "the caller may use nothing")
		checker.checkReferences(path+".models", lwtdeclaredstate.KindModel, caller.Models)
		checker.checkReferences(path+".services", lwtdeclaredstate.KindService, caller.Services)
		checker.require(caller.Rate >= 0 && !math.IsInf(caller.Rate, 0), path+".rate", "must be a finite number above 0")
		checker.rejectExplicitZero(path+".rate", caller.Rate)
		checker.require(caller.Concurrency >= 0, path+".concurrency", "must be above 0")
		checker.rejectExplicitZero(path+".concurrency", float64(caller.Concurrency))
	}
}

var httpMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func (checker *checker) checkServices() {
	for _, name := range sortedNames(checker.next.Services) {
		service := checker.next.Services[name]
		path := checker.objectPath(lwtdeclaredstate.KindService, name)
		checker.require(service.Timeout > 0, path+".timeout", "must be above 0")
		checker.checkBackendServers(path+".backend-servers", service.BackendServers)
		for i, call := range service.IdempotentCalls {
			key := fmt.Sprintf("%s.idempotent[%d]", path, i)
			checker.require(slices.Contains(httpMethods, call.Method), key+".method",
				"%q must be an HTTP method in capitals", call.Method)
			checker.require(strings.HasPrefix(call.PathPrefix, "/"), key+".path-prefix",
				"%q must start with a slash", call.PathPrefix)
		}
	}
}

func (checker *checker) checkBackendServers(key string, servers []lwtdeclaredstate.BackendServer) {
	active, seen := 0, map[string]bool{}
	for i, server := range servers {
		elementKey := fmt.Sprintf("%s[%d]", key, i)
		checker.require(isAddress(server.Address), elementKey+".address", "%q must be IP:port", server.Address)
		checker.require(!seen[server.Address], elementKey+".address", "%s is listed twice", server.Address)
		checker.require(server.AvailabilityZone != "", elementKey+".availability-zone", "is missing")
		seen[server.Address] = true
		if !server.Draining {
			active++
		}
	}
	checker.require(active > 0, key, "must have at least one backend server that is not draining")
}

var classes = []lwtdeclaredstate.Class{
	lwtdeclaredstate.ClassChat, lwtdeclaredstate.ClassMatch, lwtdeclaredstate.ClassPlan, lwtdeclaredstate.ClassOrder,
	lwtdeclaredstate.ClassLookup,
}

func (checker *checker) checkObjectives() {
	for _, class := range slices.Sorted(maps.Keys(checker.next.Objectives)) {
		objective := checker.next.Objectives[class]
		path := checker.objectPath(lwtdeclaredstate.KindObjective, string(class))
		checker.require(slices.Contains(classes, class), path+".class",
			"%q must be chat, match, plan, order or lookup", class)
		checker.require(objective.EndToEndLatency > 0, path+".whole", "must be above 0")
		// Orders and lookups are served by plain services, which generate no tokens.
		hasTokens := class != lwtdeclaredstate.ClassOrder && class != lwtdeclaredstate.ClassLookup
		checker.require(objective.TimeToFirstToken > 0 || !hasTokens && objective.TimeToFirstToken == 0, path+".first-token",
			"must be above 0")
		checker.require(objective.TimeToFirstToken <= objective.EndToEndLatency, path+".first-token",
			"must not be above whole")
		checker.require(objective.Target > 0 && objective.Target < 1, path+".target", "must be between 0 and 1")
	}
}
