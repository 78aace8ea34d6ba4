// Command peridotreel is the only binary of the router fleet. It runs hosts and
// gateway hosts, changes the operators' table, explains requests from logs, and
// has the stand-ins, the demo and the measurements.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/peridotreel/peridotreel/internal/settings"
)

const (
	exitFailure     = 1
	exitBadSettings = 2
)

func main() {
	root := &cli.Command{
		Name:  "peridotreel",
		Usage: "router fleet for language-model work on prepaid token budgets",
		Commands: []*cli.Command{
			serveCommand(), gatewayCommand(), explainCommand(), checkCommand(), tableCommand(), standinCommand(), demoCommand(), measureCommand(),
		},
	}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var invalid *settings.Error
	if errors.As(err, &invalid) {
		return exitBadSettings
	}
	return exitFailure
}
