package main

import (
	"context"
	"errors"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/peridotreel/peridotreel/internal/demo"
)

var errPromiseBroken = errors.New("the demo saw a broken promise; see the lines marked BROKEN")

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a small fleet in one process, send a mix of work and check every promise",
		Action: func(ctx context.Context, _ *cli.Command) error {
			kept, err := demo.Run(ctx, os.Stdout)
			if err != nil {
				return err
			}
			if !kept {
				return errPromiseBroken
			}
			return nil
		},
	}
}
