// Package balances is the task that holds a host's part of the teams' prepaid
// balances and fetches and returns tokens at the store.
package balances

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/allowance"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/rowstore"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/tasks/follower"
)

const (
	// Table holds one row for each team, in a part of its own, since a part
	// applies its transactions one after another.
	Table = "balances"
	// ledgerKey is the key of a team's row in its part.
	ledgerKey = "ledger"
	// inboxSize holds the messages of some hundred requests in flight.
	inboxSize = 1024
	// callTimeout bounds a call to the store. A slow store answers within some
	// hundred milliseconds.
	callTimeout = 1500 * time.Millisecond
	// refreshEvery is the time between looks at waiting requests and at teams
	// without requests.
	refreshEvery = 50 * time.Millisecond
	// outageWait is the longest time for which a request waits until the pledge
	// lets it pass without the store. It is below the objectives' double, so
	// that waiting is worth more than a refusal.
	outageWait = 2000 * time.Millisecond
	// awayMemory is how long after a failed call requests do not wait for the
	// store. It outlasts the time of the next call.
	awayMemory = callTimeout + 2*failurePause
	// failurePause is the delay after a call that failed, so that a store that
	// is away is not called for each request.
	failurePause = 250 * time.Millisecond
)

// Config describes the task.
type Config struct {
	Store   rowstore.Store
	Process allowance.Process
	// Hosts is assumed until peers are known.
	Hosts int
	// Recall asks another host to return tokens and calls done when it has
	// answered, with what it returned.
	Recall func(host core.HostID, team core.TeamName, amount core.Tokens, done func(returned core.Tokens))
	Log    *zap.Logger
	Now    func() time.Time
}

// Balances is the task.
type Balances struct {
	config Config
	inbox  *task.Inbox[any]
	teams  map[core.TeamName]*account
	pledge pledging
	hosts  int
	// awayUntil is until when the store is taken to be away, for all teams.
	awayUntil time.Time
	// closing is set when tokens are returned at the end of the process.
	closing chan<- struct{}
}

type account struct {
	// recalls counts the calls to other hosts that hold tokens.
	recalls int
	// returning is replied to when a commit for another host has ended.
	returning chan<- core.Tokens
	returned  core.Tokens
	prepaid   core.Tokens
	name      core.TeamName
	holder    *allowance.Holder
	waiting   []waiter
	busy      bool
	// pausedUntil is when the store is called again after a call that failed.
	pausedUntil time.Time
	closed      bool
}

type waiter struct {
	amount core.Tokens
	until  time.Time
	reply  chan<- Grant
}

// Grant is the answer to a reservation.
type Grant struct {
	Outcome Outcome
	// Available is what the host could still reserve, Unallocated what nobody
	// was granted, and Version that of the ledger on which this rests.
	Available   core.Tokens
	Unallocated core.Tokens
	// Elsewhere is granted to other processes and not known to be spent.
	Elsewhere core.Tokens
	// Unsure is settled for dead processes, which may not have spent it.
	Unsure  core.Tokens
	Prepaid core.Tokens
	// StoreAway is true if the store did not answer lately.
	StoreAway bool
	Version   int64
}

// Outcome of a reservation.
type Outcome string

// The outcomes.
const (
	Granted Outcome = "granted"
	// Spent means that the whole balance does not cover the amount.
	Spent Outcome = "spent"
	// Away means that tokens could not be fetched in time.
	Away Outcome = "away"
)

type reserve struct {
	team   core.TeamName
	amount core.Tokens
	until  time.Time
	reply  chan<- Grant
}

type settle struct {
	team     core.TeamName
	reserved core.Tokens
	spent    core.Tokens
}

type configured struct{ config *gateway.Config }

type called struct {
	team core.TeamName
	// ledger and version are what the store has, if known.
	ledger  allowance.Ledger
	version int64
	learned bool
	// certain is false if a commit may still be applied.
	certain bool
	read    bool
	err     error
}

type hostCount int

type closeAll struct{ reply chan<- struct{} }

// New returns the task.
func New(config Config) *Balances {
	return &Balances{
		config: config, inbox: task.NewInbox[any](inboxSize), teams: make(map[core.TeamName]*account),
		hosts:  config.Hosts,
		pledge: pledging{started: config.Now()},
	}
}

