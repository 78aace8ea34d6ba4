package platform

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"

	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/task"
)

// inboxCapacity bounds the operations that wait for the service's task.
const inboxCapacity = 1024

// Mode is a fault that the stand-in shows.
type Mode string

// The faults.
const (
	// ModeNone answers normally.
	ModeNone Mode = "none"
	// ModeDown gives no answer and applies nothing.
	ModeDown Mode = "down"
	// ModeLoseReply applies operations and loses their answers.
	ModeLoseReply Mode = "lose_reply"
)

// Service is the platform in one process. Its task owns the state; callers
// in any goroutine use it as platform.Table, Objects and Directory.
type Service struct {
	inbox   *task.Inbox[func(*state)]
	commits atomic.Int64
	reads   atomic.Int64
}

type state struct {
	store   *Store
	objects map[string][]byte
	members []platform.Member
	mode    Mode
}

// NewService returns a service that answers once its Run method runs.
func NewService() *Service {
	return &Service{inbox: task.NewInbox[func(*state)](inboxCapacity)}
}

// Run handles operations until ctx ends.
func (s *Service) Run(ctx context.Context) {
	defer s.inbox.Close()
	owned := &state{store: NewStore(), objects: make(map[string][]byte), mode: ModeNone}
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
}

// perform runs an operation in the service's task under the fault in force.
func perform[R any](ctx context.Context, s *Service, operation func(*state) (R, error)) (R, error) {
	answer, err := task.Ask(ctx, s.inbox, func(replies chan<- reply[R]) func(*state) {
		return func(owned *state) {
			if owned.mode == ModeDown {
				replies <- reply[R]{err: platform.ErrUnavailable}
				return
			}
			value, err := operation(owned)
			if owned.mode == ModeLoseReply {
				replies <- reply[R]{err: platform.ErrUnavailable}
				return
			}
			replies <- reply[R]{value, err}
		}
	})
	if err != nil {
		return answer.value, platform.ErrUnavailable
	}
	return answer.value, answer.err
}

// control runs an operation in the service's task whatever the fault.
func (s *Service) control(operation func(*state)) {
	done := make(chan struct{})
	err := s.inbox.Send(context.Background(), func(owned *state) {
		operation(owned)
		close(done)
	})
	if err == nil {
		<-done
	}
}

// SetMode switches a fault on or off.
func (s *Service) SetMode(mode Mode) {
	s.control(func(owned *state) { owned.mode = mode })
}

// SetMembers replaces the list of machines.
func (s *Service) SetMembers(members []platform.Member) {
	s.control(func(owned *state) { owned.members = slices.Clone(members) })
}

// Operations returns how many commits and reads the service has handled.
func (s *Service) Operations() (commits, reads int64) {
	return s.commits.Load(), s.reads.Load()
}

// Commit implements platform.Table.
func (s *Service) Commit(ctx context.Context, commit platform.Commit) (platform.Revision, error) {
	s.commits.Add(1)
	return perform(ctx, s, func(owned *state) (platform.Revision, error) { return owned.store.Commit(commit) })
}

// Get implements platform.Table.
func (s *Service) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	s.reads.Add(1)
	return perform(ctx, s, func(owned *state) ([]platform.Row, error) { return owned.store.Get(keys...), nil })
}

// List implements platform.Table.
func (s *Service) List(ctx context.Context, prefix string) ([]platform.Row, error) {
	s.reads.Add(1)
	return perform(ctx, s, func(owned *state) ([]platform.Row, error) { return owned.store.List(prefix), nil })
}

// Changes implements platform.Table.
func (s *Service) Changes(ctx context.Context, since platform.Revision, prefixes []string) (platform.ChangeSet, error) {
	s.reads.Add(1)
	return perform(ctx, s, func(owned *state) (platform.ChangeSet, error) {
		return owned.store.Changes(since, prefixes), nil
	})
}

// Put implements platform.Objects.
func (s *Service) Put(ctx context.Context, name string, content []byte) error {
	_, err := perform(ctx, s, func(owned *state) (struct{}, error) {
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
	return perform(ctx, s, func(owned *state) (object, error) {
		content, found := owned.objects[name]
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
	return perform(ctx, s, func(owned *state) ([]platform.Member, error) { return slices.Clone(owned.members), nil })
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
