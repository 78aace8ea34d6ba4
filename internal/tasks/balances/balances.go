// Package balances is the task that holds a host's part of the teams' prepaid
// balances and fetches and returns tokens at the store.
package balances

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/allowance"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/rowstore"
	"github.com/peridotreel/peridotreel/internal/task"
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
	Zone    core.ZoneName
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
	// members are the hosts that may own balances, empty until they are known.
	members []allowance.Member
	// retired is set once the host leaves and keeps no tokens without need.
	retired bool
	// awayUntil is until when the store is taken to be away, for all teams.
	awayUntil time.Time
	// closing is set when tokens are returned at the end of the process.
	closing chan<- struct{}
}

// account is the task's state for one team.
type account struct {
	name    core.TeamName
	holder  *allowance.Holder
	prepaid core.Tokens
	waiting []waiter
	// busy is true while a call of the store is under way.
	busy bool
	// pausedUntil is when the store is called again after a call that failed.
	pausedUntil time.Time
	// learnedAt is when the ledger was last read or written.
	learnedAt time.Time
	// recalls counts the calls to other hosts that hold tokens.
	recalls int
	// returning is replied to when a commit for another host has ended, with
	// returned if it was applied.
	returning chan<- core.Tokens
	returned  core.Tokens
	// closed is true once the tokens were returned at the end of the process.
	closed bool
}

type waiter struct {
	amount  core.Tokens
	until   time.Time
	patient bool
	reply   chan<- Grant
}

// Request asks for a reservation.
type Request struct {
	Team   core.TeamName
	Amount core.Tokens
	// Until is how long the request waits for the store.
	Until time.Time
	// Patient is set if the request may wait beyond Until for its pledge to grow
	// in an outage, and may have tokens of other hosts recalled.
	Patient bool
	// Foreign is set for a request of another host. That host's configuration
	// may be newer, so that a team which this host does not know is not one
	// without a prepaid total.
	Foreign bool
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
	Request
	reply chan<- Grant
}

type settle struct {
	team     core.TeamName
	reserved core.Tokens
	spent    core.Tokens
}

type configured struct{ config *gateway.Config }

type setMembers []allowance.Member

type retire struct{}

type closeAll struct{ reply chan<- struct{} }

// New returns the task.
func New(config Config) *Balances {
	return &Balances{
		config: config, inbox: task.NewInbox[any](inboxSize), teams: make(map[core.TeamName]*account),
		pledge: pledging{started: config.Now()},
	}
}

// Reserve takes an amount of a team's balance.
func (b *Balances) Reserve(ctx context.Context, request Request) (Grant, error) {
	reply := make(chan Grant, 1)
	if err := b.inbox.Send(ctx, reserve{request, reply}); err != nil {
		return Grant{}, err
	}
	select {
	case grant := <-reply:
		return grant, nil
	case <-ctx.Done():
		go b.settleLate(request.Team, request.Amount, reply)
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

// SetMembers takes the hosts that may own balances.
func (b *Balances) SetMembers(members []allowance.Member) {
	_ = b.inbox.Send(context.Background(), setMembers(members))
}

// Retire makes the task return the tokens that no request needs, because the
// host leaves.
func (b *Balances) Retire() { _ = b.inbox.Send(context.Background(), retire{}) }

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
				b.refreshStale(ctx, a)
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
	case called:
		b.called(ctx, m, now)
	case setMembers:
		b.members = m
		for _, a := range b.teams {
			b.divide(ctx, a)
		}
	case retire:
		b.retired = true
		for _, a := range b.teams {
			a.holder.Retire()
			b.work(ctx, a)
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
			b.boundEarlier(ctx, a)
			if b.retired {
				a.holder.Retire()
			}
		}
		a.prepaid = team.Prepaid
		b.divide(ctx, a)
		b.work(ctx, a)
	}
}

// divide tells the holder by how many owners the balance is divided, and reads
// the ledger of a balance that this host owns.
func (b *Balances) divide(ctx context.Context, a *account) {
	owners := allowance.Owners(a.name, b.config.Zone, b.members, func(allowance.Member) bool { return true })
	owned := len(owners) > 0 && owners[0].Host == b.config.Process.Host
	a.holder.SetBalance(a.prepaid, len(owners), owned)
	if owned {
		b.readUnknown(ctx, a)
	}
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
