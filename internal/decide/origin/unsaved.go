package origin

import (
	"slices"
	"time"
)

const (
	// maxUnsaved bounds the records of a bucket that wait to be written.
	maxUnsaved = 10_000
	// saveRetryDelay is the time from a failed write of a bucket to the next one. The
	// number of buckets, and with it that of writes while the store is away, does not
	// grow with the fleet.
	saveRetryDelay = 250 * time.Millisecond
)

// Unsaved are the records that a host has to write to the store, by bucket. The records
// of a failed write wait for the next one until they expire. From a failed write to one
// that succeeds, a bucket has one write at a time.
type Unsaved struct{ buckets map[string]*unsavedBucket }

type unsavedBucket struct {
	// records wait to be written, the oldest first.
	records []TimedRecord
	// writing is the number of writes in flight.
	writing int
	// retryAt is the earliest time of the next write, zero if the last one succeeded.
	retryAt time.Time
}

// Batch has the records of one write of a bucket.
type Batch struct {
	Bucket  string
	Records []TimedRecord
}

// NewUnsaved returns an empty set of records.
func NewUnsaved() *Unsaved { return &Unsaved{buckets: make(map[string]*unsavedBucket)} }

func (u *Unsaved) of(bucket string) *unsavedBucket {
	known, found := u.buckets[bucket]
	if !found {
		known = &unsavedBucket{}
		u.buckets[bucket] = known
	}
	return known
}

// Add adds a record that is not older than those before it.
func (u *Unsaved) Add(record Record, now time.Time) {
	bucket := u.of(Bucket(record.Attempt))
	bucket.records = append(bucket.records, TimedRecord{record, now})
	bucket.bound()
}

// Restore adds records, the oldest first, that may have been written before, as after a
// return of the store to an older copy. Those that already wait are not added again.
func (u *Unsaved) Restore(records []TimedRecord) {
	byBucket := make(map[string][]TimedRecord)
	for _, record := range records {
		bucket := Bucket(record.Attempt)
		byBucket[bucket] = append(byBucket[bucket], record)
	}
	for name, restored := range byBucket {
		u.of(name).merge(restored)
	}
}

// Expire drops records of streams that are no longer resumed.
func (u *Unsaved) Expire(now time.Time) {
	for name, bucket := range u.buckets {
		for len(bucket.records) > 0 && now.Sub(bucket.records[0].At) > Retention {
			bucket.records = bucket.records[1:]
		}
		if len(bucket.records) == 0 && bucket.writing == 0 {
			delete(u.buckets, name)
		}
	}
}

// Take returns the records of each bucket that may be written now, the oldest first. fit
// tells how many of some records one write has room for; a record that alone has no room
// is dropped, as it would keep the others from being written. Each batch is answered by
// Written.
func (u *Unsaved) Take(fit func([]TimedRecord) int, now time.Time) []Batch {
	var batches []Batch
	for name, bucket := range u.buckets {
		failing := !bucket.retryAt.IsZero()
		if failing && (bucket.writing > 0 || now.Before(bucket.retryAt)) {
			continue
		}
		if records := bucket.take(fit); len(records) > 0 {
			batches = append(batches, Batch{name, records})
			bucket.writing++
		}
	}
	return batches
}

func (b *unsavedBucket) take(fit func([]TimedRecord) int) []TimedRecord {
	for len(b.records) > 0 {
		if count := fit(b.records); count > 0 {
			taken := slices.Clone(b.records[:count])
			b.records = b.records[count:]
			return taken
		}
		b.records = b.records[1:]
	}
	return nil
}

// Written notes the outcome of the write of a batch. Its records wait again if it has
// failed or its outcome is unknown: that a record is written twice does no harm.
func (u *Unsaved) Written(batch Batch, failed bool, now time.Time) {
	bucket := u.of(batch.Bucket)
	bucket.writing--
	if !failed {
		bucket.retryAt = time.Time{}
		return
	}
	bucket.retryAt = now.Add(saveRetryDelay)
	bucket.merge(batch.Records)
}

// Waiting reports whether records wait to be written.
func (u *Unsaved) Waiting() bool {
	for _, bucket := range u.buckets {
		if len(bucket.records) > 0 {
			return true
		}
	}
	return false
}

// merge adds records in order of their time, without those that wait already.
func (b *unsavedBucket) merge(records []TimedRecord) {
	waiting := make(map[string]bool, len(b.records))
	for _, record := range b.records {
		waiting[record.Attempt] = true
	}
	merged := slices.Clone(b.records)
	for _, record := range records {
		if !waiting[record.Attempt] {
			merged = append(merged, record)
		}
	}
	slices.SortStableFunc(merged, func(x, y TimedRecord) int { return x.At.Compare(y.At) })
	b.records = merged
	b.bound()
}

// bound drops the oldest records beyond the maximum.
func (b *unsavedBucket) bound() { b.records = b.records[max(len(b.records)-maxUnsaved, 0):] }
