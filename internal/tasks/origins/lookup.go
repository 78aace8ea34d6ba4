package origins

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/allowance"
	"github.com/peridotreel/peridotreel/internal/decide/origin"
	"github.com/peridotreel/peridotreel/internal/peerrpc"
	"github.com/peridotreel/peridotreel/internal/task"
)

const (
	// serviceName is the name of the RPC service.
	serviceName   = "Origins"
	recordsMethod = serviceName + ".Records"
	findMethod    = serviceName + ".Find"
	// taskTimeout bounds the wait for the task in a call of another host.
	taskTimeout = time.Second
)

// RecordsArgs are records of streams that a host has begun.
type RecordsArgs struct{ Records []origin.Record }

// FindReply tells at which software an attempt's stream began.
type FindReply struct {
	Software string
	Known    bool
}

// Handler has the methods that other hosts call.
type Handler struct{ origins *Origins }

// Register makes the task's methods callable by other hosts.
func (o *Origins) Register(registrar peerrpc.Registrar) error {
	return registrar.RegisterName(serviceName, &Handler{o})
}

// Records adds records of another host.
func (h *Handler) Records(args RecordsArgs, _ *struct{}) error {
	ctx, cancel := context.WithTimeout(context.Background(), taskTimeout)
	defer cancel()
	for _, record := range args.Records {
		if err := h.origins.inbox.Send(ctx, add{record: record}); err != nil {
			return err
		}
	}
	return nil
}

// Find answers what this host knows of an attempt.
func (h *Handler) Find(attempt string, reply *FindReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), taskTimeout)
	defer cancel()
	known, err := h.origins.find(ctx, attempt)
	*reply = FindReply{known.software, known.known}
	return err
}

func (o *Origins) find(ctx context.Context, attempt string) (found, error) {
	return task.Ask(ctx, o.inbox, func(reply chan<- found) any { return find{attempt, reply} })
}

func (o *Origins) sendRecords(ctx context.Context, address string, records []origin.Record) {
	ctx, cancel := context.WithTimeout(ctx, taskTimeout)
	defer cancel()
	var reply struct{}
	if err := o.config.Caller.Call(ctx, core.Peer{Address: address}, recordsMethod, RecordsArgs{records}, &reply); err != nil {
		o.config.Log.Debug("records of streams were not delivered to a registrar", zap.String("event", "origins_not_sent"), zap.String("address", address), zap.Error(err))
	}
}

// Find returns the software at which the stream began that a request resumes, and
// false if it is not known: neither a host that answers nor the store has a record of
// the attempt, and more than one version can have served within age.
func (o *Origins) Find(ctx context.Context, attempt string, service core.ServiceName, age time.Duration) (string, bool) {
	if attempt != "" {
		known, err := o.find(ctx, attempt)
		if err != nil {
			return "", false
		}
		if known.known {
			return known.software, true
		}
		if software, found := o.askRegistrars(ctx, attempt, known.registrars); found {
			return software, true
		}
	}
	if software, sure := o.findOnly(ctx, service, age); sure || attempt == "" {
		return software, sure
	}
	return o.findSaved(ctx, attempt)
}

// askRegistrars asks the hosts that keep the record of an attempt.
func (o *Origins) askRegistrars(ctx context.Context, attempt string, registrars []allowance.Member) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	replies := make(chan FindReply, len(registrars))
	asked := 0
	for _, registrar := range registrars {
		if registrar.Host == o.config.Host {
			continue
		}
		asked++
		go func() {
			var reply FindReply
			if err := o.config.Caller.Call(ctx, core.Peer{Address: registrar.Address}, findMethod, attempt, &reply); err != nil {
				reply = FindReply{}
			}
			replies <- reply
		}()
	}
	for range asked {
		if reply := <-replies; reply.Known {
			return reply.Software, true
		}
	}
	return "", false
}

// findOnly returns the only version at which a stream can have begun. It reads the
// history first: how old an earlier read is cannot be told after the process has been
// suspended, as its clock does not count that time.
func (o *Origins) findOnly(ctx context.Context, service core.ServiceName, age time.Duration) (string, bool) {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	result, _ := o.readHistory(readCtx, service)
	if result.err != nil || o.inbox.Send(ctx, result) != nil {
		return "", false
	}
	answer, err := task.Ask(ctx, o.inbox, func(reply chan<- onlyReply) any { return only{service, age, reply} })
	return answer.software, err == nil && answer.sure
}
