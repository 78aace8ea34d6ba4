package platform

import (
	"context"
	"slices"

	"github.com/peridotreel/peridotreel/internal/platform"
)

// ScriptedFault is the fault injected into one operation of a Scripted
// platform.
type ScriptedFault uint8

// The faults of single operations.
const (
	// FaultNone answers normally.
	FaultNone ScriptedFault = iota
	// FaultDown fails the operation without applying it.
	FaultDown
	// FaultLoseReply applies the operation and drops its reply.
	FaultLoseReply
	// FaultDelay fails the operation; a write takes effect later, when
	// ApplyDelayed is called, like a request delayed in the network.
	FaultDelay
)

// Scripted is an in-memory table and object store for state machine tests. It
// runs in the caller's goroutine, and the test chooses the fault of each
// operation. It is not safe for concurrent use.
type Scripted struct {
	Store *Store
	// ChooseFault returns the fault of the next operation; nil means no faults.
	ChooseFault func() ScriptedFault
	// Rewrite modifies commits before they are applied, so that a test can
	// prove that it detects a missing condition; nil changes nothing.
	Rewrite func(commit platform.Commit) platform.Commit
	objects map[string][]byte
	delayed []func()
}

// NewScripted returns a platform without rows and objects.
func NewScripted() *Scripted {
	return &Scripted{Store: NewStore(), objects: make(map[string][]byte)}
}

// ForgetTokens drops the deduplication state of commits, so that a repeated
// commit is applied again, as the platform may do after a long time.
func (s *Scripted) ForgetTokens() {
	clear(s.Store.results)
}

// DelayedWrites returns the number of delayed writes.
func (s *Scripted) DelayedWrites() int {
	return len(s.delayed)
}

// ApplyDelayed applies the delayed write at an index.
func (s *Scripted) ApplyDelayed(index int) {
	write := s.delayed[index]
	s.delayed = slices.Delete(s.delayed, index, index+1)
	write()
}

func (s *Scripted) nextFault() ScriptedFault {
	if s.ChooseFault == nil {
		return FaultNone
	}
	return s.ChooseFault()
}

// write applies a write, subject to the next fault.
func (s *Scripted) write(apply func()) error {
	switch s.nextFault() {
	case FaultDown:
		return platform.ErrUnavailable
	case FaultLoseReply:
		apply()
		return platform.ErrUnavailable
	case FaultDelay:
		s.delayed = append(s.delayed, apply)
		return platform.ErrUnavailable
	default:
		apply()
		return nil
	}
}

func (s *Scripted) readError() error {
	if s.nextFault() != FaultNone {
		return platform.ErrUnavailable
	}
	return nil
}

// Commit implements platform.Table.
func (s *Scripted) Commit(_ context.Context, commit platform.Commit) (platform.Revision, error) {
	if s.Rewrite != nil {
		commit = s.Rewrite(commit)
	}
	var revision platform.Revision
	var result error
	err := s.write(func() { revision, result = s.Store.Commit(commit) })
	if err != nil {
		return 0, err
	}
	return revision, result
}

// Get implements platform.Table.
func (s *Scripted) Get(_ context.Context, keys ...string) ([]platform.Row, error) {
	if err := s.readError(); err != nil {
		return nil, err
	}
	return s.Store.Get(keys...), nil
}

// List implements platform.Table.
func (s *Scripted) List(_ context.Context, prefix string) ([]platform.Row, error) {
	if err := s.readError(); err != nil {
		return nil, err
	}
	return s.Store.List(prefix), nil
}

// Changes implements platform.Table.
func (s *Scripted) Changes(_ context.Context, since platform.Revision, prefixes []string) (platform.ChangeSet, error) {
	if err := s.readError(); err != nil {
		return platform.ChangeSet{}, err
	}
	return s.Store.Changes(since, prefixes), nil
}

// Objects returns the object store.
func (s *Scripted) Objects() platform.Objects {
	return scriptedObjects{s}
}

// scriptedObjects implements platform.Objects in a type of its own, because
// Scripted.Get is the table's.
type scriptedObjects struct {
	scripted *Scripted
}

func (o scriptedObjects) Put(_ context.Context, name string, content []byte) error {
	return o.scripted.write(func() { o.scripted.objects[name] = slices.Clone(content) })
}

func (o scriptedObjects) Get(_ context.Context, name string) ([]byte, bool, error) {
	if err := o.scripted.readError(); err != nil {
		return nil, false, err
	}
	content, found := o.scripted.objects[name]
	return content, found, nil
}
