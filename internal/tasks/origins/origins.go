// Package origins is the task that knows at which software a stream began. Hosts send
// each other records of the streams that they begin, and keep in the store which
// software versions have served.
package origins

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/allowance"
	"github.com/peridotreel/peridotreel/internal/decide/origin"
	"github.com/peridotreel/peridotreel/internal/peerrpc"
	"github.com/peridotreel/peridotreel/internal/rowstore"
	"github.com/peridotreel/peridotreel/internal/task"
)

const (
	// Table has one row for each service, in a part of its own, with the history of
	// its software versions.
	Table = "software"
	// historyKey is the key of a service's row in its part.
	historyKey = "history"
	// inboxCapacity has room for the messages of some hundred requests in flight.
	inboxCapacity = 1024
	// flushInterval is the minimum time between two sends of records, and flushPerHost
	// what is added for each host of the fleet: at 330 hosts, one send a second to each
	// of some twenty registrars. Most streams last a second or two, so that a record is
	// worth little if it is late.
	flushInterval = 50 * time.Millisecond
	flushPerHost  = 3 * time.Millisecond
	// flushBurst is the number of sends that a quiet time saves up.
	flushBurst = 4
	// maxQueued bounds the records that wait to be sent to one host.
	maxQueued = 2000
	// storeTimeout bounds a call to the store, retryDelay is the delay after a failed
	// one.
	storeTimeout = time.Second
	retryDelay   = 500 * time.Millisecond
	// writeSpread is the time over which hosts spread their writes of a change, so that
	// most find it written.
	writeSpread = 200 * time.Millisecond
	// lookupTimeout bounds the answers of registrars, and readTimeout the read of a
	// history that a request waits for.
	lookupTimeout = 200 * time.Millisecond
	readTimeout   = 300 * time.Millisecond
)

// Config has the settings of the task and what it depends on.
type Config struct {
	Host   core.HostID
	Store  rowstore.Store
	Caller peerrpc.Caller
	// Confirmed is called with the versions that a service's history in the store has.
	Confirmed func(service core.ServiceName, versions []string)
	Log       *zap.Logger
	Now       func() time.Time
}

// Origins is the task.
type Origins struct {
	config  Config
	inbox   *task.Inbox[any]
	listed  *task.Latest[setListed]
	records *origin.Records
	members []allowance.Member
	// queued has the records that are not sent yet, by address.
	queued map[string][]origin.Record
	// services has what is known of each service.
	services map[core.ServiceName]*service
	// resend is true if the hosts have changed since records were sent. A host that has
	// started has none, and the registrars may be others.
	resend bool
	// unsaved are records that this host has to write to the store, writes the buckets
	// of which it is the first registrar.
	unsaved *origin.Unsaved
	writes  map[string]bool
	// sends and saves pace what flushTimer and saveTimer start.
	sends, saves          origin.Pace
	flushTimer, saveTimer *time.Timer
	saved                 bucketReads
	era                   int64
}

// service is what is known of one service's software.
type service struct {
	// listed are the versions of the upstreams in the list.
	listed []string
	// history is the row in the store; clock is the store's clock when it was read,
	// at readAt.
	history origin.History
	clock   time.Duration
	readAt  time.Time
	// busy is true while the history is read or written.
	busy bool
}

type setMembers []allowance.Member

type setListed map[core.ServiceName][]string

type setEra int64

type add struct {
	record origin.Record
	send   bool
}

type find struct {
	attempt string
	reply   chan<- found
}

type found struct {
	software   string
	known      bool
	registrars []allowance.Member
}

type only struct {
	service core.ServiceName
	age     time.Duration
	reply   chan<- onlyReply
}

type onlyReply struct {
	software string
	sure     bool
}

type historyDue struct{ service core.ServiceName }

type historyResult struct {
	service core.ServiceName
	history origin.History
	clock   time.Duration
	era     int64
	err     error
}

// New returns the task.
func New(config Config) *Origins {
	return &Origins{
		config: config, inbox: task.NewInbox[any](inboxCapacity), listed: task.NewLatest[setListed](), records: origin.NewRecords(),
		queued: make(map[string][]origin.Record), services: make(map[core.ServiceName]*service), unsaved: origin.NewUnsaved(),
		sends: origin.Pace{Burst: flushBurst},
		saved: bucketReads{readAt: make(map[string]time.Time), reading: make(map[string]chan struct{})},
	}
}

// SetMembers sets the hosts that are not leaving.
func (o *Origins) SetMembers(members []allowance.Member) {
	_ = o.inbox.Send(context.Background(), setMembers(members))
}

// SetListed sets the software versions of the listed upstreams of each service. It does
// not wait for the task, which may be waiting for the caller in Config.Confirmed.
func (o *Origins) SetListed(listed map[core.ServiceName][]string) { o.listed.Set(listed) }

// SetStoreEra tells the era of an answer of the store. In a later one than before,
// the histories may be older.
func (o *Origins) SetStoreEra(era int64) { _ = o.inbox.Send(context.Background(), setEra(era)) }

// Began records that an attempt's stream has begun at an upstream with the given
// software.
func (o *Origins) Began(attempt, software string) {
	_ = o.inbox.Send(context.Background(), add{origin.Record{Attempt: attempt, Software: software}, true})
}

