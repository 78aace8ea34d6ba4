package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/teamtable"
	"github.com/peridotreel/peridotreel/internal/operate"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/rows"
)

func tableCommand() *cli.Command {
	return &cli.Command{
		Name:  "table",
		Usage: "read and change the operators' table on the platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "platform", Value: "http://127.0.0.1:9000", Usage: "base URL of the platform", Sources: cli.EnvVars("PERIDOTREEL_PLATFORM")},
			&cli.StringFlag{Name: "by", Usage: "your name for the history", Value: "command line", Sources: cli.EnvVars("USER")},
		},
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the teams", Action: listTeams},
			{Name: "get", Usage: "print a team's row as JSON", ArgsUsage: "TEAM", Action: getTeam},
			{Name: "set", Usage: "save a team's row from JSON", ArgsUsage: "TEAM", Action: setTeam, Flags: []cli.Flag{fileFlag(), versionFlag()}},
			{Name: "undo", Usage: "restore a team's previous content as a new version", ArgsUsage: "TEAM", Action: undoTeam, Flags: []cli.Flag{versionFlag()}},
			{Name: "history", Usage: "list the replaced versions of a team's row", ArgsUsage: "TEAM", Action: listHistory},
			{Name: "set-service", Usage: "save a service's row from JSON", ArgsUsage: "SERVICE", Action: setService, Flags: []cli.Flag{fileFlag(), versionFlag()}},
			{Name: "budgets", Usage: "list the budgets with their left, spent, held and stranded tokens", Action: listBudgets},
			topUpCommand(),
			releaseCommand(),
		},
	}
}

func fileFlag() cli.Flag {
	return &cli.StringFlag{Name: "file", Value: "-", Usage: "file with the row, - for standard input"}
}

func versionFlag() cli.Flag {
	return &cli.Int64Flag{Name: "version", Usage: "version of the row that you have seen; 0 for a new row"}
}

func topUpCommand() *cli.Command {
	return &cli.Command{
		Name: "topup", Usage: "add tokens to a budget", ArgsUsage: "BUDGET", Action: topUp,
		Flags: []cli.Flag{
			&cli.Int64Flag{Name: "tokens", Usage: "tokens to add", Required: true},
			&cli.StringFlag{Name: "token", Usage: "identity of the payment; repeat it to retry; a new one is generated if it is missing"},
		},
	}
}

func releaseCommand() *cli.Command {
	return &cli.Command{
		Name:   "release",
		Usage:  "return the shares of a host process that you know to be terminated",
		Action: release,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "host", Usage: "host whose process is terminated", Required: true},
			&cli.Uint64Flag{Name: "incarnation", Usage: "incarnation of the process", Required: true},
		},
	}
}

func newOperator(command *cli.Command) *operate.Operator {
	store := platform.NewClient(command.String("platform"))
	return operate.New(operate.Config{Table: store, Budgets: operate.NewTableBudgets(store, store.Objects(), time.Now)})
}

// argument returns the only argument of a command.
func argument(command *cli.Command) (string, error) {
	if command.Args().Len() != 1 {
		return "", fmt.Errorf("%s takes one argument: %s", command.Name, command.ArgsUsage)
	}
	return command.Args().First(), nil
}

func readRowFile(command *cli.Command) ([]byte, error) {
	if name := command.String("file"); name != "-" {
		return os.ReadFile(name)
	}
	return io.ReadAll(os.Stdin)
}

func newTableWriter() *tabwriter.Writer {
	return tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
}

func listTeams(ctx context.Context, command *cli.Command) error {
	teams, err := newOperator(command).Teams(ctx)
	if err != nil {
		return err
	}
	table := newTableWriter()
	fmt.Fprintln(table, "team\tversion\tweight\tin flight\ttokens/s\tqueue\tdeadline\tbudget\tclasses")
	for _, team := range teams {
		if team.Row == nil {
			fmt.Fprintf(table, "%s\t%d\tunreadable: %v\n", team.Team, team.Version, team.Invalid)
			continue
		}
		row := team.Row
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%d\n", row.Team, row.Version, row.Weight,
			row.MaxInFlight, row.TokensPerSecond, row.QueueLength, row.Deadline, row.Budget, len(row.Classes))
	}
	return table.Flush()
}

