// Package hosttable keeps the list of the fleet's hosts, across returns of the
// store to an older copy.
package hosttable

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// ConfirmationGrace is how long after a return of the store the hosts have to write
// their rows again. It exceeds the delay with which they do so and one retry.
const ConfirmationGrace = 4 * time.Second

// Entry is a host's row.
type Entry struct {
	Address string
	Zone    core.ZoneName
	// Leaving is true once the host shuts down. It still counts as a host, since
	// it serves the requests that it has accepted.
	Leaving bool
	// Era is the era of the store in which the row was written, nil if its writer
	// does not name it.
	Era *int64
}

// Row is a change of the table.
type Row struct {
	Host    core.HostID
	Entry   Entry
	Deleted bool
}

// Table is the list of hosts. The zero value is not usable; see New.
type Table struct {
	hosts map[core.HostID]Entry
	// era is that of the latest rows, and returnedAt when a return of the store to
	// it was noticed, zero if it did not return.
	era        int64
	known      bool
	returnedAt time.Time
}

// New returns an empty table.
func New() *Table { return &Table{hosts: make(map[core.HostID]Entry)} }

// Apply applies changed rows, or all rows if full is true, and reports whether the
// store has a later era than before. In a full read of the same era, absent hosts
// have left; after a return of the store, the copy may lack them.
func (t *Table) Apply(rows []Row, full bool, era int64, now time.Time) bool {
	returned := t.known && era > t.era
	if full && !returned {
		clear(t.hosts)
	}
	if returned {
		t.returnedAt = now
	}
	t.era, t.known = max(era, t.era), true
	for _, row := range rows {
		if row.Deleted {
			delete(t.hosts, row.Host)
			continue
		}
		t.hosts[row.Host] = row.Entry
	}
	return returned
}

// Era returns the era of the latest rows, and false if none have been read.
func (t *Table) Era() (int64, bool) { return t.era, t.known }

// Confirming returns when the grace after the latest return of the store ends, zero
// if the store has not returned.
func (t *Table) Confirming() time.Time {
	if t.returnedAt.IsZero() {
		return time.Time{}
	}
	return t.returnedAt.Add(ConfirmationGrace)
}

// Count returns the number of hosts. It includes those that have not confirmed
// their row: one that is cut off from the store goes on serving.
func (t *Table) Count() int { return len(t.hosts) }

// Entry returns a host's row.
func (t *Table) Entry(host core.HostID) (Entry, bool) {
	entry, found := t.hosts[host]
	return entry, found
}

// Others returns the addresses of all hosts but one.
func (t *Table) Others(host core.HostID) []string {
	addresses := make([]string, 0, len(t.hosts))
	for other, entry := range t.hosts {
		if other != host {
			addresses = append(addresses, entry.Address)
		}
	}
	return addresses
}

// Active returns the hosts that are not leaving. Those that left before a return of
// the store may be listed again by the copy, so that rows of earlier eras count
// only until the grace has ended.
func (t *Table) Active(now time.Time) map[core.HostID]Entry {
	active := make(map[core.HostID]Entry, len(t.hosts))
	graceEnded := !t.returnedAt.IsZero() && !now.Before(t.Confirming())
	for host, entry := range t.hosts {
		if entry.Leaving || (graceEnded && entry.Era != nil && *entry.Era < t.era) {
			continue
		}
		active[host] = entry
	}
	return active
}
