package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/peridotreel/peridotreel/internal/explain"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show what happened to a request, from the logs of any number of hosts",
		ArgsUsage: "[ID] [FILE ...]",
		Description: "Reads log files, or standard input if no file is given, and prints a request's route, balance, attempts and\n" +
			"answer, and what its host knew at the time. With --since or --event, there is no ID, and events are printed\n" +
			"instead, in the order of time. With --refusals, the requests that were refused for want of tokens are counted by cause,\n" +
			"team and time.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "since", Usage: "print the events from this time on, in RFC 3339"},
			&cli.StringFlag{Name: "event", Usage: "print only events with this name"},
			&cli.BoolFlag{Name: "refusals", Usage: "count the requests that were refused for want of tokens"},
			&cli.DurationFlag{Name: "period", Usage: "the period by which --refusals counts", Value: time.Second},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			arguments := command.Args().Slice()
			if command.Bool("refusals") {
				lines, err := readLogs(arguments)
				if err != nil {
					return err
				}
				return explain.WriteRefusals(os.Stdout, lines, max(command.Duration("period"), time.Millisecond))
			}
			listEvents := command.IsSet("since") || command.IsSet("event")
			id := ""
			if !listEvents {
				if len(arguments) == 0 {
					return fmt.Errorf("no request given; give its ID, or use --since or --event")
				}
				id, arguments = arguments[0], arguments[1:]
			}
			lines, err := readLogs(arguments)
			if err != nil {
				return err
			}
			if !listEvents {
				if !explain.WriteRequest(os.Stdout, lines, id) {
					return fmt.Errorf("no log line is about request %s; lines of ordinary answers are sampled, and a host that was killed writes none", id)
				}
				return nil
			}
			var since time.Time
			if command.IsSet("since") {
				if since, err = time.Parse(time.RFC3339Nano, command.String("since")); err != nil {
					return fmt.Errorf("--since: %w; write a time such as 2026-01-31T10:00:00Z", err)
				}
			}
			explain.WriteEvents(os.Stdout, lines, since, command.String("event"))
			return nil
		},
	}
}

func readLogs(names []string) ([]explain.Line, error) {
	log, err := explain.ReadFiles(names, os.Stdin)
	return log.Lines, err
}
