// Command lacewingtide-entry runs the entry daemon on the users' platform. It contains only the
// commands that run on a VM, because the memory of each process is billed.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"

	"lacewingtide/io/lwtgateway"
	"lacewingtide/io/lwtlog"
	"lacewingtide/io/lwtmetric"
	"lacewingtide/io/lwtplatform"
	"lacewingtide/platform"
)

// Memory limits of the process.
const (
	// logQueueBytes is the maximum size of the queued log lines.
	logQueueBytes = 1 << 20
	// memoryLimitFraction is the soft memory limit of the Go runtime as a fraction of the
	// VM's memory. Near it, garbage is collected more often.
	memoryLimitFraction = 0.75
)

type settingsOption struct {
	Settings string `long:"settings" required:"true" description:"settings file (TOML)"`
}

type serveCommand struct{ settingsOption }

// Execute implements flags.Commander.
func (command *serveCommand) Execute([]string) error {
	// A signal to reload that arrives before it is handled ends the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	settings, err := lwtgateway.LoadSettings(command.Settings)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.VM.MemoryMegabytes) * (1 << 20)))
	logWriter := lwtlog.NewAsyncWriter(os.Stdout, logQueueBytes)
	defer logWriter.Close()
	logger := lwtlog.New(logWriter, settings.LogLevel)
	exportedMetrics, err := lwtmetric.New(settings.Name)
	if err != nil {
		return err
	}
	store := platform.NewStore(lwtplatform.New(settings.Store.Address, lwtgateway.StoreTimeout).
		SetMaxBackoff(lwtgateway.StoreMaxBackoff).SetFleetRate(settings.Store.CallsPerSecond()))
	gateway, err := lwtgateway.New(settings, platform.Protocol{}, store, exportedMetrics, logger)
	if err != nil {
		return err
	}
	go gateway.WatchSettings(ctx, command.Settings, reload)
	return gateway.Run(ctx)
}

type checkCommand struct{ settingsOption }

// Execute implements flags.Commander.
func (command *checkCommand) Execute([]string) error {
	_, err := lwtgateway.LoadSettings(command.Settings)
	return err
}

func main() {
	parser := flags.NewNamedParser("lacewingtide-entry", flags.Default)
	for _, command := range []struct {
		name, short string
		data        any
	}{
		{"serve", "run the entry daemon until SIGINT or SIGTERM", &serveCommand{}},
		{"check", "check a settings file", &checkCommand{}},
	} {
		if _, err := parser.AddCommand(command.name, command.short, command.short, command.data); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	if _, err := parser.Parse(); err != nil {
		os.Exit(1)
	}
}
