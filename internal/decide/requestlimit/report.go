package requestlimit

import (
	"math"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

const (
	// changeSends and renewalSends are how many times a host tells its peers of a
	// change, which all but about 1 host in 400 then learn, and of a limit that is
	// named again.
	changeSends  = 6
	renewalSends = 4
	// retellInterval is the time between two renewals of a limit that is named
	// again and again. Several fit into freshFor.
	retellInterval = 2 * time.Second
	// maxReportEntries bounds the limits in one report. An entry takes about 40
	// bytes.
	maxReportEntries = 24
	// ownAnswersFor is how long this host's own answers count for more than what
	// peers report.
	ownAnswersFor = 2 * time.Second
	// maxReportAge is the greatest age of a limit that is accepted from a peer.
	maxReportAge = 10 * time.Second
	// forgetAfter is how long the end of a limit is remembered, so that older
	// reports do not bring the limit back.
	forgetAfter = 2 * maxReportAge
)

// Entry tells a peer what an upstream named last.
type Entry struct {
	Upstream core.UpstreamID
	// PerSecond is the limit, negative if the upstream names none any more.
	PerSecond float64
	// Age is the time since the answer that named it.
	Age time.Duration
}

// Report returns what to tell a peer: changes and renewals that were not told
// often enough. Its size is bounded by maxReportEntries.
func (t *Table) Report(now time.Time) []Entry {
	var entries []Entry
	for id, known := range t.limits {
		if len(entries) == maxReportEntries {
			break
		}
		if known.sendsLeft > 0 {
			known.sendsLeft--
			entries = append(entries, Entry{Upstream: id, PerSecond: known.perSecond, Age: now.Sub(known.namedAt)})
		}
	}
	return entries
}

// Merge adds what a peer reports. zoneOf returns the zone of an upstream, and false
// if it is not listed; its entry is then ignored, as are impossible values and
// entries beyond maxReportEntries. It returns what changed.
func (t *Table) Merge(entries []Entry, zoneOf func(core.UpstreamID) (core.ZoneName, bool), now time.Time) []Change {
	var changes []Change
	for _, entry := range entries[:min(len(entries), maxReportEntries)] {
		if math.IsNaN(entry.PerSecond) || math.IsInf(entry.PerSecond, 0) || entry.Age < 0 || entry.Age > maxReportAge {
			continue
		}
		zone, listed := zoneOf(entry.Upstream)
		known, found := t.limits[entry.Upstream]
		at := now.Add(-entry.Age)
		switch {
		case !listed || (!found && entry.PerSecond < 0):
			continue
		case !found:
			if known = t.add(entry.Upstream, zone, now); known == nil {
				continue
			}
		case !at.After(known.namedAt) || now.Sub(known.heardAt) < ownAnswersFor:
			continue
		}
		if change, changed := known.update(entry.Upstream, max(entry.PerSecond, noLimit), at); changed {
			changes = append(changes, change)
		}
	}
	return changes
}
