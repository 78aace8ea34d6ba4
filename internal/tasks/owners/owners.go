// Package owners reserves tokens at the hosts that own a team's balance, one in
// each zone, and reports to them what was spent. It also serves the reservations
// that other hosts make at this host.
package owners

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/allowance"
	"github.com/peridotreel/peridotreel/internal/decide/shortage"
	"github.com/peridotreel/peridotreel/internal/peerrpc"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/tasks/balances"
)

const (
	// inboxCapacity has room for the messages of some hundred requests in flight.
	inboxCapacity = 1024
	// firstAttemptWait is how long each owner may take to fetch tokens before the
	// next one is asked. A call to the store takes about 10 ms.
	firstAttemptWait = 100 * time.Millisecond
	// answerTimeout is how long after its wait an owner must have answered. The
	// delay between zones is a few milliseconds, and processes on small hosts can
	// pause for parts of 100 ms.
	answerTimeout = 120 * time.Millisecond
	// patientAnswerTimeout is the same for the last attempt, in which the owner
	// may let the request wait until its pledge allows the amount.
	patientAnswerTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the backoff after an owner did not answer.
	// It doubles while the owner does not answer.
	minBackoff = time.Second
	maxBackoff = 8 * time.Second
	// leavingBackoff is how long a leaving owner is not asked. By then it has
	// ended and is no longer in the list of hosts.
	leavingBackoff = 10 * time.Second
)

// Balances is this host's part of the balances.
type Balances interface {
	Reserve(ctx context.Context, request balances.Request) (balances.Grant, error)
	Settle(team core.TeamName, reserved, spent core.Tokens)
	SetMembers(members []allowance.Member)
	Retire()
}

// Config has the settings of the task and what it depends on.
type Config struct {
	Process  allowance.Process
	Zone     core.ZoneName
	Balances Balances
	Caller   peerrpc.Caller
	// LinkFull reports whether calls may fail for want of room in this host's link. nil means
	// that they never do.
	LinkFull func() bool
	Log      *zap.Logger
	Now      func() time.Time
}

// Owners is the task. Its state is the list of members, the backoff of those that
// do not answer, the reservations of other hosts at this one, and the settlements
// that are not delivered yet.
type Owners struct {
	config       Config
	inbox        *task.Inbox[any]
	members      []allowance.Member
	backoffs     map[core.HostID]backoff
	reservations *allowance.Reservations
	outbox       outbox
	// shortages are the teams of which requests were just refused.
	shortages *shortage.Table[Refusal]
	// lastNumber is the number of the last reservation at another host.
	lastNumber uint64
	leaving    bool
}

type backoff struct {
	until time.Time
	delay time.Duration
}

// New returns the task.
func New(config Config) *Owners {
	return &Owners{
		config: config, inbox: task.NewInbox[any](inboxCapacity), backoffs: make(map[core.HostID]backoff),
		reservations: allowance.NewReservations(), outbox: newOutbox(), shortages: shortage.New[Refusal](),
	}
}

type setMembers []allowance.Member

type leave struct{}

type totalsChanged struct{}

// chooseOwners asks for the owners of a team and the numbers of the reservations
// to make at them.
type chooseOwners struct {
	team   core.TeamName
	amount core.Tokens
	reply  chan<- chosenOwners
}

type chosenOwners struct {
	owners []allowance.Member
	// firstNumber is the first of len(owners)+1 consecutive numbers: one for each
	// owner, and one for the last attempt.
	firstNumber uint64
	// verdict is shortage.Refuse if the request is refused at once, and refusal then why.
	verdict shortage.Verdict
	refusal Refusal
}

// tokensRefused reports that the owners did not grant an amount, tokensGranted that they
// granted one to a team that was short.
type tokensRefused struct {
	team    core.TeamName
	amount  core.Tokens
	refusal Refusal
}

type tokensGranted struct {
	team   core.TeamName
	amount core.Tokens
}

// ownerFailed reports that a call to an owner failed.
type ownerFailed struct {
	host core.HostID
	err  error
}

// ownerLeaving reports that an owner is leaving and refuses reservations.
type ownerLeaving struct{ host core.HostID }

type ownerAnswered struct{ host core.HostID }

// SetMembers sets the list of serving hosts.
func (o *Owners) SetMembers(members []allowance.Member) {
	_ = o.inbox.Send(context.Background(), setMembers(members))
}

