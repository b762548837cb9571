package lwtcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"

	"github.com/go-kit/log"

	"lacewingtide/io/lwtdemo"
	"lacewingtide/io/lwtlog"
)

const demoHelp = "Runs a whole deployment in this process on loopback: a platform stand-in, a dozen model engines, three " +
	"shop order servers and four entry daemons. Callers send streamed completions, orders and lookups while a ticket " +
	"changes an engine's role, one daemon is killed and one leaves. Prints what callers got for each class, and ends " +
	"within 60 s.\n\n" +
	"With --hold it starts one deployment, prints how to reach it, and serves until SIGINT or SIGTERM.\n\n" +
	"Exit codes: 0 all guarantees held, 1 a guarantee was broken or the demo failed, 2 wrong usage."

var errViolations = fmt.Errorf("guarantees were broken")

type demoCommand struct {
	Deployment string `long:"deployment" choice:"cristalier" choice:"himalchhat" choice:"both" default:"both" description:"deployment to run"`
	Hold       bool   `long:"hold" description:"start one deployment and serve until a signal"`
	JSON       bool   `long:"json" description:"print the result as JSON"`
	LogFile    string `long:"log-file" value-name:"FILE" description:"write the daemons' log to a file"`
	streams    streams
}

// Execute implements flags.Commander.
func (command *demoCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	logger, closeLog, err := command.logger()
	if err != nil {
		return err
	}
	defer closeLog()
	if command.Hold {
		return command.hold(ctx, logger)
	}
	return command.run(ctx, logger)
}

func (command *demoCommand) logger() (log.Logger, func(), error) {
	if command.LogFile == "" {
		return log.NewNopLogger(), func() {}, nil
	}
	file, err := os.Create(command.LogFile)
	if err != nil {
		return nil, nil, fmt.Errorf("open the log: %w", err)
	}
	// A close error means only that the file system lost log lines.
	return lwtlog.New(file, "info"), func() { _ = file.Close() }, nil
}

func (command *demoCommand) layouts() []lwtdemo.Layout {
	layouts := []lwtdemo.Layout{}
	for _, layout := range lwtdemo.Layouts() {
		if command.Deployment == "both" || command.Deployment == layout.Name {
			layouts = append(layouts, layout)
		}
	}
	return layouts
}

func (command *demoCommand) run(ctx context.Context, logger log.Logger) error {
	results := []lwtdemo.Result{}
	progress := command.streams.out
	if command.JSON {
		progress = command.streams.err
	}
	for _, layout := range command.layouts() {
		result, err := lwtdemo.Run(ctx, lwtdemo.Options{
			Layout: layout, Logger: logger,
			Progress: func(line string) { command.streams.print(progress, line) },
		})
		if err != nil {
			return err
		}
		results = append(results, result)
		if !command.JSON {
			printResult(command.streams.out, result)
		}
	}
	if command.JSON {
		if err := command.streams.printJSON(struct {
			Deployments []lwtdemo.Result `json:"deployments"`
		}{results}); err != nil {
			return err
		}
	}
	return violationError(results)
}

// violationError returns errViolations if a result has a violation.
func violationError(results []lwtdemo.Result) error {
	for _, result := range results {
		if len(result.Violations) > 0 {
			return errViolations
		}
	}
	return nil
}

func printResult(w io.Writer, result lwtdemo.Result) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	// A failed write to the terminal cannot be reported anywhere.
	_, _ = fmt.Fprintln(table, "class\trequests\twhole\ton time\tnot-run\tunknown\t")
	for _, class := range result.Classes {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t\n",
			class.Class, class.Requests, class.Complete, class.OnTime, class.NotRun, class.Unknown)
	}
	_ = table.Flush()
	_, _ = fmt.Fprintf(w, "role changes: %d\norders executed once: %d\n", result.RoleChanges, result.OrdersRunOnce)
	for _, violation := range result.Violations {
		_, _ = fmt.Fprintln(w, "BROKEN: "+violation)
	}
	_, _ = fmt.Fprintln(w)
}

// hold serves one deployment until ctx ends.
func (command *demoCommand) hold(ctx context.Context, logger log.Logger) error {
	fleet, err := lwtdemo.Start(context.WithoutCancel(ctx), command.layouts()[0], logger)
	if err != nil {
		return err
	}
	defer fleet.Stop()
	if err := fleet.DeclareInitialState(); err != nil {
		return err
	}
	if command.JSON {
		if err := json.NewEncoder(command.streams.out).Encode(fleet.ConnectionInfo()); err != nil {
			return err
		}
	} else {
		info := fleet.ConnectionInfo()
		command.streams.print(command.streams.out, fmt.Sprintf(
			"entry-addresses: %v\noperator-addresses: %v\ncaller-key: %s\noperator-key: %s\nmodels: %v\nservices: %v",
			info.EntryAddresses, info.OperatorAddresses, info.CallerKey, info.OperatorKey, info.Models, info.Services))
	}
	<-ctx.Done()
	return nil
}
