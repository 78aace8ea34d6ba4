package owners

import (
	"context"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/allowance"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/tasks/balances"
)

// Refusal tells why the tokens of a request were not reserved.
type Refusal struct {
	Cause allowance.Cause
	// Parts are those of the balance, as the owner that answered last knows them. They
	// are empty if Cause is CauseNoOwner.
	Parts allowance.Parts
}

// attempts are the owners that were asked for one request and did not grant the amount.
type attempts struct {
	answers     map[core.HostID]allowance.Parts
	unreachable map[core.HostID]bool
	// last is the shortage that was answered last, nil if none was.
	last *allowance.Shortage
}

func (a *attempts) add(host core.HostID, grant balances.Grant, err error) {
	if a.answers == nil {
		a.answers, a.unreachable = make(map[core.HostID]allowance.Parts), make(map[core.HostID]bool)
	}
	switch {
	case err != nil:
		a.unreachable[host] = true
	case grant.Shortage != nil:
		a.last, a.answers[host] = grant.Shortage, grant.Shortage.Parts
	}
}

// findUnreachable asks which of the holders of a balance cannot be reached.
type findUnreachable struct {
	holders []allowance.HostTokens
	reply   chan<- []core.HostID
}

// unreachable returns the holders that are not in the list of serving hosts or are not
// asked because they did not answer.
func (o *Owners) unreachable(m findUnreachable, now time.Time) []core.HostID {
	serving := make(map[core.HostID]bool, len(o.members))
	for _, member := range o.members {
		serving[member.Host] = true
	}
	var hosts []core.HostID
	for _, holder := range m.holders {
		if !serving[holder.Host] || now.Before(o.backoffs[holder.Host].until) {
			hosts = append(hosts, holder.Host)
		}
	}
	return hosts
}

// refused returns the reservation with the cause of its refusal.
func (o *Owners) refused(ctx context.Context, r Reservation, seen attempts) Reservation {
	r.Refusal = &Refusal{Cause: allowance.CauseNoOwner}
	if seen.last == nil {
		return r
	}
	hosts, err := task.Ask(ctx, o.inbox, func(reply chan<- []core.HostID) any { return findUnreachable{seen.last.Holders, reply} })
	if err != nil {
		return r // the request or the task has ended
	}
	for _, host := range hosts {
		// An owner that answered this request was reached, whatever came before.
		if _, answered := seen.answers[host]; !answered {
			seen.unreachable[host] = true
		}
	}
	r.Refusal.Parts = seen.last.Locate(seen.answers, seen.unreachable)
	r.Refusal.Cause = r.Refusal.Parts.Cause(r.Amount, r.Grant.StoreAway)
	return r
}
