// Package origin decides at which software a stream that a caller resumes was begun.
// Streams of two software versions do not fit together, and a caller names only its
// own attempt.
package origin

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/allowance"
	"github.com/peridotreel/peridotreel/internal/decide/rendezvous"
)

const (
	// Retention is how long the origin of a stream is remembered. It exceeds the time
	// in which callers resume a stream.
	Retention = 20 * time.Second
	// maxRecords bounds the records of a host. The oldest are dropped beyond it.
	maxRecords = 50_000
	// registrarCount is the number of hosts, each of another zone, that keep a record
	// besides the one that made it.
	registrarCount = 3
	// bucketCount is the number of groups of attempts with the same registrars. It
	// bounds the hosts that one host sends its records to.
	bucketCount = 8
)

// Record tells at which software an attempt's stream began.
type Record struct {
	Attempt  string
	Software string
}

// TimedRecord is a record with the time at which a host learned of it.
type TimedRecord struct {
	Record
	At time.Time
}

// Records are the origins that a host knows.
type Records struct {
	software map[string]string
	// order has the records in order of their time, for expiry.
	order []timedRecord
}

type timedRecord struct {
	attempt string
	at      time.Time
	// own is true if this host began the stream.
	own bool
}

// NewRecords returns an empty set of records.
func NewRecords() *Records { return &Records{software: make(map[string]string)} }

// Own returns the records of streams that this host began.
func (r *Records) Own(now time.Time) []Record {
	r.expire(now)
	var own []Record
	for _, timed := range r.order {
		if timed.own {
			own = append(own, Record{Attempt: timed.attempt, Software: r.software[timed.attempt]})
		}
	}
	return own
}

// OfBuckets returns the records of a set of buckets with their times, the oldest first.
func (r *Records) OfBuckets(buckets map[string]bool, now time.Time) []TimedRecord {
	r.expire(now)
	var records []TimedRecord
	for _, timed := range r.order {
		if buckets[Bucket(timed.attempt)] {
			records = append(records, TimedRecord{Record{Attempt: timed.attempt, Software: r.software[timed.attempt]}, timed.at})
		}
	}
	return records
}

// Add adds a record; own is true if this host began the stream. The first record of an
// attempt counts.
func (r *Records) Add(record Record, own bool, now time.Time) {
	r.expire(now)
	if _, found := r.software[record.Attempt]; found {
		return
	}
	r.software[record.Attempt] = record.Software
	r.order = append(r.order, timedRecord{record.Attempt, now, own})
}

// Find returns the software at which an attempt's stream began.
func (r *Records) Find(attempt string) (string, bool) {
	software, found := r.software[attempt]
	return software, found
}

func (r *Records) expire(now time.Time) {
	for len(r.order) > 0 && (now.Sub(r.order[0].at) > Retention || len(r.order) >= maxRecords) {
		delete(r.software, r.order[0].attempt)
		r.order = r.order[1:]
	}
}

// Bucket returns the group of attempts that share their registrars and their part of
// the store's table.
func Bucket(attempt string) string {
	return strconv.FormatUint(xxhash.Sum64String(attempt)%bucketCount, 10)
}

// Registrars returns the hosts that keep the record of an attempt, besides the one
// that made it. Hosts with the same view of the members agree.
func Registrars(attempt string, members []allowance.Member) []allowance.Member {
	return registrarsOf(Bucket(attempt), members)
}

// Writes returns the buckets whose records a host writes to the store: those of which it
// is the first registrar.
func Writes(host core.HostID, members []allowance.Member) map[string]bool {
	buckets := make(map[string]bool)
	for i := range bucketCount {
		bucket := strconv.Itoa(i)
		if registrars := registrarsOf(bucket, members); len(registrars) > 0 && registrars[0].Host == host {
			buckets[bucket] = true
		}
	}
	return buckets
}

func registrarsOf(bucket string, members []allowance.Member) []allowance.Member {
	best := make(map[core.ZoneName]allowance.Member)
	weight := func(m allowance.Member) uint64 { return rendezvous.Weight(bucket, string(m.Host)) }
	for _, member := range members {
		if current, found := best[member.Zone]; !found || weight(member) > weight(current) {
			best[member.Zone] = member
		}
	}
	registrars := make([]allowance.Member, 0, len(best))
	for _, member := range best {
		registrars = append(registrars, member)
	}
	slices.SortFunc(registrars, func(a, b allowance.Member) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.Host, b.Host))
	})
	return registrars[:min(len(registrars), registrarCount)]
}
