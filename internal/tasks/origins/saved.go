package origins

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/decide/origin"
	"github.com/peridotreel/peridotreel/internal/rowstore"
	"github.com/peridotreel/peridotreel/internal/task"
)

const (
	// SavedTable has the records of streams that survive a kill of all hosts, in a part
	// for each bucket of attempts.
	SavedTable = "origins"
	// maxRowBytes is below the 64 KB that the store takes in a row. It has room for some
	// 2,700 records of 16-digit attempts.
	maxRowBytes = 60_000
	// savedMaxAge is how long rows that were read are not read again.
	savedMaxAge = time.Second
)

// savedRecords is the value of a row: the attempts by the software that began them.
type savedRecords map[string][]string

// bucketReads is the state of the reads of saved records, by bucket.
type bucketReads struct {
	readAt map[string]time.Time
	// reading has a channel for each read in progress, which is closed at its end.
	reading map[string]chan struct{}
}

// readSaved asks for the saved records of a bucket to be read.
type readSaved struct {
	bucket string
	reply  chan<- chan struct{}
}

// savedWritten is the outcome of a write of records.
type savedWritten struct {
	batch origin.Batch
	err   error
}

type savedRead struct {
	bucket string
	rows   []rowstore.Row
	err    error
}

// save writes the records that this host has to save, if streams of several versions
// may be resumed. While only one serves, none is needed to tell it.
func (o *Origins) save(ctx context.Context, now time.Time) {
	o.unsaved.Expire(now)
	if !o.severalVersions() {
		return
	}
	slot := strconv.FormatInt(now.UnixMilli()/origin.SaveSlot.Milliseconds()%origin.SaveSlots, 10)
	for _, batch := range o.unsaved.Take(fitRow, now) {
		value := make(savedRecords)
		for _, record := range batch.Records {
			value[record.Software] = append(value[record.Software], record.Attempt)
		}
		raw, err := json.Marshal(value)
		if err != nil {
			o.config.Log.Error("could not encode records of streams", zap.String("event", "origins_save_failed"), zap.Error(err))
			o.unsaved.Written(batch, false, now) // it would fail again
			continue
		}
		row := rowstore.Row{Table: SavedTable, Part: batch.Bucket, Key: string(o.config.Host) + "." + slot, Value: raw}
		go o.writeSaved(ctx, row, batch)
	}
	if o.unsaved.Waiting() {
		o.saveSoon(now)
	}
}

// fitRow returns how many of some records, from the first, a row has room for.
func fitRow(records []origin.TimedRecord) int {
	size := 0
	counted := make(map[string]bool)
	for i, record := range records {
		size += encodedSize(record.Attempt)
		if !counted[record.Software] {
			counted[record.Software] = true
			size += encodedSize(record.Software)
		}
		if size > maxRowBytes {
			return i
		}
	}
	return len(records)
}

// encodedSize returns the bytes of a text in a row, with the characters around it.
func encodedSize(text string) int {
	const around = 4
	raw, err := json.Marshal(text)
	if err != nil {
		return maxRowBytes + 1
	}
	return len(raw) + around
}

// severalVersions reports whether several versions serve a service, or have served it
// while callers may still resume their streams.
func (o *Origins) severalVersions() bool {
	for _, known := range o.services {
		if known.history.Several(known.listed, origin.Retention, known.clock+o.config.Now().Sub(known.readAt)) {
			return true
		}
	}
	return false
}

// writeSaved writes a row and sends the task its outcome. It does not access the task's
// state.
func (o *Origins) writeSaved(ctx context.Context, row rowstore.Row, batch origin.Batch) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := o.config.Store.Commit(callCtx, rowstore.Commit{Puts: []rowstore.Row{row}})
	_ = o.inbox.Send(ctx, savedWritten{batch, err})
}

func (o *Origins) handleSavedWritten(m savedWritten, now time.Time) {
	if m.err != nil {
		o.config.Log.Debug("records of streams were not saved; they are written again", zap.String("event", "origins_save_failed"),
			zap.String("bucket", m.batch.Bucket), zap.Int("records", len(m.batch.Records)), zap.Error(m.err))
	}
	o.unsaved.Written(m.batch, m.err != nil, now)
	if o.unsaved.Waiting() {
		o.saveSoon(now)
	}
}

// saveAgain queues the records of buckets that other hosts or an earlier store had: this
// host has become the one that writes them, or the store has come back from an older copy.
func (o *Origins) saveAgain(buckets map[string]bool, now time.Time) {
	if len(buckets) == 0 {
		return
	}
	o.unsaved.Restore(o.records.OfBuckets(buckets, now))
	o.saveSoon(now)
}

// startRead returns a channel that is closed once the saved records of a bucket are
// known, nil if they have just been read.
func (o *Origins) startRead(ctx context.Context, bucket string, now time.Time) chan struct{} {
	if reading, found := o.saved.reading[bucket]; found {
		return reading
	}
	if now.Sub(o.saved.readAt[bucket]) < savedMaxAge {
		return nil
	}
	reading := make(chan struct{})
	o.saved.reading[bucket] = reading
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		rows, _, err := o.config.Store.Get(callCtx, SavedTable, bucket)
		_ = o.inbox.Send(ctx, savedRead{bucket, rows, err})
	}()
	return reading
}

func (o *Origins) handleSavedRead(m savedRead, now time.Time) {
	if m.err == nil {
		o.saved.readAt[m.bucket] = now
	}
	for _, row := range m.rows {
		var value savedRecords
		if err := json.Unmarshal(row.Value, &value); err != nil {
			o.config.Log.Warn("ignored malformed records of streams", zap.String("event", "origins_malformed"), zap.String("key", row.Key), zap.Error(err))
			continue
		}
		for software, attempts := range value {
			for _, attempt := range attempts {
				o.records.Add(origin.Record{Attempt: attempt, Software: software}, false, now)
			}
		}
	}
	close(o.saved.reading[m.bucket])
	delete(o.saved.reading, m.bucket)
}

// findSaved looks for the record of an attempt in the store.
func (o *Origins) findSaved(ctx context.Context, attempt string) (string, bool) {
	reading, err := task.Ask(ctx, o.inbox, func(reply chan<- chan struct{}) any { return readSaved{origin.Bucket(attempt), reply} })
	if err != nil {
		return "", false
	}
	if reading != nil {
		select {
		case <-reading:
		case <-ctx.Done():
			return "", false
		}
	}
	known, err := o.find(ctx, attempt)
	return known.software, err == nil && known.known
}
