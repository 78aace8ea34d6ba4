package operate

import (
	"context"
	"fmt"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/teamtable"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/rows"
)

// ArgumentError reports an invalid argument and how to correct it.
type ArgumentError struct {
	// Reason has the form "argument: what is wrong; remedy".
	Reason string
}

// Error returns the reason.
func (e *ArgumentError) Error() string {
	return e.Reason
}

func badArgument(format string, args ...any) error {
	return &ArgumentError{Reason: fmt.Sprintf(format, args...)}
}

// Services returns all services ordered by name. Rows that this binary can't
// decode are left out and counted as unreadable.
func (o *Operator) Services(ctx context.Context) (services []core.ServiceRow, unreadable int, err error) {
	found, err := o.config.Table.List(ctx, rows.ServicePrefix)
	if err != nil {
		return nil, 0, fmt.Errorf("list the services: %w", err)
	}
	for _, row := range found {
		name, _ := rows.ParseServiceKey(row.Key)
		service, err := rows.DecodeService(name, row.Version, row.Value)
		if err != nil {
			unreadable++
			continue
		}
		services = append(services, *service)
	}
	return services, unreadable, nil
}

// SaveService writes a service's row if it still has the expected version; 0
// means that there is no such row. A nil row deletes it.
func (o *Operator) SaveService(ctx context.Context, service core.ServiceName, expected int64, row *core.ServiceRow) (Saved, error) {
	if err := teamtable.ValidateName("service", string(service)); err != nil {
		return Saved{}, badArgument("%v", err)
	}
	write := platform.Write{Key: rows.ServiceKey(service), Delete: row == nil}
	if row != nil {
		if err := row.Validate(); err != nil {
			return Saved{}, badArgument("%v", err)
		}
		var err error
		if write.Value, err = rows.EncodeService(row); err != nil {
			return Saved{}, err
		}
	}
	revision, err := o.commitWrites(ctx, platform.Condition{Key: write.Key, Version: expected}, write)
	if err != nil {
		return Saved{}, fmt.Errorf("save service %s: %w", service, err)
	}
	return o.savedVersion(ctx, write.Key, expected, revision), nil
}

// Hosts returns the hosts of the fleet as this host knows them, itself first, or
// nil if the Operator was created without Peers.
func (o *Operator) Hosts() []core.Peer {
	if o.config.Peers == nil {
		return nil
	}
	view := o.config.Peers.Peers()
	return append([]core.Peer{view.Self}, view.Peers...)
}

// Budgets returns all budgets ordered by name. Like TopUp and Release it returns
// ErrNoBudgets if the Operator was created without Budgets.
func (o *Operator) Budgets(ctx context.Context) ([]Budget, error) {
	if o.config.Budgets == nil {
		return nil, ErrNoBudgets
	}
	return o.config.Budgets.List(ctx)
}

// TopUp adds tokens to a budget. The token identifies the payment: a repeated
// one adds nothing.
func (o *Operator) TopUp(ctx context.Context, budget core.BudgetID, amount core.Tokens, token, by string) error {
	switch {
	case o.config.Budgets == nil:
		return ErrNoBudgets
	case amount <= 0:
		return badArgument("amount: is %d; set it to 1 token or more", amount)
	case token == "":
		return badArgument("token: must not be empty; give each top-up a token of its own, and repeat it only to retry")
	}
	if err := teamtable.ValidateName("budget", string(budget)); err != nil {
		return badArgument("%v", err)
	}
	return o.config.Budgets.TopUp(ctx, budget, amount, token, by)
}

// Release returns the tokens in the shares of a process to their budgets, and
// reports how many they were. The operator must know that the process is
// terminated.
func (o *Operator) Release(ctx context.Context, process core.HostRef, by string) (core.Tokens, error) {
	switch {
	case o.config.Budgets == nil:
		return 0, ErrNoBudgets
	case process.Host == "":
		return 0, badArgument("host: must not be empty; name the host whose process is terminated")
	case process.Incarnation == 0:
		return 0, badArgument("incarnation: must not be 0; name the process that is terminated")
	}
	return o.config.Budgets.Release(ctx, process, by)
}
