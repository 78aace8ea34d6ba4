package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/peridotreel/peridotreel/internal/edge"
	"github.com/peridotreel/peridotreel/internal/eventlog"
	"github.com/peridotreel/peridotreel/internal/settings"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/platform"
)

// settingsPathVariable is the environment variable with the path of the settings
// file. The flag takes precedence.
const settingsPathVariable = "PERIDOTREEL_SETTINGS"

func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:  "gateway",
		Usage: "run a host that forwards requests on the users' platform",
		Flags: []cli.Flag{&cli.StringFlag{
			Name: "config", Usage: "path of the host's YAML settings", Required: true, Sources: cli.EnvVars(settingsPathVariable),
		}},
		Action: func(ctx context.Context, command *cli.Command) error {
			// Signals that come before this end the process.
			received := notify()
			path := command.String("config")
			loaded, err := settings.LoadGateway(path)
			if err != nil {
				return err
			}
			return runGateway(ctx, path, loaded, received)
		},
	}
}

// runGateway runs a gateway host until SIGTERM or SIGINT. SIGHUP reloads the
// settings.
func runGateway(ctx context.Context, path string, loaded *settings.Gateway, received signals) error {
	level, err := zapcore.ParseLevel(loaded.Log.Level)
	if err != nil {
		return &settings.Error{Field: "log.level", Remedy: err.Error()}
	}
	atomicLevel := zap.NewAtomicLevelAt(level)
	eventLog := eventlog.New(os.Stdout, atomicLevel)
	var logGroup task.Group
	logGroup.Start(eventLog)
	defer logGroup.Stop()
	log := eventLog.Logger()
	log.Info("start", zap.String("event", "start"), zap.String("host", string(loaded.Host)), zap.String("zone", string(loaded.Zone)),
		zap.String("store", loaded.Store))
	gatewayHost, err := edge.New(edge.Options{Settings: loaded, Platform: platform.NewAdapter(loaded.Store), Log: log, Now: time.Now})
	if err != nil {
		return err
	}
	reloadUntilStopped(received, func() { reload(path, atomicLevel, log) }, log)
	gatewayHost.Drain(ctx)
	log.Info("stopped", zap.String("event", "stopped"))
	return nil
}

// signals receives the signals of a gateway. Each kind has a channel of its own, as a
// signal for which there is no room is dropped: a reload that is pending already reads the
// newest settings, and a stop must not be lost behind reloads.
type signals struct{ stop, reload chan os.Signal }

func notify() signals {
	s := signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// reloadUntilStopped reloads the settings on SIGHUP and returns on SIGTERM or SIGINT.
func reloadUntilStopped(received signals, reload func(), log *zap.Logger) {
	for {
		select {
		case sig := <-received.stop:
			log.Info("stop", zap.String("event", "stop"), zap.String("signal", sig.String()))
			return
		case <-received.reload:
			reload()
		}
	}
}

// reload reads the settings again and applies the log level, the only setting that
// can change while the host runs.
func reload(path string, level zap.AtomicLevel, log *zap.Logger) {
	loaded, err := settings.LoadGateway(path)
	if err != nil {
		log.Error("could not reload the settings; the current ones stay in force", zap.String("event", "reload"), zap.Error(err))
		return
	}
	if parsed, err := zapcore.ParseLevel(loaded.Log.Level); err == nil {
		level.SetLevel(parsed)
	}
	log.Info("settings reloaded", zap.String("event", "reload"), zap.String("level", level.String()))
}
