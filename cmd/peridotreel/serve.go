package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/host"
	"github.com/peridotreel/peridotreel/internal/settings"
)

func configFlag() cli.Flag {
	return &cli.StringFlag{Name: "config", Usage: "path of the host's YAML settings", Required: true}
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "check a host's settings without starting it",
		Flags: []cli.Flag{configFlag()},
		Action: func(_ context.Context, command *cli.Command) error {
			loaded, err := settings.Load(command.String("config"))
			if err != nil {
				return err
			}
			if err := loaded.Listen.CheckAddresses(); err != nil {
				return err
			}
			fmt.Println("settings are valid")
			return nil
		},
	}
}

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run a host of the fleet",
		Flags: []cli.Flag{configFlag()},
		Action: func(_ context.Context, command *cli.Command) error {
			loaded, err := settings.Load(command.String("config"))
			if err != nil {
				return err
			}
			return serve(loaded)
		},
	}
}

// serve runs a host until it gets SIGTERM or SIGINT. The first signal drains the
// host; a second one stops it at once.
func serve(loaded *settings.Settings) error {
	log, err := newLogger(loaded.Log.Level)
	if err != nil {
		return err
	}
	defer log.Sync()
	runningHost, err := host.New(host.Options{
		Settings: loaded, Log: log,
		// The start time orders the incarnations of a host, because the clocks of
		// its successive processes differ by less than the time a restart takes.
		Incarnation: core.Incarnation(time.Now().UnixMilli()),
	})
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	runningHost.Start()
	select {
	case err := <-runningHost.Failed():
		runningHost.Kill()
		return fmt.Errorf("a listener stopped unexpectedly: %w", err)
	case <-signals:
	}
	return drain(runningHost, time.Duration(loaded.Drain.Limit), signals)
}

var errSecondSignal = errors.New("a second signal stopped the host; what its drain had not returned is in the log and stays deducted until it is released")

func drain(runningHost *host.Host, limit time.Duration, signals <-chan os.Signal) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- runningHost.Drain(ctx) }()
	select {
	case err := <-done:
		return err
	case <-signals:
		cancel()
		return errors.Join(errSecondSignal, <-done)
	}
}
