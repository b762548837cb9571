// Package lwtcommand implements the command-line interface of lacewingtide.
package lwtcommand

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Exit codes of lacewingtide.
const (
	ExitSuccess = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// streams holds the standard output and standard error of the commands.
type streams struct {
	out io.Writer
	err io.Writer
}

// Main runs the command line and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	streams := streams{out: stdout, err: stderr}
	var parser *flags.Parser
	var err error
	if parser, err = newParser(streams); err != nil {
		return streams.fail(err)
	}
	_, err = parser.ParseArgs(args)
	return streams.exitCode(err)
}

func newParser(streams streams) (*flags.Parser, error) {
	parser := flags.NewNamedParser("lacewingtide", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Lacewingtide serves model requests for a fixed fleet of engines.\n\n" +
		"Exit codes: 0 done, 1 refused or failed, 2 wrong usage."
	parser.CommandHandler = execute
	for _, command := range commands(streams) {
		if _, err := parser.AddCommand(command.name, command.short, command.long, command.data); err != nil {
			return nil, err
		}
	}
	return parser, nil
}

// execute runs a command. Surplus arguments are a usage error.
func execute(command flags.Commander, surplus []string) error {
	if command == nil {
		return nil
	}
	if len(surplus) > 0 {
		return usageError("unexpected argument " + surplus[0])
	}
	return command.Execute(surplus)
}

// command describes a subcommand for go-flags; data holds its options.
type command struct {
	name, short, long string
	data              any
}

func commands(streams streams) []command {
	return []command{
		{"serve", "run an entry daemon", "Runs one entry daemon until SIGINT or SIGTERM.", &serveCommand{streams: streams}},
		{"check", "check a settings file or a ticket", checkHelp, &checkCommand{streams: streams}},
		{"ticket", "submit, show or list tickets", "Changes the declared state and shows how it was changed.", newTicketCommand(streams)},
		{"status", "show the status of a daemon", statusHelp, &statusCommand{streams: streams}},
		{"report", "show service-level burn", reportHelp, &reportCommand{streams: streams}},
		{"measure", "measure in virtual time", "Measures policies on models of engines in virtual time.", &measureCommand{
			MixShift: measureMixShift{streams: streams}, streams: streams,
		}},
		{"demo", "run a whole deployment on loopback", demoHelp, &demoCommand{streams: streams}},
		{"stand-in", "run a stand-in", "Runs a stand-in for a system outside lacewingtide.", &standInCommand{streams: streams}},
	}
}

// exitCode prints an error and returns the exit code for it. A request for help
// is printed to the standard output and counts as success.
func (streams streams) exitCode(err error) int {
	var flagsError *flags.Error
	switch {
	case err == nil:
		return ExitSuccess
	case errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp:
		streams.print(streams.out, flagsError.Message)
		return ExitSuccess
	case errors.As(err, &flagsError):
		streams.print(streams.err, flagsError.Message)
		return ExitUsage
	}
	return streams.fail(err)
}

func (streams streams) fail(err error) int {
	streams.print(streams.err, "lacewingtide: "+err.Error())
	return ExitFailure
}

func (streams streams) print(w io.Writer, text string) {
	// A failed write to the terminal cannot be reported anywhere.
	_, _ = fmt.Fprintln(w, text)
}
