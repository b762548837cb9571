package lwtcommand

import (
	"context"
	"net"
	"os/signal"
	"syscall"
	"time"

	"lacewingtide/io/lwtstandin"
)

type standInCommand struct {
	Platform standInPlatform `command:"platform" description:"run the table, the object store and the VM list"`
	Engine   standInEngine   `command:"engine"   description:"run a model engine"`
	Service  standInService  `command:"service"  description:"run a shop order server"`
	streams  streams
}

type standInPlatform struct {
	Address string `long:"address" required:"true" description:"IP:port to listen on"`
}

// Execute implements flags.Commander.
func (command *standInPlatform) Execute([]string) error {
	return serveUntilSignal(command.Address, lwtstandin.NewPlatform().Serve, nil)
}

type standInEngine struct {
	Address string   `long:"address" required:"true" description:"IP:port to listen on"`
	Name    string   `long:"name"    required:"true" description:"name of the engine"`
	Models  []string `long:"model"   required:"true" description:"model to serve; may be repeated"`
}

// Execute implements flags.Commander.
func (command *standInEngine) Execute([]string) error {
	options := lwtstandin.DefaultEngineOptions(command.Name, command.Models...)
	engine := lwtstandin.NewEngine(options, time.Now().UnixNano())
	return serveUntilSignal(command.Address, engine.Serve, engine.Run)
}

type standInService struct {
	Address string `long:"address" required:"true" description:"IP:port to listen on"`
	Name    string `long:"name"    required:"true" description:"name of the server"`
}

// Execute implements flags.Commander.
func (command *standInService) Execute([]string) error {
	return serveUntilSignal(command.Address, lwtstandin.NewShop(command.Name).Serve, nil)
}

// serveUntilSignal listens on an address and runs serve, and run if it is given,
// until SIGINT, SIGTERM or an error.
func serveUntilSignal(address string, serve func(net.Listener) error, run func(context.Context) error) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	errs := make(chan error, 1)
	go func() { errs <- serve(listener) }()
	if run != nil {
		go func() { errs <- run(ctx) }()
	}
	select {
	case err := <-errs:
		return err
	case <-ctx.Done():
		return nil
	}
}
