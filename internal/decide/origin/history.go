package origin

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
)

// historyRetention is how long a version that has left is kept in a service's
// history.
const historyRetention = 5 * time.Minute

// History tells which software versions have served a service lately. It is kept in
// the store, so that a host can tell after a kill of all hosts whether a stream whose
// record is lost can only have begun at one version.
type History struct {
	// Gone has, for each version, a time of the store's clock in milliseconds at which
	// its last upstream had left, 0 while it serves.
	Gone map[string]int64 `json:"gone"`
}

// DecodeHistory decodes the history of a service.
func DecodeHistory(raw []byte) (History, error) {
	var history History
	if err := json.Unmarshal(raw, &history); err != nil {
		return History{}, fmt.Errorf("decode the history of software versions; resumed streams of unknown origin are refused until it is repaired: %w", err)
	}
	return history, nil
}

// Encode encodes the history.
func (h History) Encode() ([]byte, error) {
	raw, err := json.Marshal(h)
	if err != nil {
		return nil, fmt.Errorf("encode the history of software versions: %w", err)
	}
	return raw, nil
}

// Observe returns the history with the versions that are listed at a time of the
// store's clock, and whether that differs.
func (h History) Observe(listed []string, clock time.Duration) (History, bool) {
	next := History{Gone: maps.Clone(h.Gone)}
	if next.Gone == nil {
		next.Gone = make(map[string]int64)
	}
	for _, software := range listed {
		next.Gone[software] = 0
	}
	for software, gone := range next.Gone {
		switch {
		case slices.Contains(listed, software):
		case gone == 0:
			next.Gone[software] = max(clock.Milliseconds(), 1)
		case clock.Milliseconds()-gone > historyRetention.Milliseconds():
			delete(next.Gone, software)
		}
	}
	return next, h.Gone == nil || !maps.Equal(h.Gone, next.Gone)
}

// Only returns the version at which a stream must have begun that is at most as old
// as age, at a time of the store's clock: the only one that has served since, of
// those in the history and those that are listed now. It reports false if there are
// several, or if the history is not known.
func (h History) Only(listed []string, age, clock time.Duration) (string, bool) {
	possible := h.possible(listed, age, clock)
	if h.Gone == nil || len(possible) != 1 {
		return "", false
	}
	return possible[0], true
}

// Several reports whether a stream that is at most as old as age can have begun at
// several versions.
func (h History) Several(listed []string, age, clock time.Duration) bool {
	return len(h.possible(listed, age, clock)) > 1
}

func (h History) possible(listed []string, age, clock time.Duration) []string {
	possible := slices.Clone(listed)
	for software, gone := range h.Gone {
		if gone == 0 || gone >= (clock-age).Milliseconds() {
			possible = append(possible, software)
		}
	}
	slices.Sort(possible)
	return slices.Compact(possible)
}
