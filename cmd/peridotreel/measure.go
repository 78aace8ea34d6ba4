package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/peridotreel/peridotreel/internal/measure"
	"github.com/peridotreel/peridotreel/internal/measure/budget"
	"github.com/peridotreel/peridotreel/internal/measure/fleet"
	"github.com/peridotreel/peridotreel/internal/measure/load"
	"github.com/peridotreel/peridotreel/internal/measure/slopes"
	"github.com/peridotreel/peridotreel/internal/measure/sockets"
)

// experiments lists the measurements. Each entry becomes a subcommand of measure.
var experiments = []measure.Experiment{
	{Name: "relay", Usage: "CPU and latency of the relay beside a bare net/http relay", Sockets: sockets.Relay},
	{Name: "silent-connections", Usage: "all established connections to one engine and one service fall silent", Sockets: sockets.SilentConnections},
	{Name: "crest", Usage: "a swing of demand to ten times the usual, against engines for four times", Sockets: sockets.Crest, Simulated: load.CrestRows},
	{Name: "head-of-line", Usage: "short work beside jobs that are 50 times longer", Sockets: sockets.HeadOfLine, Simulated: load.HeadOfLineRows},
	{Name: "stragglers", Usage: "first tokens while two of ten engines are ten times slower in spells", Sockets: sockets.Stragglers, Simulated: load.StragglersRows},
	{Name: "overspend", Usage: "tokens spent beyond the prepaid budget", Simulated: budget.OverspendRows},
	{Name: "false-refusals", Usage: "requests refused although budget is left", Simulated: budget.FalseRefusalRows},
	{Name: "slopes", Usage: "what one unit of load costs each part of a host", Simulated: slopes.Rows},
	{Name: "membership", Usage: "what membership and configuration cost a host in fleets of 3 to 100", Simulated: fleet.Rows},
	{Name: "drain", Usage: "requests cut while all hosts of a dozen are replaced", Sockets: sockets.Drain},
}

var errModeNotAvailable = errors.New("this measure has no such form; run it with --simulated if it only has a trial, and without if it only runs over sockets")

func measureCommand() *cli.Command {
	command := &cli.Command{Name: "measure", Usage: "measure the product beside baselines on the same seeded load, within 60 s each"}
	for _, experiment := range experiments {
		command.Commands = append(command.Commands, experimentCommand(experiment))
	}
	return command
}

func experimentCommand(experiment measure.Experiment) *cli.Command {
	return &cli.Command{
		Name:  experiment.Name,
		Usage: experiment.Usage,
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "print one JSON object a line"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the load"},
			&cli.BoolFlag{Name: "simulated", Usage: "try the decisions on a simulated clock instead of sockets"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			run := experiment.Sockets
			if command.Bool("simulated") || run == nil && experiment.Simulated != nil {
				run = experiment.Simulated
			}
			if run == nil {
				return errModeNotAvailable
			}
			rows, err := run(ctx, command.Uint64("seed"))
			if err != nil {
				return fmt.Errorf("measure %s: %w", experiment.Name, err)
			}
			if command.Bool("json") {
				return measure.WriteJSON(os.Stdout, rows)
			}
			return measure.WriteTable(os.Stdout, rows)
		},
	}
}