// Reserve takes an amount of a team's balance, waiting for the store until a
// time at most.
func (b *Balances) Reserve(ctx context.Context, team core.TeamName, amount core.Tokens, until time.Time) (Grant, error) {
	reply := make(chan Grant, 1)
	if err := b.inbox.Send(ctx, reserve{team, amount, until, reply}); err != nil {
		return Grant{}, err
	}
	select {
	case grant := <-reply:
		return grant, nil
	case <-ctx.Done():
		go b.settleLate(team, amount, reply)
		return Grant{}, ctx.Err()
	}
}

// settleLate settles a reservation that is granted after its request has ended.
func (b *Balances) settleLate(team core.TeamName, amount core.Tokens, reply <-chan Grant) {
	if grant := <-reply; grant.Outcome == Granted {
		b.Settle(team, amount, 0)
	}
}

// Settle ends a reservation with what was spent.
func (b *Balances) Settle(team core.TeamName, reserved, spent core.Tokens) {
	_ = b.inbox.Send(context.Background(), settle{team, reserved, spent})
}

// Configure takes the configuration in force.
func (b *Balances) Configure(config *gateway.Config) {
	_ = b.inbox.Send(context.Background(), configured{config})
}

// SetHosts takes the number of hosts that serve.
func (b *Balances) SetHosts(count int) { _ = b.inbox.Send(context.Background(), hostCount(count)) }

// Update takes changes of the ledgers from a follower.
func (b *Balances) Update(update follower.Update) { _ = b.inbox.Send(context.Background(), update) }

// Close returns all unspent tokens, until ctx ends. Requests have ended.
func (b *Balances) Close(ctx context.Context) error {
	_, err := task.Ask(ctx, b.inbox, func(reply chan<- struct{}) any { return closeAll{reply} })
	return err
}