func getTeam(ctx context.Context, command *cli.Command) error {
	name, err := argument(command)
	if err != nil {
		return err
	}
	team, err := newOperator(command).Team(ctx, core.TeamName(name))
	if err != nil {
		return err
	}
	if team.Row == nil {
		return fmt.Errorf("team %s: %w", name, team.Invalid)
	}
	content, err := rows.EncodeTeam(team.Row)
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "version %d\n", team.Version)
	fmt.Println(string(content))
	return nil
}

func setTeam(ctx context.Context, command *cli.Command) error {
	name, err := argument(command)
	if err != nil {
		return err
	}
	content, err := readRowFile(command)
	if err != nil {
		return err
	}
	row, err := rows.ParseTeam(core.TeamName(name), content)
	if err != nil {
		return err
	}
	saved, err := newOperator(command).Save(ctx, teamtable.Edit{
		Team: row.Team, Expected: command.Int64("version"), Row: row, By: command.String("by"),
	})
	return printSaved(saved, err)
}

func undoTeam(ctx context.Context, command *cli.Command) error {
	name, err := argument(command)
	if err != nil {
		return err
	}
	saved, err := newOperator(command).Undo(ctx, teamtable.Edit{
		Team: core.TeamName(name), Expected: command.Int64("version"), By: command.String("by"),
	})
	return printSaved(saved, err)
}

func setService(ctx context.Context, command *cli.Command) error {
	name, err := argument(command)
	if err != nil {
		return err
	}
	content, err := readRowFile(command)
	if err != nil {
		return err
	}
	row, err := rows.ParseService(core.ServiceName(name), content)
	if err != nil {
		return err
	}
	saved, err := newOperator(command).SaveService(ctx, row.Service, command.Int64("version"), row)
	return printSaved(saved, err)
}

func printSaved(saved operate.Saved, err error) error {
	if err != nil {
		return err
	}
	fmt.Printf("saved version %d at revision %d\n", saved.Version, saved.Revision)
	return nil
}

func listHistory(ctx context.Context, command *cli.Command) error {
	name, err := argument(command)
	if err != nil {
		return err
	}
	history, err := newOperator(command).History(ctx, core.TeamName(name))
	if err != nil {
		return err
	}
	for _, replaced := range history {
		content := []byte("no row")
		if replaced.Row != nil {
			if content, err = rows.EncodeTeam(replaced.Row); err != nil {
				return err
			}
		}
		fmt.Printf("version %d, replaced by %s at %s: %s\n", replaced.Version, replaced.By, replaced.At.Format(time.RFC3339), content)
	}
	return nil
}

func listBudgets(ctx context.Context, command *cli.Command) error {
	budgets, err := newOperator(command).Budgets(ctx)
	if err != nil {
		return err
	}
	table := newTableWriter()
	fmt.Fprintln(table, "budget\tprepaid\tleft\tspent\theld\tstranded")
	for _, budget := range budgets {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\n", budget.Budget, budget.Prepaid, budget.Left, budget.Spent, budget.Held, budget.Stranded)
	}
	return table.Flush()
}

func topUp(ctx context.Context, command *cli.Command) error {
	name, err := argument(command)
	if err != nil {
		return err
	}
	token := command.String("token")
	if token == "" {
		token = uuid.NewString()
	}
	tokens := core.Tokens(command.Int64("tokens"))
	if err := newOperator(command).TopUp(ctx, core.BudgetID(name), tokens, token, command.String("by")); err != nil {
		return fmt.Errorf("repeat the command with --token %s, so that the payment counts only once: %w", token, err)
	}
	fmt.Printf("added %d tokens to %s under token %s\n", tokens, name, token)
	return nil
}

func release(ctx context.Context, command *cli.Command) error {
	process := core.HostRef{Host: core.HostID(command.String("host")), Incarnation: core.Incarnation(command.Uint64("incarnation"))}
	returned, err := newOperator(command).Release(ctx, process, command.String("by"))
	if err != nil {
		return err
	}
	fmt.Printf("returned %d tokens held by %s\n", returned, process)
	return nil
}
