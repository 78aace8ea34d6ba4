// Package holds is the task that keeps in the store which prompt parts and requests were
// in flight when upstreams crashed, so that a kill of all hosts does not forget the holds
// that follow from it.
package holds

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/allowance"
	"github.com/peridotreel/peridotreel/internal/decide/quarantine"
	"github.com/peridotreel/peridotreel/internal/decide/rendezvous"
	"github.com/peridotreel/peridotreel/internal/rowstore"
	"github.com/peridotreel/peridotreel/internal/task"
)

const (
	// Table has one row for all hosts.
	Table = "quarantine"
	// rowKey is the key of that row.
	rowKey = "crashes"
	// inboxCapacity has room for the messages of a crash of all upstreams.
	inboxCapacity = 1024
	// storeTimeout bounds a call to the store, retryDelay is the delay after a failed
	// one.
	storeTimeout = time.Second
	retryDelay   = 500 * time.Millisecond
	// saverCount is how many hosts write what all know by the exchange among peers,
	// one saverSpacing after the other, so that the later ones find it written.
	saverCount   = 3
	saverSpacing = 400 * time.Millisecond
	// spreadPerHost is added for each host of the fleet to the time over which hosts
	// spread their writes of a part that has crashed several upstreams.
	spreadPerHost = 3 * time.Millisecond
	// minInterval is the minimum time between two writes of a host.
	minInterval = time.Second
)

// Registry is the task that owns what is known of crashes.
type Registry interface {
	// MergeCrashes adds what the store keeps, and returns what it should keep.
	MergeCrashes(ctx context.Context, saved []quarantine.CrashReport) ([]quarantine.CrashReport, error)
}

// Config has the settings of the task and what it depends on.
type Config struct {
	Host     core.HostID
	Store    rowstore.Store
	Registry Registry
	Log      *zap.Logger
	Now      func() time.Time
}

// Holds is the task.
type Holds struct {
	config  Config
	inbox   *task.Inbox[any]
	members []string
	// loaded is true once the row was read.
	loaded bool
	// busy is true while the row is read or written; dueAt is when that is to be done
	// next, zero if it is not.
	busy      bool
	dueAt     time.Time
	lastWrite time.Time
	era       int64
	timer     *time.Timer
}

type setMembers []string

type setEra int64

// suspicionsChanged tells that what is known of crashes has changed.
type suspicionsChanged struct{ repeated bool }

type rowResult struct {
	wrote bool
	err   error
}

// New returns the task.
func New(config Config) *Holds {
	return &Holds{config: config, inbox: task.NewInbox[any](inboxCapacity)}
}

// SetMembers sets the hosts that are not leaving.
func (h *Holds) SetMembers(members []allowance.Member) {
	names := make(setMembers, len(members))
	for i, member := range members {
		names[i] = string(member.Host)
	}
	_ = h.inbox.Send(context.Background(), names)
}

// SetStoreEra tells the era of an answer of the store. In a later one than before, the
// row may be older or gone.
func (h *Holds) SetStoreEra(era int64) { _ = h.inbox.Send(context.Background(), setEra(era)) }

// Changed tells that what is known of crashes has changed. repeated is true if a part
// has been in flight at several crashes, so that each host sees to it that the store
// has them. It drops the message if the inbox is full, as the next change tells again.
func (h *Holds) Changed(repeated bool) {
	h.inbox.TrySend(suspicionsChanged{repeated})
}

// Run handles messages until ctx ends.
func (h *Holds) Run(ctx context.Context) {
	defer h.inbox.Close()
	h.timer = time.NewTimer(0) // reads the row at the start
	h.dueAt = h.config.Now()
	defer h.timer.Stop()
	for {
		select {
		case message := <-h.inbox.Messages():
			h.handle(message)
		case <-h.timer.C:
			if !h.busy && !h.dueAt.IsZero() {
				h.busy, h.dueAt = true, time.Time{}
				go h.update(ctx, h.loaded)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (h *Holds) handle(message any) {
	switch m := message.(type) {
	case setMembers:
		h.members = m
	case setEra:
		if era := int64(m); era > h.era {
			returned := h.era > 0
			h.era = era
			if returned {
				h.schedule(rand.N(minInterval + time.Duration(len(h.members))*spreadPerHost))
			}
		}
	case suspicionsChanged:
		h.scheduleSave(m.repeated)
	case rowResult:
		h.busy = false
		if m.wrote {
			h.lastWrite = h.config.Now()
		}
		switch {
		case m.err != nil:
			h.schedule(retryDelay + rand.N(retryDelay))
		case !h.dueAt.IsZero():
			h.schedule(h.dueAt.Sub(h.config.Now()))
		}
		h.loaded = h.loaded || m.err == nil
	}
}

// scheduleSave schedules a write of what is known. Crashes of a single upstream are
// written by few hosts, as most parts that were in flight are answered soon.
func (h *Holds) scheduleSave(repeated bool) {
	rank := slices.Index(rendezvous.Rank(Table, h.members), string(h.config.Host))
	switch {
	case repeated:
		h.schedule(rand.N(saverSpacing/4 + time.Duration(len(h.members))*spreadPerHost))
	case rank >= 0 && rank < saverCount:
		h.schedule(time.Duration(rank+1) * saverSpacing)
	}
}

// schedule sets the time of the next update, unless it is due earlier.
func (h *Holds) schedule(delay time.Duration) {
	now := h.config.Now()
	at := now.Add(max(delay, 0))
	if earliest := h.lastWrite.Add(minInterval); at.Before(earliest) {
		at = earliest
	}
	if h.dueAt.IsZero() || at.Before(h.dueAt) {
		h.dueAt = at
	}
	h.timer.Reset(max(h.dueAt.Sub(now), 0))
}

// update reads the row, and replaces it if save is true and it lacks crashes or has
// some that were cleared by an answer. It does not access the task's state.
func (h *Holds) update(ctx context.Context, save bool) {
	wrote, err := h.exchange(ctx, save)
	var conflict *rowstore.ConflictError
	if err != nil && !errors.As(err, &conflict) && ctx.Err() == nil {
		h.config.Log.Warn("could not exchange crashes of upstreams with the store; repeating it", zap.String("event", "quarantine_save_failed"), zap.Error(err))
	}
	_ = h.inbox.Send(context.WithoutCancel(ctx), rowResult{wrote, err})
}

func (h *Holds) exchange(ctx context.Context, save bool) (wrote bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, stamp, err := h.config.Store.Get(ctx, Table, "")
	if err != nil {
		return false, err
	}
	row := rowstore.Row{Table: Table, Key: rowKey}
	var stored []quarantine.CrashReport
	for _, found := range rows {
		if found.Key != rowKey || found.Deleted {
			continue
		}
		row.Revision = found.Revision
		if stored, err = decodeRow(found.Value, stamp.Clock); err != nil {
			h.config.Log.Warn("ignored malformed crashes of upstreams", zap.String("event", "quarantine_malformed"), zap.Error(err))
		}
	}
	wanted, err := h.config.Registry.MergeCrashes(ctx, stored)
	if err != nil || !save || quarantine.SameSuspicions(stored, wanted) {
		return false, err
	}
	put := row
	if put.Value, err = encodeRow(wanted, stamp.Clock); err != nil {
		return false, err
	}
	_, err = h.config.Store.Commit(ctx, rowstore.Commit{Expect: []rowstore.Row{row}, Puts: []rowstore.Row{put}})
	return err == nil, err
}
