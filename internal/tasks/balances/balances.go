// Package balances is the task that holds this host's part of each team's prepaid
// balance, and fetches tokens from the store and returns them to it.
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
	// Table has one row per team, each in a part of its own, because a part
	// applies its transactions one after another.
	Table = "balances"
	// ledgerKey is the key of a team's row in its part.
	ledgerKey = "ledger"
	// inboxCapacity has room for the messages of some hundred requests in flight.
	inboxCapacity = 1024
	// callTimeout bounds a call to the store. A slow store answers within a few
	// hundred milliseconds.
	callTimeout = 1500 * time.Millisecond
	// refreshInterval is how often waiting requests and teams without requests
	// are checked.
	refreshInterval = 50 * time.Millisecond
	// maxOutageWait is the longest time that a request waits until the pledges
	// allow its amount without the store. It is less than twice the objectives,
	// so that waiting is worth more than a refusal.
	maxOutageWait = 2000 * time.Millisecond
	// storeAwayTime is how long after a failed call the store counts as away and
	// requests do not wait for it. It exceeds the time of the next call.
	storeAwayTime = callTimeout + 2*retryDelay
	// retryDelay is the delay after a failed call, so that the store is not
	// called for every request while it is away.
	retryDelay = 250 * time.Millisecond
)

// Config has the settings of the task and what it depends on.
type Config struct {
	Store   rowstore.Store
	Process allowance.Process
	Zone    core.ZoneName
	// Recall asks another host to return tokens. It calls done with the amount that was
	// returned, and with whether that host answered.
	Recall func(host core.HostID, team core.TeamName, amount core.Tokens, done func(returned core.Tokens, answered bool))
	Log    *zap.Logger
	Now    func() time.Time
}

// Balances is the task.
type Balances struct {
	config  Config
	inbox   *task.Inbox[any]
	teams   map[core.TeamName]*account
	pledges pledgeState
	// members are the hosts that may own balances. It is empty until they are
	// known.
	members []allowance.Member
	// retired is true once the host is leaving and keeps only the tokens that
	// requests need.
	retired bool
	// storeAwayUntil is the time until which the store counts as away for all
	// teams.
	storeAwayUntil time.Time
	// era is the latest era of the store that is known, and eraKnownAt when it was first
	// known.
	era        int64
	eraKnownAt time.Time
	// closeReply is set while the tokens are returned at the end of the process.
	closeReply chan<- struct{}
}

// account is the state of one team's balance at this host.
type account struct {
	name   core.TeamName
	holder *allowance.Holder
	// rowKey is the key of the ledger's row.
	rowKey  string
	prepaid core.Tokens
	waiting []waiter
	// malformed is the latest version of the ledger that could not be used.
	malformed core.Revision
	// busy is true while a call to the store is in progress.
	busy bool
	// retryAt is the earliest time of the next call after a failed one.
	retryAt time.Time
	// ledgerAt is when the ledger was last read or written.
	ledgerAt time.Time
	// pendingRecalls is the number of recalls that other hosts have not answered.
	pendingRecalls int
	// unansweredAt is when a recall got no answer from a host, until one does.
	unansweredAt map[core.HostID]time.Time
	// returnReply gets the result of the commit that returns tokens for another
	// host: returnAmount if it was applied.
	returnReply  chan<- core.Tokens
	returnAmount core.Tokens
	// closed is true once the tokens were returned at the end of the process.
	closed bool
}

type waiter struct {
	amount   core.Tokens
	deadline time.Time
	patient  bool
	reply    chan<- Grant
}

// Request asks for a reservation.
type Request struct {
	Team   core.TeamName
	Amount core.Tokens
	// Deadline is until when the request waits for the store.
	Deadline time.Time
	// Patient is true if the request may wait beyond Deadline for the pledges to
	// allow it during an outage, and may recall tokens from other hosts.
	Patient bool
	// FromPeer is true for a request of another host. That host may have a newer
	// configuration, so that a team that is unknown here may still have a prepaid
	// total.
	FromPeer bool
}

