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
	// serviceName is the name of the RPC service.
	serviceName   = "Owners"
	reserveMethod = serviceName + ".Reserve"
	settleMethod  = serviceName + ".Settle"
	// taskTimeout bounds the wait for the task in a call of another host.
	taskTimeout = time.Second
)

// ReserveArgs asks an owner to reserve tokens.
type ReserveArgs struct {
	ID     allowance.ReservationID
	Team   core.TeamName
	Amount core.Tokens
	// Wait is how long the owner may take to fetch tokens.
	Wait time.Duration
	// Patient is true if the owner may let the request wait beyond Wait until its
	// pledge allows the amount, and may recall tokens from other hosts.
	Patient bool
}

// ReserveReply is the answer to ReserveArgs.
type ReserveReply struct {
	Grant balances.Grant
	// Leaving is true if the host is leaving and refuses reservations.
	Leaving bool
}

// Settlement reports to an owner what was spent of a reservation.
type Settlement struct {
	ID    allowance.ReservationID
	Spent core.Tokens
}

// isLeaving asks whether this host is leaving.
type isLeaving struct{ reply chan<- bool }

// register registers an amount that was reserved for another host.
type register struct {
	args  ReserveArgs
	reply chan<- allowance.RegisterResult
}

type settlePeers []Settlement

// Handler serves the calls of other hosts.
type Handler struct{ owners *Owners }

// Register registers the task's RPC service.
func (o *Owners) Register(registrar peerrpc.Registrar) error {
	return registrar.RegisterName(serviceName, &Handler{o})
}

// Reserve reserves tokens for a request of another host.
func (h *Handler) Reserve(args ReserveArgs, reply *ReserveReply) error {
	o := h.owners
	ctx, cancel := context.WithTimeout(context.Background(), args.Wait+patientAnswerTimeout+taskTimeout)
	defer cancel()
	var err error
	reply.Leaving, err = task.Ask(ctx, o.inbox, func(reply chan<- bool) any { return isLeaving{reply} })
	if err != nil || reply.Leaving {
		return err
	}
	reply.Grant, err = o.config.Balances.Reserve(ctx, balances.Request{
		Team: args.Team, Amount: args.Amount, Deadline: o.config.Now().Add(args.Wait), Patient: args.Patient, FromPeer: true,
	})
	if err != nil || reply.Grant.Outcome != balances.Granted {
		return err
	}
	result, err := task.Ask(ctx, o.inbox, func(reply chan<- allowance.RegisterResult) any { return register{args, reply} })
	if err != nil || result != allowance.Registered {
		o.config.Balances.Settle(args.Team, args.Amount, 0)
	}
	if result == allowance.AlreadySettled {
		reply.Grant.Outcome = balances.Away
	}
	return err
}

// Settle settles reservations of another host. It replies with their number.
func (h *Handler) Settle(settlements []Settlement, count *int) error {
	ctx, cancel := context.WithTimeout(context.Background(), taskTimeout)
	defer cancel()
	*count = len(settlements)
	return h.owners.inbox.Send(ctx, settlePeers(settlements))
}

func (o *Owners) settleReservations(settlements settlePeers, now time.Time) {
	for _, s := range settlements {
		team, amount, found := o.reservations.Settle(s.ID, now)
		if !found {
			o.config.Log.Debug("settlement of an unknown reservation", zap.String("event", "settlement_unknown"),
				zap.String("process", s.ID.Process), zap.Uint64("number", s.ID.Number))
			continue
		}
		o.config.Balances.Settle(team, amount, s.Spent)
	}
}
