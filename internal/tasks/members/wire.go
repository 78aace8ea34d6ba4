package members

import (
	"context"
	"errors"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/membership"
	"github.com/peridotreel/peridotreel/internal/peerrpc"
	"github.com/peridotreel/peridotreel/internal/task"
)

const (
	// receiverName is the name under which peers call the receiver.
	receiverName      = "Members"
	pingMethod        = receiverName + ".Ping"
	pingRequestMethod = receiverName + ".PingRequest"
	pageMethod        = receiverName + ".Page"
	// handlerTimeout bounds how long a peer's call waits for the task. A later
	// answer would usually arrive after the peer's timeout.
	handlerTimeout = 500 * time.Millisecond
)

// WireFact is the encoding of membership.Fact. Its field names are short because
// gob sends them on each new connection.
type WireFact struct {
	H core.HostID
	I core.Incarnation
	// N is the number of refutations, S the liveness, L true if leaving.
	N uint32
	S uint8
	L bool
	Z core.ZoneName
	A string
	// W is the wire version, R the table revision, C the reporter of a suspicion.
	W int
	R int64
	C core.HostID
}

// WireMessage is the encoding of membership.Message.
type WireMessage struct {
	F WireFact
	U []WireFact
}

// PingRequestArgs asks the receiver, as a relay, to ping a process.
type PingRequestArgs struct {
	Message WireMessage
	Host    core.HostID
	Inc     core.Incarnation
	Address string
	// WaitMillis is how long the requester waits for the reply.
	WaitMillis int64
}

// PingRequestReply reports whether the process answered.
type PingRequestReply struct {
	Message WireMessage
	Reached bool
}

// PageArgs asks for the receiver's facts about the hosts after After.
type PageArgs struct {
	Message WireMessage
	After   core.HostID
}

// PageReply is one page of a host's facts.
type PageReply struct {
	Message WireMessage
	More    bool
}

func factToWire(f membership.Fact) WireFact {
	return WireFact{H: f.Ref.Host, I: f.Ref.Incarnation, N: f.Refutations, S: uint8(f.Liveness), L: f.Leaving,
		Z: f.Zone, A: f.Address, W: f.Wire, R: f.Revision, C: f.Reporter}
}

func factFromWire(w WireFact) membership.Fact {
	return membership.Fact{Ref: core.HostRef{Host: w.H, Incarnation: w.I}, Refutations: w.N,
		Liveness: membership.Liveness(w.S), Leaving: w.L, Zone: w.Z, Address: w.A, Wire: w.W, Revision: w.R, Reporter: w.C}
}

func toWire(message membership.Message) WireMessage {
	wire := WireMessage{F: factToWire(message.From)}
	for _, fact := range message.Updates {
		wire.U = append(wire.U, factToWire(fact))
	}
	return wire
}

func fromWire(wire WireMessage) membership.Message {
	message := membership.Message{From: factFromWire(wire.F)}
	for _, fact := range wire.U {
		message.Updates = append(message.Updates, factFromWire(fact))
	}
	return message
}

// receiver has the methods that peers call.
type receiver struct {
	task *Task
}

// Register makes the task's methods callable by peers.
func (t *Task) Register(registrar peerrpc.Registrar) error {
	return registrar.RegisterName(receiverName, receiver{t})
}

var errNoSender = errors.New("the message has no sender; the peer's binary is broken")

// Ping merges the message of a peer and answers with one.
func (r receiver) Ping(args WireMessage, reply *WireMessage) error {
	if args.F.H == "" {
		return errNoSender
	}
	answer, err := askGossip(r.task, func(reply chan<- membership.Message) any {
		return pingReceived{message: fromWire(args), reply: reply}
	})
	*reply = toWire(answer)
	return err
}

// Page answers with one page of this host's facts.
func (r receiver) Page(args PageArgs, reply *PageReply) error {
	if args.Message.F.H == "" {
		return errNoSender
	}
	answer, err := askGossip(r.task, func(reply chan<- page) any {
		return pageRequested{message: fromWire(args.Message), after: args.After, reply: reply}
	})
	*reply = PageReply{Message: toWire(answer.message), More: answer.more}
	return err
}

// PingRequest pings a process for a peer that got no answer from it. The
// handler's goroutine owns the call.
func (r receiver) PingRequest(args PingRequestArgs, reply *PingRequestReply) error {
	if args.Message.F.H == "" {
		return errNoSender
	}
	target := core.HostRef{Host: args.Host, Incarnation: args.Inc}
	ping, err := askGossip(r.task, func(reply chan<- membership.Message) any {
		return pingRequestReceived{message: fromWire(args.Message), target: target, reply: reply}
	})
	if err != nil {
		return err
	}
	// Half of the requester's wait leaves time to reply that the target does not
	// answer.
	wait := min(time.Duration(args.WaitMillis)*time.Millisecond/2, handlerTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	var answer WireMessage
	err = r.task.config.Caller.Call(ctx, core.Peer{Ref: target, Address: args.Address}, pingMethod, toWire(ping), &answer)
	reached := err == nil && answer.F.H == target.Host && answer.F.I >= target.Incarnation
	final, err := askGossip(r.task, func(reply chan<- membership.Message) any {
		return pingRequestDone{answered: err == nil, answer: fromWire(answer), requester: args.Message.F.ref(), reply: reply}
	})
	*reply = PingRequestReply{Message: toWire(final), Reached: reached}
	return err
}

func (w *WireFact) ref() core.HostRef {
	return core.HostRef{Host: w.H, Incarnation: w.I}
}

// askGossip sends a peer's message to the task and waits for the answer. A full
// inbox drops its oldest message; its sender gets no answer and counts this host
// as slow, which it is.
func askGossip[R any](t *Task, build func(reply chan<- R) any) (R, error) {
	ctx, cancel := context.WithTimeout(context.Background(), handlerTimeout)
	defer cancel()
	reply := make(chan R, 1)
	for !t.gossip.TrySend(build(reply)) {
		select {
		case <-t.gossip.Messages():
			t.metrics.dropped.Add(ctx, 1)
		case <-ctx.Done():
			return *new(R), task.ErrOverloaded
		}
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		return *new(R), task.ErrOverloaded
	}
}
