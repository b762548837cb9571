package lwtcommand

import (
	"fmt"
	"os"
	"strings"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtticket"
	"lacewingtide/core/lwttoml"
	"lacewingtide/io/lwtoperator"
)

// Errors for tickets whose outcome is refused or unknown.
var (
	errRefused = fmt.Errorf("the ticket is refused")
	errUnknown = fmt.Errorf("it is unknown whether the ticket was accepted")
)

type ticketCommand struct {
	Submit ticketSubmit `command:"submit" description:"submit a ticket" long-description:"Submits a ticket to the first daemon that answers and waits for its outcome. A ticket gives its base, the number of the declared state that its author saw (see 'lacewingtide status'), the complete new state of each object it changes, and the objects to remove.\n\nThe ticket is refused if it has problems, or if an object in it was changed after its base. If no daemon or the store gives an answer, the outcome is unknown; submit the same file under the same write id again, or use 'lacewingtide ticket show --write-id ID'.\n\nExit codes: 0 accepted, 1 refused or unknown, 2 wrong usage."`
	Show   ticketShow   `command:"show"   description:"show an accepted ticket" long-description:"Shows the accepted ticket with the given number or write id. A write id that is not found belongs to no accepted ticket.\n\nExit codes: 0 found, 1 not found or no answer, 2 wrong usage."`
	List   ticketList   `command:"list"   description:"list accepted tickets" long-description:"Lists accepted tickets, newest first, with the objects they changed.\n\nExit codes: 0 done, 1 no answer, 2 wrong usage."`
}

func newTicketCommand(streams streams) *ticketCommand {
	return &ticketCommand{
		Submit: ticketSubmit{streams: streams}, Show: ticketShow{streams: streams}, List: ticketList{streams: streams},
	}
}

type ticketSubmit struct {
	operatorOptions
	WriteID string `long:"write-id" value-name:"ID" description:"write id of an earlier attempt to submit the same file; generated if omitted"`
	Args    struct {
		File string `positional-arg-name:"FILE" description:"the ticket (TOML)"`
	} `positional-args:"yes" required:"yes"`
	streams streams
}

// Execute implements flags.Commander.
func (command *ticketSubmit) Execute([]string) error {
	var client *lwtoperator.Client
	var err error
	if client, err = command.client(); err != nil {
		return err
	}
	var content []byte
	if content, err = os.ReadFile(command.Args.File); err != nil {
		return fmt.Errorf("read the ticket: %w", err)
	}
	writeID := command.WriteID
	if writeID == "" {
		writeID = lwtoperator.NewWriteID()
	}
	// Print the write id before the first attempt, so that the operator can look
	// up the outcome even if the command is interrupted.
	command.streams.print(command.streams.err, "write-id: "+writeID)
	var response lwtoperator.SubmitResponse
	if response, err = client.Submit(writeID, content); err != nil {
		return err
	}
	if command.JSON {
		if err := command.streams.printJSON(response); err != nil {
			return err
		}
	}
	return command.printOutcome(response)
}

// printOutcome prints that a ticket was accepted, or returns an error that says
// why it was not.
func (command *ticketSubmit) printOutcome(response lwtoperator.SubmitResponse) error {
	switch response.Outcome {
	case lwtticket.OutcomeAccepted:
		if !command.JSON {
			command.streams.print(command.streams.out, fmt.Sprintf("accepted as ticket %d", response.Revision))
		}
		return nil
	case lwtticket.OutcomeUnknown:
		return fmt.Errorf("%w: %s\nTo see what became of it: %s", errUnknown, response.Reason, response.ShowCommand)
	}
	if err := lwttoml.Join(response.Problems); err != nil {
		return fmt.Errorf("%w:\n%w", errRefused, err)
	}
	return fmt.Errorf("%w: %s", errRefused, response.Reason)
}

type ticketShow struct {
	operatorOptions
	WriteID string `long:"write-id" value-name:"ID" description:"write id of the ticket, instead of its number"`
	Args    struct {
		Number int64 `positional-arg-name:"NUMBER" description:"number of the ticket"`
	} `positional-args:"yes"`
	streams streams
}

// Execute implements flags.Commander.
func (command *ticketShow) Execute([]string) error {
	if (command.Args.Number > 0) == (command.WriteID != "") {
		return usageError("give either the NUMBER of a ticket or --write-id ID")
	}
	var client *lwtoperator.Client
	var err error
	if client, err = command.client(); err != nil {
		return err
	}
	var record lwtticket.Record
	if command.WriteID != "" {
		record, err = client.TicketByWriteID(command.WriteID)
	} else {
		record, err = client.Ticket(command.Args.Number)
	}
	if err != nil {
		return err
	}
	if command.JSON {
		return command.streams.printJSON(record)
	}
	command.streams.print(command.streams.out, describeRecord(record))
	for _, id := range record.Change.ObjectIDs() {
		command.streams.print(command.streams.out, "  "+string(id))
	}
	return nil
}

type ticketList struct {
	operatorOptions
	Before  int64 `long:"before" value-name:"NUMBER" description:"list only tickets below this number"`
	Limit   int   `long:"limit" value-name:"COUNT" default:"20" description:"number of tickets to list, at most 100"`
	streams streams
}

// Execute implements flags.Commander.
func (command *ticketList) Execute([]string) error {
	if command.Limit < 1 || command.Before < 0 {
		return usageError("--limit must be above 0 and --before must not be negative")
	}
	var client *lwtoperator.Client
	var err error
	if client, err = command.client(); err != nil {
		return err
	}
	var records []lwtticket.Record
	if records, err = client.ListTickets(command.Before, command.Limit); err != nil {
		return err
	}
	if command.JSON {
		return command.streams.printJSON(records)
	}
	for _, record := range records {
		command.streams.print(command.streams.out,
			describeRecord(record)+" changes "+summarizeObjectIDs(record.Change.ObjectIDs()))
	}
	return nil
}

func describeRecord(record lwtticket.Record) string {
	return fmt.Sprintf("ticket %d, base %d, accepted %s, operator %s, write id %s",
		record.Change.Revision, record.BaseRevision, record.AcceptedAt.UTC().Format(time.RFC3339),
		record.Operator, record.WriteID)
}

// summarizeObjectIDs lists up to three objects and the number of others.
func summarizeObjectIDs(ids []lwtdeclaredstate.ObjectID) string {
	const maxNames = 3
	names := make([]string, 0, maxNames+1)
	for i, id := range ids {
		if i == maxNames {
			names = append(names, fmt.Sprintf("%d more", len(ids)-maxNames))
			break
		}
		names = append(names, string(id))
	}
	return strings.Join(names, ", ")
}
