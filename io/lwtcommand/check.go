package lwtcommand

import (
	"encoding/json"
	"fmt"
	"os"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtticket"
	"lacewingtide/core/lwttoml"
	"lacewingtide/io/lwtsetting"
)

const checkHelp = "Checks a settings file, or a ticket against a declared state, and prints all problems. Nothing is changed and " +
	"no daemon is asked. Without --state, a ticket is checked against the empty state, as the first ticket is.\n\n" +
	"Exit codes: 0 valid, 1 problems found or a file can't be read, 2 wrong usage."

type checkCommand struct {
	Settings string `long:"settings" value-name:"FILE" description:"settings file to check (TOML)"`
	Ticket   string `long:"ticket" value-name:"FILE" description:"ticket to check (TOML)"`
	State    string `long:"state" value-name:"FILE" description:"declared state to check the ticket against (JSON), as printed by 'lacewingtide status --declared-state'"`
	JSON     bool   `long:"json" description:"print the problems as JSON"`
	streams  streams
}

// Execute implements flags.Commander.
func (command *checkCommand) Execute([]string) error {
	switch {
	case (command.Settings == "") == (command.Ticket == ""):
		return usageError("give either --settings FILE or --ticket FILE")
	case command.State != "" && command.Ticket == "":
		return usageError("--state needs --ticket FILE")
	case command.Settings != "":
		var content []byte
		var err error
		if content, err = os.ReadFile(command.Settings); err != nil {
			return err
		}
		_, problems := lwtsetting.Check(content)
		return command.printProblems(command.Settings, problems)
	}
	return command.checkTicket()
}

func (command *checkCommand) checkTicket() error {
	var content []byte
	var err error
	if content, err = os.ReadFile(command.Ticket); err != nil {
		return err
	}
	var state lwtdeclaredstate.State
	if state, err = command.loadState(); err != nil {
		return err
	}
	ticket, _ := lwtticket.Parse(content)
	problems := lwtticket.Check(state, ticket)
	if conflict, found := lwtticket.FindConflict(state, ticket); found {
		problems = append(problems, lwttoml.Problem{Key: string(conflict.Object), Message: conflict.Error()})
	}
	return command.printProblems(command.Ticket, problems)
}

// loadState returns the declared state in the --state file, or the empty state
// without one.
func (command *checkCommand) loadState() (lwtdeclaredstate.State, error) {
	state := lwtdeclaredstate.New()
	if command.State == "" {
		return state, nil
	}
	var content []byte
	var err error
	if content, err = os.ReadFile(command.State); err != nil {
		return state, err
	}
	if err := json.Unmarshal(content, &state); err != nil {
		return state, fmt.Errorf("decode declared state %s: %w", command.State, err)
	}
	return state.Indexed(), nil
}

// printProblems prints the result of a check. It returns the problems as one
// error, nil if there are none.
func (command *checkCommand) printProblems(file string, problems []lwttoml.Problem) error {
	if command.JSON {
		if problems == nil {
			problems = []lwttoml.Problem{}
		}
		if err := command.streams.printJSON(struct {
			Valid    bool              `json:"valid"`
			Problems []lwttoml.Problem `json:"problems"`
		}{len(problems) == 0, problems}); err != nil {
			return err
		}
	}
	if err := lwttoml.Join(problems); err != nil {
		return fmt.Errorf("%s is not valid:\n%w", file, err)
	}
	if !command.JSON {
		command.streams.print(command.streams.out, file+" is valid")
	}
	return nil
}
