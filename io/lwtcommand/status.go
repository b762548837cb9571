package lwtcommand

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/io/lwtoperator"
)

const statusHelp = "Shows what a daemon reports of itself: the number of the configuration in force, how long ago the store " +
	"confirmed it, and the entries of the daemon's other parts. With --declared-state, prints the whole declared state " +
	"in force as JSON, for 'lacewingtide check --ticket FILE --state FILE'.\n\n" +
	"Exit codes: 0 done, 1 no answer or refused, 2 wrong usage."

type statusCommand struct {
	operatorOptions
	DeclaredState bool `long:"declared-state" description:"print the declared state in force as JSON"`
	streams       streams
}

// Execute implements flags.Commander.
func (command *statusCommand) Execute([]string) error {
	var client *lwtoperator.Client
	var err error
	if client, err = command.client(); err != nil {
		return err
	}
	if command.DeclaredState {
		var state lwtdeclaredstate.State
		if state, err = client.State(); err != nil {
			return err
		}
		return command.streams.printJSON(state)
	}
	var status map[string]json.RawMessage
	if status, err = client.Status(); err != nil {
		return err
	}
	if command.JSON {
		return command.streams.printJSON(status)
	}
	for _, name := range slices.Sorted(maps.Keys(status)) {
		command.streams.print(command.streams.out, name+": "+formatEntry(status[name]))
	}
	return nil
}

// formatEntry formats a JSON object as key=value pairs sorted by key; other JSON
// stays unchanged.
func formatEntry(raw json.RawMessage) string {
	var values map[string]any
	if err := json.Unmarshal(raw, &values); err != nil {
		return string(raw)
	}
	pairs := make([]string, 0, len(values))
	for _, key := range slices.Sorted(maps.Keys(values)) {
		if text, isText := values[key].(string); isText && strings.ContainsAny(text, " =") {
			pairs = append(pairs, fmt.Sprintf("%s=%q", key, text))
			continue
		}
		pairs = append(pairs, fmt.Sprintf("%s=%v", key, values[key]))
	}
	return strings.Join(pairs, " ")
}
