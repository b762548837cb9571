package lwtcommand

import (
	"fmt"
	"os"

	"lacewingtide/core/lwtburn"
	"lacewingtide/io/lwtburnreport"
)

const reportHelp = "Adds up the requests that the daemons counted and shows how fast the error budgets of the declared " +
	"objectives are spent, over windows from 5 minutes to 3 days, with the alerts that hold and what spent the budget.\n\n" +
	"Name every daemon; all of them are asked. If one does not answer, the report covers the others and the exit code is 1.\n\n" +
	"Exit codes: 0 done, 1 a daemon did not answer, 2 wrong usage."

type reportCommand struct {
	operatorOptions
	HTML    string `long:"html" value-name:"FILE" description:"also write the report as an HTML page with a plot"`
	streams streams
}

// Execute implements flags.Commander.
func (command *reportCommand) Execute([]string) error {
	client, err := command.client()
	if err != nil {
		return err
	}
	report, daemonErrors := client.Burn()
	if err := command.print(report); err != nil {
		return err
	}
	if command.HTML != "" {
		if err := writePage(command.HTML, report); err != nil {
			return err
		}
	}
	return daemonErrors
}

func (command *reportCommand) print(report lwtburn.Report) error {
	if command.JSON {
		return command.streams.printJSON(report)
	}
	return lwtburnreport.WriteText(command.streams.out, report)
}

func writePage(path string, report lwtburn.Report) error {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("write report page: %w", err)
	}
	if err := lwtburnreport.WriteHTML(file, report); err != nil {
		// The write error explains more than the close error.
		_ = file.Close()
		return err
	}
	return file.Close()
}
