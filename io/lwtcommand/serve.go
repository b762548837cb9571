package lwtcommand

import (
	"context"
	"os/signal"
	"syscall"

	"lacewingtide/io/lwtdaemon"
	"lacewingtide/io/lwtlog"
	"lacewingtide/io/lwtsetting"
)

type serveCommand struct {
	Settings string `long:"settings" required:"true" description:"settings file (TOML)"`
	streams  streams
}

// Execute implements flags.Commander.
func (command *serveCommand) Execute([]string) error {
	settings, err := lwtsetting.Load(command.Settings)
	if err != nil {
		return err
	}
	listeners, err := lwtdaemon.Listen(settings)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var daemon *lwtdaemon.Daemon
	if daemon, err = lwtdaemon.New(settings, listeners, lwtlog.New(command.streams.err, settings.LogLevel)); err != nil {
		return err
	}
	return daemon.Run(ctx)
}
