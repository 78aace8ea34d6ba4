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
	{Name: "relay", Usage: "CPU time and latency of the relay, compared with a bare net/http relay", Sockets: sockets.Relay},
	{Name: "silent-connections", Usage: "all established connections to one engine and one service stop delivering data", Sockets: sockets.SilentConnections},
	{Name: "crest", Usage: "demand rises to ten times the usual, with engines for four times", Sockets: sockets.Crest, Simulated: load.CrestRows},
	{Name: "head-of-line", Usage: "short requests next to requests that are 50 times longer", Sockets: sockets.HeadOfLine, Simulated: load.HeadOfLineRows},
	{Name: "stragglers", Usage: "time to first token while two of ten engines are ten times slower from time to time", Sockets: sockets.Stragglers, Simulated: load.StragglersRows},
	{Name: "overspend", Usage: "tokens spent beyond the prepaid budget", Simulated: budget.OverspendRows},
	{Name: "false-refusals", Usage: "requests refused although budget is left", Simulated: budget.FalseRefusalRows},
	{Name: "slopes", Usage: "cost of one unit of load in each part of a host", Simulated: slopes.Rows},
	{Name: "membership", Usage: "cost of membership and configuration per host in fleets of 3 to 100 hosts", Simulated: fleet.Rows},
	{Name: "drain", Usage: "requests cut off while all hosts of a dozen are replaced", Sockets: sockets.Drain},
}

var errModeNotAvailable = errors.New("this measurement has no such mode; use --simulated if it only runs on a simulated clock, and omit it if it only runs over sockets")

func measureCommand() *cli.Command {
	command := &cli.Command{Name: "measure", Usage: "compare the product with baselines on the same seeded load, within 60 s each"}
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
			&cli.BoolFlag{Name: "json", Usage: "print one JSON object per line"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the load"},
			&cli.BoolFlag{Name: "simulated", Usage: "run the decisions on a simulated clock instead of over sockets"},
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
