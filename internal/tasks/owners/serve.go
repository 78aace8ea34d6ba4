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
	// serviceName is the name of the receiver of peers' calls.
	serviceName   = "Owners"
	reserveMethod = serviceName + ".Reserve"
	settleMethod  = serviceName + ".Settle"
	// registerTime bounds the wait for the task when a call is answered.
	registerTime = time.Second
)

// ReserveArgs asks an owner to reserve tokens.
type ReserveArgs struct {
	ID     allowance.ReservationID
	Team   core.TeamName
	Amount core.Tokens
	// Wait is how long the owner may take to fetch tokens.
	Wait time.Duration
	// Patient is set if the owner may let the request wait beyond Wait until its
	// pledge allows the amount, and may recall tokens of other hosts.
	Patient bool
}

// ReserveReply is the answer.
type ReserveReply struct {
	Grant balances.Grant
	// Leaving means that the host takes no reservations any more.
	Leaving bool
}

// Settlement tells an owner what was spent of a reservation.
type Settlement struct {
	ID    allowance.ReservationID
	Spent core.Tokens
}

// isLeaving asks whether the host takes no reservations any more.
type isLeaving struct{ reply chan<- bool }

// keep registers an amount that was reserved for another host.
type keep struct {
	args  ReserveArgs
	reply chan<- allowance.Verdict
}

type settled []Settlement

// Handler is the receiver of peers' calls.
type Handler struct{ owners *Owners }

// Register makes the task's handler available to peers.
func (o *Owners) Register(registrar peerrpc.Registrar) error {
	return registrar.RegisterName(serviceName, &Handler{o})
}

// Reserve answers a host that needs tokens for a request.
func (h *Handler) Reserve(args ReserveArgs, reply *ReserveReply) error {
	o := h.owners
	ctx, cancel := context.WithTimeout(context.Background(), args.Wait+patientAnswerTime+registerTime)
	defer cancel()
	var err error
	reply.Leaving, err = task.Ask(ctx, o.inbox, func(reply chan<- bool) any { return isLeaving{reply} })
	if err != nil || reply.Leaving {
		return err
	}
	reply.Grant, err = o.config.Balances.Reserve(ctx, balances.Request{
		Team: args.Team, Amount: args.Amount, Until: o.config.Now().Add(args.Wait), Patient: args.Patient, Foreign: true,
	})
	if err != nil || reply.Grant.Outcome != balances.Granted {
		return err
	}
	verdict, err := task.Ask(ctx, o.inbox, func(reply chan<- allowance.Verdict) any { return keep{args, reply} })
	if err != nil || verdict != allowance.Kept {
		o.config.Balances.Settle(args.Team, args.Amount, 0)
	}
	if verdict == allowance.Abandoned {
		reply.Grant.Outcome = balances.Away
	}
	return err
}

// Settle takes what other hosts have spent. The reply is their number.
func (h *Handler) Settle(settlements []Settlement, count *int) error {
	ctx, cancel := context.WithTimeout(context.Background(), registerTime)
	defer cancel()
	*count = len(settlements)
	return h.owners.inbox.Send(ctx, settled(settlements))
}

func (o *Owners) settled(settlements settled, now time.Time) {
	for _, s := range settlements {
		team, amount, found := o.held.Settle(s.ID, now)
		if !found {
			o.config.Log.Debug("settlement of a reservation that is not held", zap.String("event", "settlement_unknown"),
				zap.String("process", s.ID.Process), zap.Uint64("number", s.ID.Number))
			continue
		}
		o.config.Balances.Settle(team, amount, s.Spent)
	}
}
