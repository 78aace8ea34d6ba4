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

// Service is the platform's stand-in for concurrent use. Its task owns the
// state; any goroutine may use it as platform.Table, platform.Objects and
// platform.Directory.
type Service struct {
	settings Settings
	inbox    *task.Inbox[func(*serviceState)]
	commits  atomic.Int64
	reads    atomic.Int64
}

type serviceState struct {
	store   *Store
	objects map[string][]byte
	weights map[string][]byte
	members memberList
	limits  rateLimits
	fault   Fault
}

// NewService returns a service without limits and lag, for tests. It handles
// operations once its Run method runs.
func NewService() *Service {
	return NewServiceWithSettings(Settings{})
}

// NewServiceWithSettings returns a service with the given settings. It handles
// operations once its Run method runs.
func NewServiceWithSettings(settings Settings) *Service {
	return &Service{settings: settings, inbox: task.NewInbox[func(*serviceState)](inboxCapacity)}
}

// Run handles operations until ctx ends.
func (s *Service) Run(ctx context.Context) {
	defer s.inbox.Close()
	owned := &serviceState{
		store: NewStore(), objects: make(map[string][]byte), weights: make(map[string][]byte),
		members: memberList{lag: s.settings.MembersLag},
		limits:  newRateLimits(s.settings, time.Now()),
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
	// delay postpones the reply in mode slow. The caller waits, because the
	// service's task must not block.
	delay time.Duration
}

// perform runs an operation in the service's task, subject to the current
// fault.
func perform[R any](ctx context.Context, s *Service, kind Operation, operation func(*serviceState) (R, error)) (R, error) {
	result, err := task.Ask(ctx, s.inbox, func(replies chan<- reply[R]) func(*serviceState) {
		return func(owned *serviceState) { replies <- runUnderFault(owned, kind, operation) }
	})
	if err != nil {
		return result.value, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	if result.delay > 0 {
		if err := task.Sleep(ctx, result.delay); err != nil {
			return result.value, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
		}
	}
	return result.value, result.err
}

func runUnderFault[R any](owned *serviceState, kind Operation, operation func(*serviceState) (R, error)) reply[R] {
	mode := owned.fault.modeOf(kind)
	if mode == ModeDown {
		return reply[R]{err: platform.ErrUnavailable}
	}
	if err := owned.limits.take(kind, time.Now()); err != nil {
		return reply[R]{err: err}
	}
	value, err := operation(owned)
	switch mode {
	case ModeLoseReply:
		return reply[R]{err: errReplyLost}
	case ModeSlow:
		return reply[R]{value, err, owned.fault.Delay}
	default:
		return reply[R]{value, err, 0}
	}
}

// control runs an operation in the service's task, regardless of the current
// fault. It does nothing when the task has ended.
func (s *Service) control(operation func(*serviceState)) {
	_, err := task.Ask(context.Background(), s.inbox, func(done chan<- struct{}) func(*serviceState) {
		return func(owned *serviceState) {
			operation(owned)
			done <- struct{}{}
		}
	})
	_ = err // the only error is task.ErrStopped
}

// SetFault injects a fault until another replaces it, and rejects an invalid
// one.
func (s *Service) SetFault(fault Fault) error {
	if err := fault.Validate(); err != nil {
		return err
	}
	fault.Operations = slices.Clone(fault.Operations)
	s.control(func(owned *serviceState) { owned.fault = fault })
	return nil
}

// SetWeights stores a file of model weights.
func (s *Service) SetWeights(name string, content []byte) {
	s.control(func(owned *serviceState) { owned.weights[name] = slices.Clone(content) })
}

// SetMode injects a fault without delay into all operations.
func (s *Service) SetMode(mode Mode) {
	s.control(func(owned *serviceState) { owned.fault = Fault{Mode: mode} })
}

// SetMembers replaces the list of machines; the change becomes visible after
// the list's lag.
func (s *Service) SetMembers(members []platform.Member) {
	members = slices.Clone(members)
	s.control(func(owned *serviceState) { owned.members.replace(members, time.Now()) })
}

// OperationCounts returns the numbers of commits and reads that were requested.
func (s *Service) OperationCounts() (commits, reads int64) {
	return s.commits.Load(), s.reads.Load()
}

// Commit implements platform.Table.
func (s *Service) Commit(ctx context.Context, commit platform.Commit) (platform.Revision, error) {
	s.commits.Add(1)
	return perform(ctx, s, OperationCommit, func(owned *serviceState) (platform.Revision, error) { return owned.store.Commit(commit) })
}

// Get implements platform.Table.
func (s *Service) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	s.reads.Add(1)
	return perform(ctx, s, OperationGet, func(owned *serviceState) ([]platform.Row, error) { return owned.store.Get(keys...), nil })
}

// List implements platform.Table.
func (s *Service) List(ctx context.Context, prefix string) ([]platform.Row, error) {
	s.reads.Add(1)
	return perform(ctx, s, OperationList, func(owned *serviceState) ([]platform.Row, error) { return owned.store.List(prefix), nil })
}

// Changes implements platform.Table.
func (s *Service) Changes(ctx context.Context, since platform.Revision, prefixes []string) (platform.ChangeSet, error) {
	s.reads.Add(1)
	return perform(ctx, s, OperationChanges, func(owned *serviceState) (platform.ChangeSet, error) {
		return owned.store.Changes(since, prefixes), nil
	})
}

// Put implements platform.Objects.
func (s *Service) Put(ctx context.Context, name string, content []byte) error {
	_, err := perform(ctx, s, OperationPutObject, func(owned *serviceState) (struct{}, error) {
		owned.objects[name] = slices.Clone(content)
		return struct{}{}, nil
	})
	return err
}

type storedContent struct {
	content []byte
	found   bool
}

// getObject reads an object for platform.Objects.
func (s *Service) getObject(ctx context.Context, name string) (storedContent, error) {
	return perform(ctx, s, OperationGetObject, func(owned *serviceState) (storedContent, error) {
		content, found := owned.objects[name]
		return storedContent{slices.Clone(content), found}, nil
	})
}

// getWeights reads a file of model weights.
func (s *Service) getWeights(ctx context.Context, name string) (storedContent, error) {
	return perform(ctx, s, OperationWeights, func(owned *serviceState) (storedContent, error) {
		content, found := owned.weights[name]
		return storedContent{content, found}, nil
	})
}

// ObjectNames returns the names of all objects in order.
func (s *Service) ObjectNames() []string {
	var names []string
	s.control(func(owned *serviceState) { names = slices.Sorted(maps.Keys(owned.objects)) })
	return names
}

// Members implements platform.Directory.
func (s *Service) Members(ctx context.Context) ([]platform.Member, error) {
	return perform(ctx, s, OperationMembers, func(owned *serviceState) ([]platform.Member, error) {
		return slices.Clone(owned.members.visibleAt(time.Now())), nil
	})
}

// Objects returns the service's object store.
func (s *Service) Objects() platform.Objects {
	return objects{s}
}

// objects implements platform.Objects in a type of its own, because Service.Get
// is the table's.
type objects struct {
	service *Service
}

func (o objects) Put(ctx context.Context, name string, content []byte) error {
	return o.service.Put(ctx, name, content)
}

func (o objects) Get(ctx context.Context, name string) ([]byte, bool, error) {
	found, err := o.service.getObject(ctx, name)
	return found.content, found.found, err
}
