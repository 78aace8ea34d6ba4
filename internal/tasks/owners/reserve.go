package owners

import (
	"context"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/allowance"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/tasks/balances"
)

// Reservation is an amount that an owner holds for one request.
type Reservation struct {
	Team   core.TeamName
	Amount core.Tokens
	Grant  balances.Grant
	// Owner holds the amount.
	Owner allowance.Member
	id    allowance.ReservationID
}

// Reserve takes an amount of a team's balance from the owner in this zone, else
// from that of another. It returns a reservation whose grant is not Granted if
// no owner could give the amount by a time.
func (o *Owners) Reserve(ctx context.Context, team core.TeamName, amount core.Tokens, until time.Time) (Reservation, error) {
	chosen, err := task.Ask(ctx, o.inbox, func(reply chan<- chosen) any { return choose{team, reply} })
	if err != nil {
		return Reservation{}, err
	}
	r := Reservation{Team: team, Amount: amount, Grant: balances.Grant{Outcome: balances.Away}}
	// The first owner that answers is asked again at the end, with patience.
	var last *allowance.Member
	for i, owner := range chosen.owners {
		err = o.try(ctx, &r, owner, chosen.first+uint64(i), min(firstWait, until.Sub(o.config.Now())), false)
		if err == nil && r.Grant.Outcome != balances.Away {
			return r, nil
		}
		if err == nil && last == nil {
			last = &chosen.owners[i]
		}
	}
	if last != nil {
		err = o.try(ctx, &r, *last, chosen.first+uint64(len(chosen.owners)), until.Sub(o.config.Now()), true)
	}
	if last == nil && err != nil {
		return r, err
	}
	return r, nil
}

// try asks one owner and notes its answer in the reservation.
func (o *Owners) try(ctx context.Context, r *Reservation, owner allowance.Member, number uint64, wait time.Duration, patient bool) error {
	r.Owner, r.id = owner, allowance.ReservationID{Process: o.config.Process.String(), Number: number}
	grant, err := o.reserveAt(ctx, *r, wait, patient)
	if err == nil {
		r.Grant = grant
	}
	return err
}

// reserveAt asks one owner.
func (o *Owners) reserveAt(ctx context.Context, r Reservation, wait time.Duration, patient bool) (balances.Grant, error) {
	wait = max(wait, 0)
	if r.Owner.Host == o.config.Process.Host {
		return o.config.Balances.Reserve(ctx, balances.Request{Team: r.Team, Amount: r.Amount, Until: o.config.Now().Add(wait), Patient: patient})
	}
	answerTime := answerTime
	if patient {
		answerTime = patientAnswerTime
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+answerTime)
	defer cancel()
	args := ReserveArgs{ID: r.id, Team: r.Team, Amount: r.Amount, Wait: wait, Patient: patient}
	var reply ReserveReply
	err := o.config.Caller.Call(callCtx, core.Peer{Address: r.Owner.Address}, reserveMethod, args, &reply)
	switch {
	case err != nil:
		// The owner may hold the amount all the same.
		o.Settle(Reservation{Team: r.Team, Amount: r.Amount, Owner: r.Owner, id: r.id}, 0)
		if ctx.Err() == nil && !patient {
			_ = o.inbox.Send(ctx, silent{r.Owner.Host, err})
		}
		return balances.Grant{}, err
	case reply.Leaving:
		_ = o.inbox.Send(ctx, quitting{r.Owner.Host})
		return balances.Grant{Outcome: balances.Away}, nil
	}
	_ = o.inbox.Send(ctx, responded{r.Owner.Host})
	return reply.Grant, nil
}

// Settle ends a reservation with what was spent of it.
func (o *Owners) Settle(r Reservation, spent core.Tokens) {
	if r.Owner.Host == o.config.Process.Host {
		o.config.Balances.Settle(r.Team, r.Amount, spent)
		return
	}
	_ = o.inbox.Send(context.Background(), post{r.Owner, Settlement{ID: r.id, Spent: spent}})
}
