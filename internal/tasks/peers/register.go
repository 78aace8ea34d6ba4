package peers

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/rowstore"
	"github.com/peridotreel/peridotreel/internal/task"
)

const (
	// registerTimeout bounds one attempt to write the host's row, registerRetry is
	// the delay before the next.
	registerTimeout = 1500 * time.Millisecond
	registerRetry   = 500 * time.Millisecond
	// rewriteSpread is the time over which the hosts spread the writes of their rows
	// after a return of the store: some hundred at once would exceed its rate.
	rewriteSpread = 500 * time.Millisecond
)

// hostRow is the value of a host's row.
type hostRow struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving,omitempty"`
	// Era is the era of the store in which the host wrote the row.
	Era *int64 `json:"era,omitempty"`
}

// registration is the state of the host's own row. One write is in progress at a
// time, so that an earlier one cannot replace a later one.
type registration struct {
	// leaving is true once the host is shutting down.
	leaving bool
	writing bool
	// stale is true if the row must be written again.
	stale bool
	// withdrawn is true once the row was removed.
	withdrawn bool
	// waiting are the callers of Leave and Withdraw.
	waiting []chan<- error
}

type leave struct {
	withdraw bool
	reply    chan<- error
}

type rowWritten struct{ err error }

type writeDue struct{}

// Leave marks the host as leaving in its row.
func (p *Peers) Leave(ctx context.Context) error { return p.leave(ctx, false) }

// Withdraw removes the host's row, so that other hosts no longer count it.
func (p *Peers) Withdraw(ctx context.Context) error { return p.leave(ctx, true) }

func (p *Peers) leave(ctx context.Context, withdraw bool) error {
	err, asked := task.Ask(ctx, p.inbox, func(reply chan<- error) any { return leave{withdraw, reply} })
	if asked != nil {
		return asked
	}
	return err
}

func (p *Peers) startLeaving(ctx context.Context, m leave) {
	r := &p.registration
	r.leaving, r.withdrawn = true, r.withdrawn || m.withdraw
	r.waiting = append(r.waiting, m.reply)
	p.writeRow(ctx)
}

// writeRow writes the host's row, or removes it once the host withdraws.
func (p *Peers) writeRow(ctx context.Context) {
	r := &p.registration
	if r.writing {
		r.stale = true
		return
	}
	commit, err := p.rowCommit()
	if err != nil {
		p.config.Log.Error("could not encode this host's row", zap.String("event", "register_failed"), zap.Error(err))
		return
	}
	r.writing, r.stale = true, false
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
		defer cancel()
		_, err := p.config.Store.Commit(callCtx, commit)
		_ = p.inbox.Send(ctx, rowWritten{err})
	}()
}

func (p *Peers) rowCommit() (rowstore.Commit, error) {
	row := rowstore.Row{Table: Table, Key: string(p.config.Host)}
	if p.registration.withdrawn {
		return rowstore.Commit{Removes: []rowstore.Row{row}}, nil
	}
	value := hostRow{Address: p.config.Address, Zone: string(p.config.Zone), Leaving: p.registration.leaving}
	if era, known := p.hosts.Era(); known {
		value.Era = &era
	}
	var err error
	if row.Value, err = json.Marshal(value); err != nil {
		return rowstore.Commit{}, fmt.Errorf("encode this host's row: %w", err)
	}
	return rowstore.Commit{Puts: []rowstore.Row{row}}, nil
}

func (p *Peers) handleRowWritten(ctx context.Context, m rowWritten) {
	r := &p.registration
	r.writing = false
	if r.stale {
		p.writeRow(ctx)
		return
	}
	for _, reply := range r.waiting {
		reply <- m.err
	}
	r.waiting = nil
	if m.err != nil && !r.leaving {
		p.config.Log.Debug("could not write this host's row; retrying", zap.String("event", "register_failed"), zap.Error(m.err))
		p.writeLater(ctx, registerRetry)
	}
}

// rewriteRow writes the row again after a return of the store.
func (p *Peers) rewriteRow(ctx context.Context) { p.writeLater(ctx, rand.N(rewriteSpread)) }

func (p *Peers) writeLater(ctx context.Context, delay time.Duration) {
	time.AfterFunc(delay, func() { _ = p.inbox.Send(ctx, writeDue{}) })
}
