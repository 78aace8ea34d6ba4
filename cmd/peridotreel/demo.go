package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/peridotreel/peridotreel/internal/demo"
)

var errDemoCheckFailed = errors.New("a check of the demo failed; see the lines marked BROKEN")

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a small fleet in one process, send it a mix of requests and check every guarantee",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "serve", Usage: "keep the fleet running and print its addresses and keys"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			if command.Bool("serve") {
				ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
				defer stop()
				return demo.Serve(ctx, os.Stdout)
			}
			passed, err := demo.Run(ctx, os.Stdout)
			if err != nil {
				return err
			}
			if !passed {
				return errDemoCheckFailed
			}
			return nil
		},
	}
}
