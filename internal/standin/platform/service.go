package platform

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/task"
)

// inboxCapacity bounds the operations that wait for the service's task.
const inboxCapacity = 1024

// Service is the platform in one process. Its task owns the state; callers
// in any goroutine use it as platform.Table, Objects and Directory.
type Service struct {
	settings Settings
	inbox    *task.Inbox[func(*state)]
	commits  atomic.Int64
	reads    atomic.Int64
}

type state struct {
	store   *Store
	objects map[string][]byte
	weights map[string][]byte
	members memberList
	rates   rates
	fault   Fault
}

// NewService returns a service without limits and lag, for tests. It answers
// once its Run method runs.
func NewService() *Service {
	return NewServiceWith(Settings{})
}

// NewServiceWith returns a service with the given limits. It answers once its
// Run method runs.
func NewServiceWith(settings Settings) *Service {
	return &Service{settings: settings, inbox: task.NewInbox[func(*state)](inboxCapacity)}
}

// Run handles operations until ctx ends.
func (s *Service) Run(ctx context.Context) {
	defer s.inbox.Close()
	owned := &state{
		store: NewStore(), objects: make(map[string][]byte), weights: make(map[string][]byte),
		members: memberList{lag: s.settings.MembersLag},
		rates:   newRates(s.settings, time.Now()),
		fault:   Fault{Mode: ModeNone},
	}
	for {
		select {
		case operation := <-s.inbox.Messages():
			operation(owned)
		case <-ctx.Done():
			return
		}
	}
}

type reply[R any] struct {
	value R
	err   error
	// delay postpones the answer in slow mode; the caller waits for it, as
	// the service's task must not.
	delay time.Duration
}

// perform runs an operation in the service's task under the fault in force.
func perform[R any](ctx context.Context, s *Service, kind Operation, operation func(*state) (R, error)) (R, error) {
	answer, err := task.Ask(ctx, s.inbox, func(replies chan<- reply[R]) func(*state) {
		return func(owned *state) { replies <- underFault(owned, kind, operation) }
	})
	if err != nil {
		return answer.value, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	if answer.delay > 0 {
		if err := task.Sleep(ctx, answer.delay); err != nil {
			return answer.value, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
		}
	}
	return answer.value, answer.err
}

func underFault[R any](owned *state, kind Operation, operation func(*state) (R, error)) reply[R] {
	mode := owned.fault.modeOf(kind)
	if mode == ModeDown {
		return reply[R]{err: platform.ErrUnavailable}
	}
	if err := owned.rates.take(kind, time.Now()); err != nil {
		return reply[R]{err: err}
	}
	value, err := operation(owned)
	switch mode {
	case ModeLoseReply:
		return reply[R]{err: errLost}
	case ModeSlow:
		return reply[R]{value, err, owned.fault.Delay}
	default:
		return reply[R]{value, err, 0}
	}
}

// control runs an operation in the service's task whatever the fault. It does
// nothing when the task has ended.
func (s *Service) control(operation func(*state)) {
	_, err := task.Ask(context.Background(), s.inbox, func(done chan<- struct{}) func(*state) {
		return func(owned *state) {
			operation(owned)
			done <- struct{}{}
		}
	})
	_ = err // the only error is task.ErrStopped
}

// SetFault shows a fault until another replaces it. An invalid fault is
// refused.
func (s *Service) SetFault(fault Fault) error {
	if err := fault.Validate(); err != nil {
		return err
	}
	fault.Operations = slices.Clone(fault.Operations)
	s.control(func(owned *state) { owned.fault = fault })
	return nil
}

// SetWeights stores a file of weights.
func (s *Service) SetWeights(name string, content []byte) {
	s.control(func(owned *state) { owned.weights[name] = slices.Clone(content) })
}

// SetMode shows a fault of all operations, without delay.
func (s *Service) SetMode(mode Mode) {
	s.control(func(owned *state) { owned.fault = Fault{Mode: mode} })
}

// SetMembers replaces the list of machines; the change becomes visible after
// the list's lag.
func (s *Service) SetMembers(members []platform.Member) {
	members = slices.Clone(members)
	s.control(func(owned *state) { owned.members.replace(members, time.Now()) })
}

// Operations returns how many commits and reads the service has handled.
func (s *Service) Operations() (commits, reads int64) {
	return s.commits.Load(), s.reads.Load()
}

// Commit implements platform.Table.
func (s *Service) Commit(ctx context.Context, commit platform.Commit) (platform.Revision, error) {
	s.commits.Add(1)
	return perform(ctx, s, OperationCommit, func(owned *state) (platform.Revision, error) { return owned.store.Commit(commit) })
}

// Get implements platform.Table.
func (s *Service) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	s.reads.Add(1)
	return perform(ctx, s, OperationGet, func(owned *state) ([]platform.Row, error) { return owned.store.Get(keys...), nil })
}

// List implements platform.Table.
func (s *Service) List(ctx context.Context, prefix string) ([]platform.Row, error) {
	s.reads.Add(1)
	return perform(ctx, s, OperationList, func(owned *state) ([]platform.Row, error) { return owned.store.List(prefix), nil })
}

// Changes implements platform.Table.
func (s *Service) Changes(ctx context.Context, since platform.Revision, prefixes []string) (platform.ChangeSet, error) {
	s.reads.Add(1)
	return perform(ctx, s, OperationChanges, func(owned *state) (platform.ChangeSet, error) {
		return owned.store.Changes(since, prefixes), nil
	})
}

// Put implements platform.Objects.
func (s *Service) Put(ctx context.Context, name string, content []byte) error {
	_, err := perform(ctx, s, OperationPutObject, func(owned *state) (struct{}, error) {
		owned.objects[name] = slices.Clone(content)
		return struct{}{}, nil
	})
	return err
}

type object struct {
	content []byte
	found   bool
}

// Get returns an object; see platform.Objects.
func (s *Service) object(ctx context.Context, name string) (object, error) {
	return perform(ctx, s, OperationGetObject, func(owned *state) (object, error) {
		content, found := owned.objects[name]
		return object{slices.Clone(content), found}, nil
	})
}

// weights returns a file of weights.
func (s *Service) weights(ctx context.Context, name string) (object, error) {
	return perform(ctx, s, OperationWeights, func(owned *state) (object, error) {
		content, found := owned.weights[name]
		return object{content, found}, nil
	})
}

// ObjectNames returns the names of all objects in order.
func (s *Service) ObjectNames() []string {
	var names []string
	s.control(func(owned *state) { names = slices.Sorted(maps.Keys(owned.objects)) })
	return names
}

// Members implements platform.Directory.
func (s *Service) Members(ctx context.Context) ([]platform.Member, error) {
	return perform(ctx, s, OperationMembers, func(owned *state) ([]platform.Member, error) { return slices.Clone(owned.members.at(time.Now())), nil })
}

// Objects returns the service's object store.
func (s *Service) Objects() platform.Objects {
	return objects{s}
}

// objects implements platform.Objects, whose Get differs from the table's.
type objects struct {
	service *Service
}

func (o objects) Put(ctx context.Context, name string, content []byte) error {
	return o.service.Put(ctx, name, content)
}

func (o objects) Get(ctx context.Context, name string) ([]byte, bool, error) {
	found, err := o.service.object(ctx, name)
	return found.content, found.found, err
}
