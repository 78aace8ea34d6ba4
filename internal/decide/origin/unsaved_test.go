package origin

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/allowance"
)

// inBucket returns attempts of one bucket.
func inBucket(bucket string, count int) []string {
	var attempts []string
	for i := 0; len(attempts) < count; i++ {
		if attempt := fmt.Sprintf("attempt-%d", i); Bucket(attempt) == bucket {
			attempts = append(attempts, attempt)
		}
	}
	return attempts
}

// upTo has room for a number of records.
func upTo(limit int) func([]TimedRecord) int {
	return func(records []TimedRecord) int { return min(limit, len(records)) }
}

// Guards against a record without room in a write, which keeps all others of its bucket
// from being written.
func TestARecordWithoutRoomIsDropped(t *testing.T) {
	Convey("Given a record that fits into no write, the others are taken", t, func() {
		attempts := inBucket("3", 3)
		u := NewUnsaved()
		for _, attempt := range attempts {
			u.Add(Record{attempt, "v1"}, time.Unix(1000, 0))
		}
		batches := u.Take(func(records []TimedRecord) int {
			if records[0].Attempt == attempts[0] {
				return 0
			}
			return len(records)
		}, time.Unix(1000, 0))
		So(len(batches), ShouldEqual, 1)
		So(len(batches[0].Records), ShouldEqual, 2)
		So(u.Waiting(), ShouldBeFalse)
	})
}

// Guards against records that a failed write loses, and against writes without number
// while the store is away.
func TestRecordsOfAFailedWriteAreTakenAgain(t *testing.T) {
	start := time.Unix(1000, 0)
	Convey("Given a bucket whose write fails", t, func() {
		attempts := inBucket("3", 4)
		u := NewUnsaved()
		u.Add(Record{attempts[0], "v1"}, start)
		u.Add(Record{attempts[1], "v2"}, start.Add(time.Second))
		batches := u.Take(upTo(10), start.Add(time.Second))
		So(len(batches), ShouldEqual, 1)
		So(u.Waiting(), ShouldBeFalse)
		u.Add(Record{attempts[2], "v1"}, start.Add(2*time.Second))
		failedAt := start.Add(2 * time.Second)
		u.Written(batches[0], true, failedAt)
		So(u.Waiting(), ShouldBeTrue)
		Convey("its records wait for the delay, and are then taken with later ones in order", func() {
			So(u.Take(upTo(10), failedAt.Add(saveRetryDelay-time.Millisecond)), ShouldBeEmpty)
			again := u.Take(upTo(10), failedAt.Add(saveRetryDelay))
			So(len(again), ShouldEqual, 1)
			So(again[0].Records, ShouldResemble, []TimedRecord{
				{Record{attempts[0], "v1"}, start}, {Record{attempts[1], "v2"}, start.Add(time.Second)}, {Record{attempts[2], "v1"}, failedAt},
			})
			Convey("one write at a time, until one has succeeded", func() {
				later := failedAt.Add(time.Second)
				u.Add(Record{attempts[3], "v2"}, later)
				So(u.Take(upTo(10), later), ShouldBeEmpty)
				u.Written(again[0], false, later)
				So(len(u.Take(upTo(10), later)), ShouldEqual, 1)
				So(u.Waiting(), ShouldBeFalse)
			})
		})
		Convey("they end with their time", func() {
			u.Expire(start.Add(Retention + 500*time.Millisecond))
			taken := u.Take(upTo(10), start.Add(Retention+500*time.Millisecond))
			So(len(taken[0].Records), ShouldEqual, 2)
			u.Expire(start.Add(time.Hour))
			So(u.Waiting(), ShouldBeFalse)
		})
		Convey("records that wait are not restored twice", func() {
			u.Restore([]TimedRecord{{Record{attempts[0], "v1"}, start}, {Record{attempts[3], "v2"}, start.Add(time.Millisecond)}})
			taken := u.Take(upTo(10), failedAt.Add(saveRetryDelay))
			So(len(taken[0].Records), ShouldEqual, 4)
			So(taken[0].Records[1].Attempt, ShouldEqual, attempts[3])
		})
	})
	Convey("Given an outage, a bucket keeps a bounded number of records, the newest", t, func() {
		u := NewUnsaved()
		attempts := inBucket("3", maxUnsaved+10)
		for i, attempt := range attempts {
			now := start.Add(time.Duration(i) * time.Millisecond)
			u.Add(Record{attempt, "v1"}, now)
			for _, batch := range u.Take(upTo(2500), now) {
				So(len(batch.Records), ShouldBeLessThanOrEqualTo, 2500)
				u.Written(batch, true, now)
			}
		}
		var taken []TimedRecord
		for now := start.Add(time.Minute); u.Waiting(); now = now.Add(time.Second) {
			for _, batch := range u.Take(upTo(2500), now) {
				taken = append(taken, batch.Records...)
				u.Written(batch, false, now)
			}
		}
		So(len(taken), ShouldEqual, maxUnsaved)
		So(taken[len(taken)-1].Attempt, ShouldEqual, attempts[len(attempts)-1])
	})
	Convey("An outage costs each bucket at most one write in the delay", t, func() {
		u := NewUnsaved()
		writes := 0
		for i := range 10_000 {
			now := start.Add(time.Duration(i) * time.Millisecond)
			u.Add(Record{fmt.Sprintf("attempt-%d", i), "v1"}, now)
			for _, batch := range u.Take(upTo(2500), now) {
				writes++
				u.Written(batch, true, now)
			}
		}
		So(writes, ShouldBeLessThanOrEqualTo, bucketCount*int(10*time.Second/saveRetryDelay))
	})
}

// Guards against buckets that no host writes, or several do.
func TestOneHostWritesEachBucket(t *testing.T) {
	Convey("Given a fleet, each bucket is written by its first registrar alone", t, func() {
		var members []allowance.Member
		for i := range 330 {
			members = append(members, allowance.Member{Host: core.HostID(fmt.Sprintf("host-%d", i)), Zone: core.ZoneName(fmt.Sprintf("zone-%d", i%23))})
		}
		writers := make(map[string]core.HostID)
		for _, member := range members {
			for bucket := range Writes(member.Host, members) {
				_, found := writers[bucket]
				So(found, ShouldBeFalse)
				writers[bucket] = member.Host
			}
		}
		So(len(writers), ShouldEqual, bucketCount)
		for i := range 100 {
			attempt := fmt.Sprint(i)
			So(writers[Bucket(attempt)], ShouldEqual, Registrars(attempt, members)[0].Host)
		}
	})
}