// Run handles messages until ctx ends.
func (o *Origins) Run(ctx context.Context) {
	defer o.inbox.Close()
	o.flushTimer, o.saveTimer = time.NewTimer(time.Hour), time.NewTimer(time.Hour)
	defer o.flushTimer.Stop()
	defer o.saveTimer.Stop()
	for {
		select {
		case message := <-o.inbox.Messages():
			o.handle(ctx, message)
		case listed := <-o.listed.Messages():
			o.updateListed(ctx, listed)
			o.saveSoon(o.config.Now()) // streams of several versions may be resumed from now on
		case <-o.flushTimer.C:
			o.sends.Sent(o.config.Now())
			o.flush(ctx)
		case <-o.saveTimer.C:
			o.saves.Sent(o.config.Now())
			o.save(ctx, o.config.Now())
		case <-ctx.Done():
			return
		}
	}
}

// sendSoon arranges for a send of the queued records.
func (o *Origins) sendSoon(now time.Time) {
	if delay, queued := o.sends.Queue(o.interval(), now); queued {
		o.flushTimer.Reset(delay)
	}
}

// saveSoon arranges for a write of the records that this host has to save.
func (o *Origins) saveSoon(now time.Time) {
	if delay, queued := o.saves.Queue(origin.SaveInterval(len(o.members)), now); queued {
		o.saveTimer.Reset(delay)
	}
}

// interval returns the minimum time between two sends, which grows with the fleet.
func (o *Origins) interval() time.Duration {
	return flushInterval + time.Duration(len(o.members))*flushPerHost
}

func (o *Origins) handle(ctx context.Context, message any) {
	now := o.config.Now()
	switch m := message.(type) {
	case setMembers:
		o.members, o.resend = m, true
		o.sendSoon(now)
		o.updateWrites(now)
	case setEra:
		o.noticeEra(ctx, int64(m))
	case add:
		o.records.Add(m.record, m.send, now)
		registrars := origin.Registrars(m.record.Attempt, o.members)
		if o.writes[origin.Bucket(m.record.Attempt)] {
			o.unsaved.Add(m.record, now)
			o.saveSoon(now)
		}
		if m.send {
			o.enqueue(m.record, registrars)
			o.sendSoon(now)
		}
	case readSaved:
		m.reply <- o.startRead(ctx, m.bucket, now)
	case savedWritten:
		o.handleSavedWritten(m, now)
	case savedRead:
		o.handleSavedRead(m, now)
	case find:
		software, known := o.records.Find(m.attempt)
		m.reply <- found{software, known, origin.Registrars(m.attempt, o.members)}
	case only:
		m.reply <- o.only(m)
	case historyDue:
		o.updateHistory(ctx, m.service)
	case historyResult:
		o.handleHistory(ctx, m, now)
	}
}

// updateWrites finds the buckets that this host writes by the current members. It writes
// the records of those that are new to it, as the host before may have left with them.
func (o *Origins) updateWrites(now time.Time) {
	before := o.writes
	o.writes = origin.Writes(o.config.Host, o.members)
	taken := maps.Clone(o.writes)
	maps.DeleteFunc(taken, func(bucket string, _ bool) bool { return before[bucket] })
	o.saveAgain(taken, now)
}

func (o *Origins) enqueue(record origin.Record, registrars []allowance.Member) {
	for _, registrar := range registrars {
		if registrar.Host != o.config.Host && len(o.queued[registrar.Address]) < maxQueued {
			o.queued[registrar.Address] = append(o.queued[registrar.Address], record)
		}
	}
}

// flush sends the queued records. A lost call is not repeated: two other hosts have
// its records.
func (o *Origins) flush(ctx context.Context) {
	if o.resend {
		o.resend = false
		for _, record := range o.records.Own(o.config.Now()) {
			o.enqueue(record, origin.Registrars(record.Attempt, o.members))
		}
	}
	for address, records := range o.queued {
		go o.sendRecords(ctx, address, records)
	}
	clear(o.queued)
}

func (o *Origins) updateListed(ctx context.Context, listed setListed) {
	for name, versions := range listed {
		known, found := o.services[name]
		if !found {
			known = &service{}
			o.services[name] = known
		}
		known.listed = versions
	}
	for name, known := range o.services {
		if _, found := listed[name]; !found {
			known.listed = nil
		}
		o.writeIfChanged(ctx, name, known)
	}
}

// writeIfChanged writes a service's history if the list differs from it.
func (o *Origins) writeIfChanged(ctx context.Context, name core.ServiceName, known *service) {
	if known.readAt.IsZero() {
		o.updateHistory(ctx, name) // no stream that callers may resume begins before
		return
	}
	if _, changed := known.history.Observe(known.listed, known.clock); changed {
		o.updateLater(ctx, name, rand.N(writeSpread))
	}
}

func (o *Origins) updateLater(ctx context.Context, name core.ServiceName, delay time.Duration) {
	time.AfterFunc(delay, func() { _ = o.inbox.Send(ctx, historyDue{name}) })
}

// noticeEra reads all histories again after a return of the store, and writes the
// records again that the copy may lack.
func (o *Origins) noticeEra(ctx context.Context, era int64) {
	if era <= o.era {
		return
	}
	o.era = era
	for name, known := range o.services {
		known.history, known.readAt = origin.History{}, time.Time{}
		o.updateLater(ctx, name, rand.N(writeSpread))
	}
	o.saveAgain(o.writes, o.config.Now())
}

func (o *Origins) only(m only) onlyReply {
	known, served := o.services[m.service]
	if !served {
		return onlyReply{}
	}
	software, sure := known.history.Only(known.listed, m.age, known.clock)
	return onlyReply{software: software, sure: sure}
}
