package shares

import (
	"context"
	"fmt"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/budget"
	"github.com/peridotreel/peridotreel/internal/peerrpc"
	"github.com/peridotreel/peridotreel/internal/task"
)

// ReceiverName is the name under which the receiver is registered with
// peerrpc.Registrar.
const ReceiverName = "Shares"

// Status is the outcome of a peer's request.
type Status uint8

// The statuses. Their numbers are part of the wire format.
const (
	StatusGranted Status = iota + 1
	StatusExhausted
	StatusShareReleased
	StatusBudgetNotFound
	StatusUnavailable
)

// DrawArgs asks the owner of a budget in this zone for tokens.
type DrawArgs struct {
	Wire     int
	Share    core.ShareID
	Sequence uint64
	Need     core.Tokens
	Want     core.Tokens
	// Billed, Credited and Returned are the holder's cumulative totals.
	Billed   core.Tokens
	Credited core.Tokens
	Returned core.Tokens
}

// ReturnArgs reports totals to the owner of a budget in this zone, which
// returns the holder's returned tokens to the budget.
type ReturnArgs struct {
	Wire     int
	Share    core.ShareID
	Billed   core.Tokens
	Credited core.Tokens
	Returned core.Tokens
}

// LedgerReply is the state of the holder's share after a request.
type LedgerReply struct {
	Wire     int
	Status   Status
	Granted  core.Tokens
	Billed   core.Tokens
	Credited core.Tokens
	Returned core.Tokens
	Moved    core.Tokens
	// WrittenOff was billed after the release and could not be paid.
	WrittenOff core.Tokens
	Sequence   uint64
	Remaining  core.Tokens
}

// RecallArgs asks a holder to transfer available tokens to another holder.
type RecallArgs struct {
	Wire int
	// Share is the receiver's share.
	Share core.ShareID
	Need  core.Tokens
}

// RecallReply tells how many tokens the holder transferred in the table.
type RecallReply struct {
	Wire  int
	Given core.Tokens
}

// Receiver is the net/rpc receiver of the shares task.
type Receiver struct {
	inbox *task.Inbox[message]
}

// peerRequestTimeout bounds the handling of a peer's request; the peer's own
// timeout is shorter.
const peerRequestTimeout = 2 * time.Second

func checkWire(wire int) error {
	if wire < 1 || wire > peerrpc.WireVersion {
		return fmt.Errorf("wire version %d is not supported; this host reads up to %d, upgrade it first", wire, peerrpc.WireVersion)
	}
	return nil
}

// Draw grants tokens to a host of this zone.
func (r *Receiver) Draw(args DrawArgs, reply *LedgerReply) error {
	if err := checkWire(args.Wire); err != nil {
		return err
	}
	return r.serve(budget.Request{
		Share: args.Share, Sequence: args.Sequence, Need: args.Need, Want: args.Want,
		Billed: args.Billed, Credited: args.Credited, Returned: args.Returned,
	}, reply)
}

// Return applies the totals of a host of this zone.
func (r *Receiver) Return(args ReturnArgs, reply *LedgerReply) error {
	if err := checkWire(args.Wire); err != nil {
		return err
	}
	return r.serve(budget.Request{Share: args.Share, Billed: args.Billed, Credited: args.Credited, Returned: args.Returned}, reply)
}

func (r *Receiver) serve(request budget.Request, reply *LedgerReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), peerRequestTimeout)
	defer cancel()
	result, err := task.Ask(ctx, r.inbox, func(replies chan<- requestResult) message { return &serveRequest{request, replies} })
	if err != nil {
		return err
	}
	*reply = encodeReply(result)
	return nil
}

// Recall transfers available tokens of this host to another holder.
func (r *Receiver) Recall(args RecallArgs, reply *RecallReply) error {
	if err := checkWire(args.Wire); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerRequestTimeout)
	defer cancel()
	given, err := task.Ask(ctx, r.inbox, func(replies chan<- core.Tokens) message {
		return &recallRequest{to: args.Share, need: args.Need, reply: replies}
	})
	*reply = RecallReply{Wire: peerrpc.WireVersion, Given: given}
	return err
}

func encodeReply(result requestResult) LedgerReply {
	reply := LedgerReply{
		Wire: peerrpc.WireVersion, Status: StatusUnavailable,
		Granted: result.Share.Granted, Billed: result.Share.Billed, Credited: result.Share.Credited, Returned: result.Share.Returned,
		Moved: result.Share.Moved, WrittenOff: result.Share.WrittenOff,
		Sequence: result.Share.Sequence, Remaining: result.Remaining,
	}
	if result.err != nil {
		return reply
	}
	switch result.Outcome {
	case budget.Granted:
		reply.Status = StatusGranted
	case budget.Exhausted:
		reply.Status = StatusExhausted
	case budget.ShareReleased:
		reply.Status = StatusShareReleased
	case budget.BudgetNotFound:
		reply.Status = StatusBudgetNotFound
	}
	return reply
}

// decodeReply returns the answer in a reply, or an error if the owner could not
// reach the platform.
func decodeReply(id core.ShareID, reply LedgerReply) (budget.Answer, error) {
	answer := budget.Answer{Remaining: reply.Remaining, Share: budget.Share{
		ID: id, Granted: reply.Granted, Billed: reply.Billed, Credited: reply.Credited, Returned: reply.Returned,
		Moved: reply.Moved, WrittenOff: reply.WrittenOff, Sequence: reply.Sequence, State: budget.Open,
	}}
	switch reply.Status {
	case StatusGranted:
		answer.Outcome = budget.Granted
	case StatusExhausted:
		answer.Outcome = budget.Exhausted
	case StatusShareReleased:
		answer.Outcome = budget.ShareReleased
		answer.Share.State = budget.Released
	case StatusBudgetNotFound:
		answer.Outcome = budget.BudgetNotFound
	default:
		return budget.Answer{}, fmt.Errorf("the zone's owner of budget %s can't reach the platform; try another host", id.Budget)
	}
	return answer, nil
}
