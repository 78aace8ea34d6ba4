package owners

import (
	"context"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/allowance"
	"github.com/peridotreel/peridotreel/internal/decide/shortage"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/tasks/balances"
)

// Reservation is an amount that an owner has reserved for one request.
type Reservation struct {
	Team   core.TeamName
	Amount core.Tokens
	Grant  balances.Grant
	// Owner is the host that was asked last; it holds the amount if it was granted.
	Owner allowance.Member
	// Refusal tells why the amount was not granted; nil if it was.
	Refusal *Refusal
	id      allowance.ReservationID
}

// Reserve reserves an amount of a team's balance at the owner in this zone, or else
// at that of another zone. If no owner grants the amount by the deadline, it
// returns a reservation whose grant has another outcome than Granted.
func (o *Owners) Reserve(ctx context.Context, team core.TeamName, amount core.Tokens, deadline time.Time) (Reservation, error) {
	chosen, err := task.Ask(ctx, o.inbox, func(reply chan<- chosenOwners) any { return chooseOwners{team, amount, reply} })
	if err != nil {
		return Reservation{}, err
	}
	r := Reservation{Team: team, Amount: amount, Grant: balances.Grant{Outcome: balances.Away}}
	if chosen.verdict == shortage.Refuse {
		r.Refusal = &chosen.refusal
		r.Grant.StoreAway = chosen.refusal.Cause == allowance.CauseStoreAway
		return r, nil
	}
	// retryOwner is the first owner that answered. It is asked again after all
	// others and may then let the request wait longer.
	var retryOwner *allowance.Member
	var seen attempts
	for i, owner := range chosen.owners {
		err = o.tryOwner(ctx, &r, owner, chosen.firstNumber+uint64(i), min(firstAttemptWait, deadline.Sub(o.config.Now())), false)
		if err == nil && r.Grant.Outcome == balances.Granted {
			o.noteGranted(ctx, team, amount, chosen.verdict)
			return r, nil
		}
		seen.add(owner.Host, r.Grant, err)
		if err == nil && r.Grant.Outcome == balances.Spent {
			return o.refused(ctx, r, seen), nil
		}
		if err == nil && retryOwner == nil {
			retryOwner = &chosen.owners[i]
		}
	}
	if retryOwner != nil {
		err = o.tryOwner(ctx, &r, *retryOwner, chosen.firstNumber+uint64(len(chosen.owners)), deadline.Sub(o.config.Now()), true)
		if err == nil && r.Grant.Outcome == balances.Granted {
			o.noteGranted(ctx, team, amount, chosen.verdict)
			return r, nil
		}
		seen.add(retryOwner.Host, r.Grant, err)
	}
	r = o.refused(ctx, r, seen)
	_ = o.inbox.Send(ctx, tokensRefused{team, amount, *r.Refusal})
	if retryOwner == nil && err != nil {
		return r, err
	}
	return r, nil
}

// noteGranted ends the shortage of a team that was short.
func (o *Owners) noteGranted(ctx context.Context, team core.TeamName, amount core.Tokens, verdict shortage.Verdict) {
	if verdict == shortage.Probe {
		_ = o.inbox.Send(ctx, tokensGranted{team, amount})
	}
}

// tryOwner asks one owner and records its answer in the reservation.
func (o *Owners) tryOwner(ctx context.Context, r *Reservation, owner allowance.Member, number uint64, wait time.Duration, patient bool) error {
	r.Owner, r.id = owner, allowance.ReservationID{Process: o.config.Process.String(), Number: number}
	grant, err := o.callOwner(ctx, *r, wait, patient)
	if err == nil {
		r.Grant = grant
	}
	return err
}

// callOwner asks one owner, which may be this host, for the amount of r.
func (o *Owners) callOwner(ctx context.Context, r Reservation, wait time.Duration, patient bool) (balances.Grant, error) {
	wait = max(wait, 0)
	if r.Owner.Host == o.config.Process.Host {
		return o.config.Balances.Reserve(ctx, balances.Request{Team: r.Team, Amount: r.Amount, Deadline: o.config.Now().Add(wait), Patient: patient})
	}
	timeout := answerTimeout
	if patient {
		timeout = patientAnswerTimeout
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+timeout)
	defer cancel()
	args := ReserveArgs{ID: r.id, Team: r.Team, Amount: r.Amount, Wait: wait, Patient: patient}
	var reply ReserveReply
	err := o.config.Caller.Call(callCtx, core.Peer{Address: r.Owner.Address}, reserveMethod, args, &reply)
	switch {
	case err != nil:
		// The owner may hold the amount all the same.
		o.Settle(Reservation{Team: r.Team, Amount: r.Amount, Owner: r.Owner, id: r.id}, 0)
		if ctx.Err() == nil && !patient {
			_ = o.inbox.Send(ctx, ownerFailed{r.Owner.Host, err})
		}
		return balances.Grant{}, err
	case reply.Leaving:
		_ = o.inbox.Send(ctx, ownerLeaving{r.Owner.Host})
		return balances.Grant{Outcome: balances.Away}, nil
	}
	_ = o.inbox.Send(ctx, ownerAnswered{r.Owner.Host})
	return reply.Grant, nil
}

// Settle ends a reservation and reports how much of it was spent.
func (o *Owners) Settle(r Reservation, spent core.Tokens) {
	if r.Owner.Host == o.config.Process.Host {
		o.config.Balances.Settle(r.Team, r.Amount, spent)
		return
	}
	_ = o.inbox.Send(context.Background(), sendSettlement{r.Owner, Settlement{ID: r.id, Spent: spent}})
}
