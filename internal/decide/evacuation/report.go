package evacuation

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Report is what a host tells its peers of evacuations. The zero report tells nothing.
type Report struct {
	// Revision is the highest revision at which the store was read.
	Revision core.Revision
	// Zones are the zones that the store names as evacuated.
	Zones []ReportedZone
	// Kept are the evacuations that the store lacks since it came back from a copy.
	Kept []ReportedSpan
	// Restored are the evacuations that have ended lately.
	Restored []ReportedSpan
}

// ReportedZone is a zone that is evacuated.
type ReportedZone struct {
	Zone core.ZoneName
	// Revision is that of the zone's row.
	Revision core.Revision
}

// ReportedSpan is a zone with the time for which its evacuation is still kept, or since it
// has ended. Clocks of hosts differ, so that points in time can't be sent.
type ReportedSpan struct {
	Zone core.ZoneName
	Span time.Duration
}

// Report returns what peers are told.
func (t *Table) Report(now time.Time) Report {
	report := Report{Revision: t.read}
	for _, zone := range t.current {
		if revision, stored := t.rows[zone]; stored {
			report.Zones = append(report.Zones, ReportedZone{zone, revision})
		} else if left := t.kept[zone].Sub(now); left > 0 {
			report.Kept = append(report.Kept, ReportedSpan{zone, left})
		}
	}
	for zone, at := range t.restored {
		if age := now.Sub(at); age <= restorationRetention && !t.Evacuated(zone) {
			report.Restored = append(report.Restored, ReportedSpan{zone, age})
		}
	}
	return report
}

// Merge applies a peer's report and returns what has changed. The zones of a report that is
// not newer than what is known change nothing.
func (t *Table) Merge(report Report, now time.Time) []Change {
	if report.Revision.Newer(t.read) {
		t.advance(report.Revision, now)
		rows := make(map[core.ZoneName]core.Revision, len(report.Zones))
		for _, zone := range report.Zones {
			rows[zone.Zone] = zone.Revision
		}
		t.replace(rows, report.Revision)
	}
	if report.Revision.Era == t.read.Era {
		t.mergeKept(report.Kept, now)
	}
	changes := t.refresh(now)
	for _, restored := range report.Restored {
		if _, known := t.restored[restored.Zone]; !known && !t.Evacuated(restored.Zone) && restored.Span >= 0 && restored.Span <= restorationRetention {
			t.restored[restored.Zone] = now.Add(-restored.Span)
		}
	}
	return changes
}

// mergeKept takes over evacuations that a peer keeps after a return of the store. A host
// does so once for each return: hosts would extend them for each other otherwise, by the
// time that messages take.
func (t *Table) mergeKept(kept []ReportedSpan, now time.Time) {
	for _, zone := range kept {
		if _, known := t.kept[zone.Zone]; !known && zone.Span > 0 {
			t.kept[zone.Zone] = now.Add(min(zone.Span, ReturnGrace))
		}
	}
}