// TotalsChanged tells that teams may have other prepaid totals, so that requests are asked
// for again whose teams were short.
func (o *Owners) TotalsChanged() { _ = o.inbox.Send(context.Background(), totalsChanged{}) }

// Leave ends this host's ownership of balances. Other hosts are told to ask the
// next owner.
func (o *Owners) Leave() { _ = o.inbox.Send(context.Background(), leave{}) }

// Run handles messages until ctx ends.
func (o *Owners) Run(ctx context.Context) {
	defer o.inbox.Close()
	for {
		select {
		case message := <-o.inbox.Messages():
			o.handle(ctx, message)
		case <-ctx.Done():
			return
		}
	}
}

func (o *Owners) handle(ctx context.Context, message any) {
	now := o.config.Now()
	switch m := message.(type) {
	case setMembers:
		o.members = m
		o.shortages.SetHosts(len(m))
		o.updateBalances()
	case totalsChanged:
		o.shortages.Reset()
	case leave:
		o.leaving = true
		o.updateBalances()
		o.config.Balances.Retire()
	case chooseOwners:
		m.reply <- o.chooseFor(m, now)
	case tokensRefused:
		o.shortages.Refused(m.team, m.amount, m.refusal.Cause, m.refusal, now)
	case tokensGranted:
		o.shortages.Granted(m.team, m.amount)
	case findUnreachable:
		m.reply <- o.unreachable(m, now)
	case ownerFailed:
		o.backOff(m, now)
	case ownerLeaving:
		o.backoffs[m.host] = backoff{until: now.Add(leavingBackoff)}
	case ownerAnswered:
		if _, found := o.backoffs[m.host]; found {
			delete(o.backoffs, m.host)
			o.config.Log.Info("owner answers again", zap.String("event", "owner_regained"), zap.String("host", string(m.host)))
		}
	case register:
		m.reply <- o.reservations.Register(m.args.ID, m.args.Team, m.args.Amount, now)
	case isLeaving:
		m.reply <- o.leaving
	case settlePeers:
		o.settleReservations(m, now)
	case sendSettlement:
		o.enqueue(ctx, m, now)
	case deliveryResult:
		o.handleDelivery(ctx, m, now)
	case flush:
		o.flush(m)
	}
}

// servingMembers returns the members that may own balances. It leaves out this
// host once it is leaving.
func (o *Owners) servingMembers() []allowance.Member {
	if !o.leaving {
		return o.members
	}
	var others []allowance.Member
	for _, member := range o.members {
		if member.Host != o.config.Process.Host {
			others = append(others, member)
		}
	}
	return others
}

func (o *Owners) updateBalances() { o.config.Balances.SetMembers(o.servingMembers()) }

// chooseFor chooses the owners to ask for a request, unless it is refused at once.
func (o *Owners) chooseFor(m chooseOwners, now time.Time) chosenOwners {
	verdict, refusal := o.shortages.Decide(m.team, m.amount, now)
	if verdict == shortage.Refuse {
		return chosenOwners{verdict: verdict, refusal: refusal}
	}
	chosen := o.choose(m.team, now)
	chosen.verdict = verdict
	return chosen
}

func (o *Owners) choose(team core.TeamName, now time.Time) chosenOwners {
	owners := allowance.Owners(team, o.config.Zone, o.servingMembers(), func(member allowance.Member) bool {
		return member.Host == o.config.Process.Host || !now.Before(o.backoffs[member.Host].until)
	})
	if len(owners) == 0 {
		// No host is known yet, or none answers.
		owners = []allowance.Member{{Host: o.config.Process.Host, Zone: o.config.Zone}}
	}
	first := o.lastNumber + 1
	o.lastNumber += uint64(len(owners)) + 1
	return chosenOwners{owners: owners, firstNumber: first}
}

func (o *Owners) backOff(m ownerFailed, now time.Time) {
	if o.config.LinkFull != nil && o.config.LinkFull() {
		return // the owner may well answer others
	}
	previous, found := o.backoffs[m.host]
	delay := minBackoff
	if found {
		if now.Before(previous.until) {
			return // a call that began before the first failure
		}
		delay = min(max(2*previous.delay, minBackoff), maxBackoff)
	} else {
		o.config.Log.Warn("owner does not answer; backing off", zap.String("event", "owner_lost"), zap.String("host", string(m.host)),
			zap.Duration("avoided_for", delay), zap.Error(m.err))
	}
	o.backoffs[m.host] = backoff{now.Add(delay), delay}
}
