package host

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/decide/endings"
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
		h.log.Info("how the requests and connections of callers have ended", endingFields(totals)...)
	}
	h.accounts.Stop()
}

func endingFields(totals endings.Totals) []zap.Field {
	ends, closes := make(map[string]int64), make(map[string]int64)
	for ending, count := range totals.Ends {
		name := string(ending.End)
		if ending.Cause != "" {
			name += "/" + string(ending.Cause)
		}
		ends[name] = count
	}
	for closing, count := range totals.Closes {
		name := string(closing.Cause)
		if closing.UnreadBytes {
			name += "/unread"
		}
		closes[name] = count
	}
	return []zap.Field{
		zap.String("event", "endings"),
		zap.Int64("requests_begun", totals.RequestsBegun), zap.Int64("requests_in_flight", totals.RequestsInFlight),
		zap.Any("ends", ends),
		zap.Int64("connections_accepted", totals.ConnectionsAccepted), zap.Int64("connections_open", totals.ConnectionsOpen),
		zap.Any("closes", closes), zap.Int64("unmatched", totals.Unmatched),
	}
}

// Endings returns the account of callers' requests and connections. The error is
// task.ErrStopped, or that of ctx.
func (h *Host) Endings(ctx context.Context) (endings.Totals, error) {
	return h.tasks.endings.Totals(ctx)
}
