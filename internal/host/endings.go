package host

import (
	"context"
	"time"

	"github.com/peridotreel/peridotreel/internal/decide/endings"
	account "github.com/peridotreel/peridotreel/internal/tasks/endings"
)

// lastClosesTimeout limits the wait for the ends of callers' connections that the host has
// closed. It passes only if a handler goes on without its connection.
const lastClosesTimeout = time.Second

// stopAccounts writes the account of endings to the log once all connections have ended,
// and stops it.
func (h *Host) stopAccounts() {
	ctx, cancel := context.WithTimeout(context.Background(), lastClosesTimeout)
	defer cancel()
	// What has not ended is in the account as in flight or open.
	_ = h.tasks.connections.AwaitClosed(ctx)
	// A host that was not started has no account.
	ctx, cancelTotals := context.WithTimeout(context.Background(), lastClosesTimeout)
	defer cancelTotals()
	if totals, err := h.tasks.endings.Totals(ctx); err == nil {
		h.log.Info("how the requests and connections of callers have ended", account.Fields(totals)...)
	}
	h.accounts.Stop()
}

// Endings returns the account of callers' requests and connections. The error is
// task.ErrStopped, or that of ctx.
func (h *Host) Endings(ctx context.Context) (endings.Totals, error) {
	return h.tasks.endings.Totals(ctx)
}
