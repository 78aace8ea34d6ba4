package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/peridotreel/peridotreel/internal/core"
	platformstandin "github.com/peridotreel/peridotreel/internal/standin/platform"
	upstreamstandin "github.com/peridotreel/peridotreel/internal/standin/upstream"
	"github.com/peridotreel/peridotreel/internal/task"
)

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:     "standin",
		Usage:    "run a small stand-in for an external system, to try out a fleet by hand",
		Commands: []*cli.Command{standinPlatformCommand(), standinUpstreamCommand()},
	}
}

func standinPlatformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "table, object store, weight store and list of machines, kept in memory",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:9000", Usage: "address to serve on"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			service := platformstandin.NewService()
			return serveStandin(ctx, command.String("listen"), service, service.Handler())
		},
	}
}

func standinUpstreamCommand() *cli.Command {
	return &cli.Command{
		Name:  "upstream",
		Usage: "a model engine, or a plain service with --service",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:9100", Usage: "address to serve on"},
			&cli.StringFlag{Name: "id", Value: "engine-1", Usage: "identity in the platform's list"},
			&cli.BoolFlag{Name: "service", Usage: "run a plain service instead of an engine"},
			&cli.DurationFlag{Name: "step", Value: upstreamstandin.DefaultStepTime, Usage: "time an engine takes for one token of each stream"},
			&cli.IntFlag{Name: "max-running", Value: upstreamstandin.DefaultMaxRunning, Usage: "most streams in an engine's batch"},
			&cli.DurationFlag{Name: "load-lag", Usage: "delay of an engine's load reports"},
			&cli.BoolFlag{Name: "checks-fencing", Usage: "reject orders with an old fencing number"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			id := core.UpstreamID(command.String("id"))
			if command.Bool("service") {
				service := upstreamstandin.NewService(upstreamstandin.ServiceSettings{ID: id, Incarnation: incarnationNow()})
				return serveStandin(ctx, command.String("listen"), service, service.Handler())
			}
			engine := upstreamstandin.NewEngine(upstreamstandin.EngineSettings{
				ID: id, Incarnation: incarnationNow(), StepTime: command.Duration("step"),
				MaxRunning: command.Int("max-running"), LoadLag: command.Duration("load-lag"),
				ChecksFencing: command.Bool("checks-fencing"),
			})
			return serveStandin(ctx, command.String("listen"), engine, engine.Handler())
		},
	}
}

func incarnationNow() core.Incarnation {
	return core.Incarnation(time.Now().UnixMilli())
}

// serveStandin runs a stand-in until it gets SIGTERM or SIGINT.
func serveStandin(ctx context.Context, address string, standin task.Task, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("can't listen on %s; choose another address with --listen: %w", address, err)
	}
	var group task.Group
	group.Start(standin)
	defer group.Stop()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	fmt.Printf("listening on %s\n", listener.Addr())
	if err := server.Serve(listener); ctx.Err() == nil {
		return err
	}
	return nil
}