// Grant is the answer to a Request.
type Grant struct {
	Outcome Outcome
	// Available is what the host could still reserve, Unallocated what is not
	// granted to any process, and Version the version of the ledger that both
	// are taken from.
	Available   core.Tokens
	Unallocated core.Tokens
	// Elsewhere is granted to other processes and not known to be spent.
	Elsewhere core.Tokens
	// Unsure is settled for dead processes that may not have spent it.
	Unsure  core.Tokens
	Prepaid core.Tokens
	// StoreAway is true if a recent call to the store failed.
	StoreAway bool
	Version   int64
	// Shortage divides the balance if the request is refused. It is nil for a granted
	// request, for a team that the owner does not know, and in the answer of a host of a
	// build without it.
	Shortage *allowance.Shortage
}

// Outcome is the outcome of a Request.
type Outcome string

// The outcomes.
const (
	Granted Outcome = "granted"
	// Spent means that the team's whole balance does not cover the amount.
	Spent Outcome = "spent"
	// Away means that the tokens could not be fetched in time.
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

type setConfig struct {
	config *gateway.Config
	// before is when the configuration before it was last known to be the latest.
	before time.Time
}

type setMembers []allowance.Member

type retire struct{}

type storeEra int64

type closeAll struct{ reply chan<- struct{} }

// New returns the task.
func New(config Config) *Balances {
	return &Balances{
		config: config, inbox: task.NewInbox[any](inboxCapacity), teams: make(map[core.TeamName]*account),
		pledges: pledgeState{started: config.Now()},
	}
}

// Reserve reserves an amount of a team's balance.
func (b *Balances) Reserve(ctx context.Context, request Request) (Grant, error) {
	reply := make(chan Grant, 1)
	if err := b.inbox.Send(ctx, reserve{request, reply}); err != nil {
		return Grant{}, err
	}
	select {
	case grant := <-reply:
		return grant, nil
	case <-ctx.Done():
		go b.settleLateGrant(request.Team, request.Amount, reply)
		return Grant{}, ctx.Err()
	}
}

// settleLateGrant releases a reservation that was granted after its request had
// ended.
func (b *Balances) settleLateGrant(team core.TeamName, amount core.Tokens, reply <-chan Grant) {
	if grant := <-reply; grant.Outcome == Granted {
		b.Settle(team, amount, 0)
	}
}

// Settle ends a reservation and records how much of it was spent.
func (b *Balances) Settle(team core.TeamName, reserved, spent core.Tokens) {
	_ = b.inbox.Send(context.Background(), settle{team, reserved, spent})
}

// Configure applies the configuration in force. before is when the configuration that
// this process had before was last known to be what the store had, zero if it was not.
func (b *Balances) Configure(config *gateway.Config, before time.Time) {
	_ = b.inbox.Send(context.Background(), setConfig{config, before})
}

// SetMembers sets the hosts that may own balances.
func (b *Balances) SetMembers(members []allowance.Member) {
	_ = b.inbox.Send(context.Background(), setMembers(members))
}

// SetStoreEra tells the era of an answer of the store. In a later one than before,
// the store has come back from an older copy.
func (b *Balances) SetStoreEra(era int64) { _ = b.inbox.Send(context.Background(), storeEra(era)) }

// Retire makes the task return all tokens that no request needs, because the host
// is leaving.
func (b *Balances) Retire() { _ = b.inbox.Send(context.Background(), retire{}) }

// Close returns all unspent tokens. All requests must have ended. It gives up when
// ctx ends.
func (b *Balances) Close(ctx context.Context) error {
	_, err := task.Ask(ctx, b.inbox, func(reply chan<- struct{}) any { return closeAll{reply} })
	return err
}

// Run handles messages until ctx ends.
func (b *Balances) Run(ctx context.Context) {
	defer b.inbox.Close()
	refresh := time.NewTicker(refreshInterval)
	defer refresh.Stop()
	for {
		select {
		case message := <-b.inbox.Messages():
			b.handle(ctx, message)
		case <-refresh.C:
			for _, a := range b.teams {
				b.grantWaiters(a)
				b.expireWaiters(a)
				b.startCommit(ctx, a)
				b.rereadStaleLedger(ctx, a)
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
			b.startCommit(ctx, a)
		}
	case setConfig:
		b.configure(ctx, m.config, m.before)
	case ledgerResult:
		b.handleLedgerResult(ctx, m, now)
	case setMembers:
		b.members = m
		for _, a := range b.teams {
			b.updateOwnership(ctx, a)
		}
	case storeEra:
		b.noticeEra(ctx, int64(m))
	case retire:
		b.retired = true
		for _, a := range b.teams {
			a.holder.Retire()
			b.startCommit(ctx, a)
		}
	case retryRecordRead:
		b.readRecord(ctx)
	case returnTokens:
		b.startReturn(ctx, m, now)
	case recallResult:
		b.handleRecallResult(ctx, m)
	case recordResult:
		b.handleRecordResult(ctx, m)
	case pledgeResult:
		b.handlePledgeResult(ctx, m, now)
	case retryLedgerRead:
		if a, found := b.teams[m.team]; found && !a.busy {
			b.readLedger(ctx, a)
		}
	case closeAll:
		b.closeReply = m.reply
		for _, a := range b.teams {
			b.startCommit(ctx, a)
		}
		b.finishClose()
	}
}

func (b *Balances) configure(ctx context.Context, config *gateway.Config, before time.Time) {
	b.readRecord(ctx)
	for name, team := range config.Teams {
		if !team.Limited {
			continue
		}
		a, found := b.teams[name]
		if !found {
			a = &account{name: name, holder: allowance.NewHolder(b.config.Process), rowKey: ledgerKey, unansweredAt: make(map[core.HostID]time.Time)}
			b.teams[name] = a
			b.boundEarlierProcess(ctx, a)
			if allowance.LackedAfterReturn(b.eraKnownAt, before) {
				a.holder.SetNew(b.era)
			}
			if b.retired {
				a.holder.Retire()
			}
		}
		a.prepaid = team.Prepaid
		b.updateOwnership(ctx, a)
		b.startCommit(ctx, a)
	}
}

// updateOwnership tells the holder how many hosts own the balance and whether this
// is one of them. It reads the ledger of a balance that this host owns or may own next.
func (b *Balances) updateOwnership(ctx context.Context, a *account) {
	owners := allowance.Owners(a.name, b.config.Zone, b.members, func(allowance.Member) bool { return true })
	owned := len(owners) > 0 && owners[0].Host == b.config.Process.Host
	a.holder.SetBalance(a.prepaid, len(owners), owned)
	standby := allowance.Standby(a.name, b.config.Process.Host, b.config.Zone, b.members)
	a.holder.SetStandby(standby)
	if owned || standby {
		b.readUnknownLedger(ctx, a)
	}
}

// noticeEra tells the holders that the store has come back from an older copy, and
// reads the ledgers that they know again.
func (b *Balances) noticeEra(ctx context.Context, era int64) {
	if era <= b.era {
		return
	}
	if b.era > 0 {
		// The store has an older record, which a next process would go by.
		b.pledges.lastWrite, b.pledges.retryAt = time.Time{}, time.Time{}
	}
	b.era, b.eraKnownAt = era, b.config.Now()
	for _, a := range b.teams {
		known := a.holder.LedgerKnown()
		a.holder.BeginEra(era)
		if known && !a.closed {
			a.retryAt = time.Time{}
			b.readUnknownLedger(ctx, a)
		}
	}
}

func (b *Balances) finishClose() {
	if b.closeReply == nil {
		return
	}
	for _, a := range b.teams {
		if !a.closed {
			return
		}
	}
	b.closeReply <- struct{}{}
	b.closeReply = nil
}