// Run handles messages until ctx ends.
func (b *Balances) Run(ctx context.Context) {
	defer b.inbox.Close()
	refresh := time.NewTicker(refreshEvery)
	defer refresh.Stop()
	for {
		select {
		case message := <-b.inbox.Messages():
			b.handle(ctx, message)
		case <-refresh.C:
			for _, a := range b.teams {
				b.serveWaiters(a)
				b.expireWaiters(a)
				b.work(ctx, a)
			}
			b.finishClose()
			b.writePledges(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (b *Balances) handle(ctx context.Context, message any) {
	now := b.config.Now()
	switch m := message.(type) {
	case reserve:
		b.reserve(ctx, m, now)
	case settle:
		if a, found := b.teams[m.team]; found {
			a.holder.Settle(m.reserved, m.spent)
			b.work(ctx, a)
		}
	case configured:
		b.configure(ctx, m.config)
	case follower.Update:
		for _, row := range m.Rows {
			if a, found := b.teams[core.TeamName(row.Part)]; found && row.Key == ledgerKey {
				b.learn(a, row)
				b.serveWaiters(a)
				b.work(ctx, a)
			}
		}
	case called:
		b.called(ctx, m, now)
	case hostCount:
		b.hosts = max(int(m), 1)
		for _, a := range b.teams {
			a.holder.SetBalance(a.prepaid, b.hosts)
		}
	case retryRecord:
		b.readRecord(ctx)
	case giveBack:
		b.giveBackTo(ctx, m, now)
	case recalled:
		b.recalled(ctx, m)
	case recordRead:
		b.recordRead(ctx, m)
	case pledged:
		b.pledged(ctx, m, now)
	case retryRead:
		if a, found := b.teams[m.team]; found && !a.busy {
			b.read(ctx, a)
		}
	case closeAll:
		b.closing = m.reply
		for _, a := range b.teams {
			b.work(ctx, a)
		}
		b.finishClose()
	}
}

func (b *Balances) configure(ctx context.Context, config *gateway.Config) {
	b.readRecord(ctx)
	for name, team := range config.Teams {
		if !team.Limited {
			continue
		}
		a, found := b.teams[name]
		if !found {
			a = &account{name: name, holder: allowance.NewHolder(b.config.Process)}
			b.teams[name] = a
			b.boundEarlier(a)
			b.read(ctx, a)
		}
		a.prepaid = team.Prepaid
		a.holder.SetBalance(a.prepaid, b.hosts)
		b.work(ctx, a)
	}
}

func (b *Balances) reserve(ctx context.Context, m reserve, now time.Time) {
	a, found := b.teams[m.team]
	if !found {
		// A team without a prepaid total spends without a reservation.
		m.reply <- Grant{Outcome: Granted}
		return
	}
	a.holder.Note(m.amount, now)
	if a.holder.Reserve(m.amount, now) {
		m.reply <- b.grant(a, Granted)
		b.work(ctx, a)
		return
	}
	if !a.holder.Covers(m.amount) {
		m.reply <- b.grant(a, Spent)
		return
	}
	allowed, ever := a.holder.AllowedAt(m.amount, now)
	soon := ever && allowed.Sub(now) <= outageWait
	if soon && allowed.After(m.until) {
		m.until = allowed.Add(refreshEvery)
	}
	if !soon && (now.Before(a.pausedUntil) || now.Before(b.awayUntil)) {
		m.reply <- b.grant(a, Away)
		return
	}
	a.holder.Await(m.amount)
	a.waiting = append(a.waiting, waiter{m.amount, m.until, m.reply})
	b.work(ctx, a)
	if a.holder.PledgeShort(now) {
		b.writePledges(ctx)
	}
	b.refuseHopeless(a)
}

// refuseHopeless ends waits that neither a call under way nor the pledge can
// end: what is left is granted to other hosts.
func (b *Balances) refuseHopeless(a *account) {
	if len(a.waiting) == 0 {
		return
	}
	now := b.config.Now()
	if a.busy || a.recalls > 0 || (b.pledge.busy && a.holder.PledgeShort(now)) || b.recall(a) {
		return
	}
	b.refuseIf(a, Away, func(w waiter) bool {
		allowed, ever := a.holder.AllowedAt(w.amount, now)
		return !ever || allowed.After(w.until)
	})
}

func (b *Balances) grant(a *account, outcome Outcome) Grant {
	return Grant{
		Outcome: outcome, Available: a.holder.Available(b.config.Now()), Unallocated: a.holder.Unallocated(),
		Elsewhere: a.holder.Elsewhere(), Prepaid: a.holder.Prepaid(), Unsure: a.holder.Unsure(),
		StoreAway: b.config.Now().Before(b.awayUntil), Version: a.holder.Version(),
	}
}

// serveWaiters grants what is available, in order; a smaller amount may pass a
// larger one.
func (b *Balances) serveWaiters(a *account) {
	now := b.config.Now()
	kept := a.waiting[:0]
	for _, w := range a.waiting {
		if !a.holder.Reserve(w.amount, now) {
			kept = append(kept, w)
			continue
		}
		a.holder.Release(w.amount)
		w.reply <- b.grant(a, Granted)
	}
	a.waiting = kept
}

func (b *Balances) expireWaiters(a *account) {
	now := b.config.Now()
	b.refuseIf(a, Away, func(w waiter) bool { return !now.Before(w.until) })
}

// refuseIf ends the waits of those that a condition names.
func (b *Balances) refuseIf(a *account, outcome Outcome, condition func(waiter) bool) {
	kept := a.waiting[:0]
	for _, w := range a.waiting {
		if !condition(w) {
			kept = append(kept, w)
			continue
		}
		a.holder.Release(w.amount)
		answer := outcome
		if !a.holder.Covers(w.amount) {
			answer = Spent
		}
		w.reply <- b.grant(a, answer)
	}
	a.waiting = kept
}

// work starts the commit that the holder wants, if none is under way.
func (b *Balances) work(ctx context.Context, a *account) {
	now := b.config.Now()
	// While the store is away, the record of pledges alone is written: it tells
	// when the store is back, for all teams.
	away := now.Before(b.awayUntil) && b.closing == nil
	if a.busy || a.closed || away || !b.pledge.read || now.Before(a.pausedUntil) {
		return
	}
	proposal, wanted := a.holder.Propose(now)
	if b.closing != nil {
		if proposal, wanted = a.holder.Close(); !wanted {
			a.closed = true
			return
		}
	}
	if !wanted {
		return
	}
	a.holder.Begin(proposal, now)
	a.busy = true
	go b.commit(ctx, a.name, proposal)
}

// commit performs one commit and reports what became of it. It touches no
// state of the task.
func (b *Balances) commit(ctx context.Context, team core.TeamName, proposal allowance.Proposal) {
	result := called{team: team}
	defer func() { _ = b.inbox.Send(context.WithoutCancel(ctx), result) }()
	value, err := proposal.Ledger.Encode()
	if err != nil {
		result.err, result.certain = err, true
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row := rowstore.Row{Table: Table, Part: string(team), Key: ledgerKey, Version: proposal.Version}
	put := row
	put.Value = value
	sent, err := b.config.Store.Commit(ctx, rowstore.Commit{Expect: []rowstore.Row{row}, Puts: []rowstore.Row{put}})
	var conflict *rowstore.ConflictError
	var away *rowstore.UnavailableError
	switch {
	case err == nil:
		result.ledger, result.version, result.learned, result.certain = proposal.Ledger, sent.Version, true, true
	case errors.As(err, &conflict):
		result.certain = true
		result.setRows(conflict.Rows)
	case errors.As(err, &away):
		result.err, result.certain = err, !away.MayApply
	default:
		result.err = err
	}
}

// setRows takes the ledger from rows of the store.
func (r *called) setRows(rows []rowstore.Row) {
	r.learned = true
	for _, row := range rows {
		if row.Key != ledgerKey || row.Version == 0 || row.Deleted {
			continue
		}
		r.ledger, r.err = allowance.DecodeLedger(row.Value)
		r.version, r.learned = row.Version, r.err == nil
	}
}

// read fetches a ledger that is not known yet.
func (b *Balances) read(ctx context.Context, a *account) {
	a.busy = true
	team := a.name
	go func() {
		result := called{team: team, certain: true, read: true}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		rows, _, err := b.config.Store.Get(ctx, Table, string(team))
		if err != nil {
			result.err = err
		} else {
			result.setRows(rows)
		}
		_ = b.inbox.Send(context.WithoutCancel(ctx), result)
	}()
}

func (b *Balances) learn(a *account, row rowstore.Row) {
	ledger, err := allowance.DecodeLedger(row.Value)
	if err != nil {
		b.config.Log.Error("balance ledger skipped", zap.String("event", "ledger_malformed"),
			zap.String("team", string(a.name)), zap.Int64("row_version", row.Version), zap.Error(err))
		return
	}
	a.holder.Learn(ledger, row.Version)
}

func (b *Balances) called(ctx context.Context, m called, now time.Time) {
	a, found := b.teams[m.team]
	if !found {
		return
	}
	a.busy = false
	if m.learned {
		a.holder.Learn(m.ledger, m.version)
	}
	if !m.read {
		a.holder.Done(m.certain)
		b.answerReturn(a, m.err == nil && m.certain)
	}
	if m.err == nil {
		b.awayUntil = time.Time{}
	}
	if m.err != nil {
		a.pausedUntil = now.Add(failurePause)
		b.awayUntil = now.Add(awayMemory)
		b.config.Log.Warn("balance not updated", zap.String("event", "balance_commit_failed"), zap.String("team", string(m.team)),
			zap.Int64("ledger_version", a.holder.Version()), zap.Bool("certain", m.certain), zap.Error(m.err))
		b.serveWaiters(a)
		b.refuseHopeless(a)
		if m.read {
			time.AfterFunc(failurePause, func() { _ = b.inbox.Send(context.WithoutCancel(ctx), retryRead{a.name}) })
		}
		return
	}
	if b.closing != nil && !m.read && m.learned && m.certain {
		b.work(ctx, a)
		b.finishClose()
		return
	}
	b.serveWaiters(a)
	b.work(ctx, a)
	if a.holder.PledgeShort(now) {
		b.writePledges(ctx)
	}
	b.refuseHopeless(a)
}

func (b *Balances) finishClose() {
	if b.closing == nil {
		return
	}
	for _, a := range b.teams {
		if !a.closed {
			return
		}
	}
	b.closing <- struct{}{}
	b.closing = nil
}

// retryRead repeats the read of a ledger.
type retryRead struct{ team core.TeamName }
