package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/peridotreel/peridotreel/internal/explain"
)

// nearDefault is how long before a lost request events are shown. A longer time shows more
// events that have nothing to do with it.
const nearDefault = 2 * time.Second

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show what happened to a request, from the logs of any number of hosts",
		ArgsUsage: "[ID] [FILE ...]",
		Description: "Reads log files, or standard input if no file is given, and prints a request's route, balance, attempts and\n" +
			"answer, and what its host knew at the time. With --since or --event, there is no ID, and events are printed\n" +
			"instead, in the order of time. With --refusals, the requests that were refused for want of tokens are counted by cause,\n" +
			"team and time. With --lost, each request whose caller was left without a whole answer is listed, with what happened\n" +
			"near it, and the times for which the logs are incomplete. Files may be compressed with gzip.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "since", Usage: "print the events from this time on, in RFC 3339"},
			&cli.StringFlag{Name: "event", Usage: "print only events with this name"},
			&cli.BoolFlag{Name: "refusals", Usage: "count the requests that were refused for want of tokens"},
			&cli.BoolFlag{Name: "lost", Usage: "list the requests that were cut or got no answer"},
			&cli.DurationFlag{Name: "near", Usage: "how long before a lost request --lost shows events", Value: nearDefault},
			&cli.DurationFlag{Name: "period", Usage: "the period by which --refusals counts", Value: time.Second},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			switch {
			case command.Bool("lost"):
				return explainLost(command)
			case command.Bool("refusals"):
				return explainRefusals(command)
			case command.IsSet("since") || command.IsSet("event"):
				return explainEvents(command)
			}
			return explainRequest(command)
		},
	}
}

func explainLost(command *cli.Command) error {
	log, err := readLogs(command.Args().Slice())
	if err != nil {
		return err
	}
	return explain.WriteLost(os.Stdout, log, max(command.Duration("near"), 0))
}

func explainRefusals(command *cli.Command) error {
	log, err := readLogs(command.Args().Slice())
	if err != nil {
		return err
	}
	return explain.WriteRefusals(os.Stdout, log.Lines, max(command.Duration("period"), time.Millisecond))
}

func explainEvents(command *cli.Command) error {
	log, err := readLogs(command.Args().Slice())
	if err != nil {
		return err
	}
	var since time.Time
	if command.IsSet("since") {
		if since, err = time.Parse(time.RFC3339Nano, command.String("since")); err != nil {
			return fmt.Errorf("--since: %w; write a time such as 2026-01-31T10:00:00Z", err)
		}
	}
	explain.WriteEvents(os.Stdout, log.Lines, since, command.String("event"))
	return nil
}

func explainRequest(command *cli.Command) error {
	arguments := command.Args().Slice()
	if len(arguments) == 0 {
		return fmt.Errorf("no request given; give its ID, or use --since, --event, --refusals or --lost")
	}
	log, err := readLogs(arguments[1:])
	if err != nil {
		return err
	}
	if id := arguments[0]; !explain.WriteRequest(os.Stdout, log.Lines, id) {
		return fmt.Errorf("no log line is about request %s; lines of ordinary answers are sampled, and a host that was killed writes none", id)
	}
	return nil
}

func readLogs(names []string) (explain.Log, error) { return explain.ReadFiles(names, os.Stdin) }
