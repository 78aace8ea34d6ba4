// Package owners reserves tokens with the hosts that own a team's balance, one
// in each zone, and reports to them what was spent. It also answers the other
// hosts for the balances that this host owns.
package owners

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/allowance"
	"github.com/peridotreel/peridotreel/internal/peerrpc"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/tasks/balances"
)

const (
	// inboxSize holds the messages of some hundred requests in flight.
	inboxSize = 1024
	// firstWait is how long each owner may take to fetch tokens before the next
	// is asked. A call of the store takes some 10 ms.
	firstWait = 100 * time.Millisecond
	// answerTime is the time beyond its wait in which an owner answers. Zones
	// are a few milliseconds apart, and small hosts stop for parts of 100 ms.
	answerTime = 120 * time.Millisecond
	// patientAnswerTime is likewise for the last owner that is asked, who may
	// let a request wait until its pledge grows.
	patientAnswerTime = 2 * time.Second
	// avoidLeast and avoidMost bound the time for which an owner that did not
	// answer is not asked. It doubles while the owner stays away.
	avoidLeast = time.Second
	avoidMost  = 8 * time.Second
	// leavingTime is how long an owner that leaves is not asked; it has ended
	// by then, and the list of hosts says so.
	leavingTime = 10 * time.Second
)

// Balances holds this host's part of the balances.
type Balances interface {
	Reserve(ctx context.Context, request balances.Request) (balances.Grant, error)
	Settle(team core.TeamName, reserved, spent core.Tokens)
	SetMembers(members []allowance.Member)
	Retire()
}

// Config describes the task.
type Config struct {
	Process  allowance.Process
	Zone     core.ZoneName
	Balances Balances
	Caller   peerrpc.Caller
	Log      *zap.Logger
	Now      func() time.Time
}

// Owners is the task. It owns the list of members, what it believes of them,
// the reservations held for other hosts and the settlements not delivered yet.
type Owners struct {
	config  Config
	inbox   *task.Inbox[any]
	members []allowance.Member
	avoided map[core.HostID]avoidance
	held    *allowance.Reservations
	outbox  outbox
	// number is that of the last reservation made elsewhere.
	number  uint64
	leaving bool
}

type avoidance struct {
	until time.Time
	span  time.Duration
}

// New returns the task.
func New(config Config) *Owners {
	return &Owners{
		config: config, inbox: task.NewInbox[any](inboxSize), avoided: make(map[core.HostID]avoidance),
		held: allowance.NewReservations(), outbox: newOutbox(),
	}
}

type setMembers []allowance.Member

type leave struct{}

// choose asks for the owners of a team and a number for each reservation.
type choose struct {
	team  core.TeamName
	reply chan<- chosen
}

type chosen struct {
	owners []allowance.Member
	// first is the number of the first of as many reservations as owners, and
	// one more.
	first uint64
}

// silent tells that an owner gave no answer.
type silent struct {
	host core.HostID
	err  error
}

// quitting tells that an owner takes no reservations any more.
type quitting struct{ host core.HostID }

type responded struct{ host core.HostID }

// SetMembers takes the list of hosts that serve.
func (o *Owners) SetMembers(members []allowance.Member) {
	_ = o.inbox.Send(context.Background(), setMembers(members))
}

// Leave ends the ownership of balances: other hosts are told to ask the next
// owner.
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
		o.tellBalances()
	case leave:
		o.leaving = true
		o.tellBalances()
		o.config.Balances.Retire()
	case choose:
		m.reply <- o.choose(m.team, now)
	case silent:
		o.avoid(m, now)
	case quitting:
		o.avoided[m.host] = avoidance{until: now.Add(leavingTime)}
	case responded:
		if _, found := o.avoided[m.host]; found {
			delete(o.avoided, m.host)
			o.config.Log.Info("owner regained", zap.String("event", "owner_regained"), zap.String("host", string(m.host)))
		}
	case keep:
		m.reply <- o.held.Keep(m.args.ID, m.args.Team, m.args.Amount, now)
	case isLeaving:
		m.reply <- o.leaving
	case settled:
		o.settled(m, now)
	case post:
		o.post(ctx, m, now)
	case delivered:
		o.delivered(ctx, m, now)
	case flush:
		o.flush(m)
	}
}

// serving returns the members that may own balances: a host that leaves is no
// longer among them.
func (o *Owners) serving() []allowance.Member {
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

func (o *Owners) tellBalances() { o.config.Balances.SetMembers(o.serving()) }

func (o *Owners) choose(team core.TeamName, now time.Time) chosen {
	owners := allowance.Owners(team, o.config.Zone, o.serving(), func(member allowance.Member) bool {
		return member.Host == o.config.Process.Host || !now.Before(o.avoided[member.Host].until)
	})
	if len(owners) == 0 {
		// No host is known yet, or none answers.
		owners = []allowance.Member{{Host: o.config.Process.Host, Zone: o.config.Zone}}
	}
	first := o.number + 1
	o.number += uint64(len(owners)) + 1
	return chosen{owners, first}
}

func (o *Owners) avoid(m silent, now time.Time) {
	before, found := o.avoided[m.host]
	span := avoidLeast
	if found {
		if now.Before(before.until) {
			return // a call that began before the first failure
		}
		span = min(max(2*before.span, avoidLeast), avoidMost)
	} else {
		o.config.Log.Warn("owner lost", zap.String("event", "owner_lost"), zap.String("host", string(m.host)),
			zap.Duration("avoided_for", span), zap.Error(m.err))
	}
	o.avoided[m.host] = avoidance{now.Add(span), span}
}
