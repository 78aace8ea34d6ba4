package endings

import (
	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/decide/endings"
)

// Fields returns the fields of the event endings: the counts, with ends named END/CAUSE,
// and closes named CAUSE, or CAUSE/unread where bytes were thrown away.
func Fields(totals endings.Totals) []zap.Field {
	ends, closes := make(map[string]int64), make(map[string]int64)
	for ending, count := range totals.Ends {
		name := string(ending.End)
		if ending.Cause != "" {
			name += "/" + string(ending.Cause)
		}
		ends[name] += count
	}
	for closing, count := range totals.Closes {
		name := string(closing.Cause)
		if closing.UnreadBytes {
			name += "/unread"
		}
		closes[name] += count
	}
	return []zap.Field{
		zap.String("event", "endings"),
		zap.Int64("requests_begun", totals.RequestsBegun), zap.Int64("requests_in_flight", totals.RequestsInFlight), zap.Any("ends", ends),
		zap.Int64("connections_accepted", totals.ConnectionsAccepted), zap.Int64("connections_open", totals.ConnectionsOpen),
		zap.Any("closes", closes), zap.Int64("unmatched", totals.Unmatched),
	}
}
