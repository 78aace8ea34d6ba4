package holds

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/quarantine"
)

// savedCrash is a crash in the row.
type savedCrash struct {
	Part     string          `json:"p"`
	Depth    int             `json:"d"`
	Own      bool            `json:"own,omitempty"`
	Upstream core.UpstreamID `json:"u"`
	// At is the time of the crash by the store's clock, in milliseconds.
	At       int64       `json:"t"`
	Origin   core.HostID `json:"o"`
	SameZone bool        `json:"z,omitempty"`
	Repeat   bool        `json:"r,omitempty"`
}

// encodeRow encodes crashes whose ages are those at a time of the store's clock.
func encodeRow(crashes []quarantine.CrashReport, clock time.Duration) ([]byte, error) {
	saved := make([]savedCrash, len(crashes))
	for i, c := range crashes {
		saved[i] = savedCrash{c.Part, c.Depth, c.Own, c.Upstream, (clock - c.Age).Milliseconds(), c.Origin, c.SameZone, c.Repeat}
	}
	raw, err := json.Marshal(saved)
	if err != nil {
		return nil, fmt.Errorf("encode the crashes of upstreams: %w", err)
	}
	return raw, nil
}

// decodeRow decodes crashes that were read at a time of the store's clock. Crashes in
// the future, as of a clock that was set back, count as new.
func decodeRow(raw []byte, clock time.Duration) ([]quarantine.CrashReport, error) {
	var saved []savedCrash
	if err := json.Unmarshal(raw, &saved); err != nil {
		return nil, fmt.Errorf("decode the crashes of upstreams; the row is replaced with the next crash: %w", err)
	}
	crashes := make([]quarantine.CrashReport, len(saved))
	for i, c := range saved {
		age := max(clock-time.Duration(c.At)*time.Millisecond, 0)
		crashes[i] = quarantine.CrashReport{Part: c.Part, Depth: c.Depth, Own: c.Own, Upstream: c.Upstream, Age: age, Origin: c.Origin, SameZone: c.SameZone, Repeat: c.Repeat}
	}
	return crashes, nil
}
