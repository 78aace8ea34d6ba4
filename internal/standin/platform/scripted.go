package platform

import (
	"context"
	"slices"

	"github.com/peridotreel/peridotreel/internal/platform"
)

// ScriptedFault is what happens to one operation of a Scripted platform.
type ScriptedFault uint8

// The faults of single operations.
const (
	// FaultNone answers normally.
	FaultNone ScriptedFault = iota
	// FaultDown gives no answer and applies nothing.
	FaultDown
	// FaultLoseReply applies the operation and loses its answer.
	FaultLoseReply
	// FaultDelay gives no answer; the write takes effect when Release is
	// called, as if it had been on its way.
	FaultDelay
)

// Scripted is a table and object store for state machine tests. It works in
// the goroutine of its caller, and the test chooses the fault of each
// operation. It is not safe for concurrent use.
type Scripted struct {
	Store *Store
	// Choose returns the fault of the next operation; nil means no faults.
	Choose func() ScriptedFault
	// Rewrite changes commits before they are applied, so that a test can
	// show that it fails without a condition; nil changes nothing.
	Rewrite func(commit platform.Commit) platform.Commit
	objects map[string][]byte
	delayed []func()
}

// NewScripted returns an empty platform.
func NewScripted() *Scripted {
	return &Scripted{Store: NewStore(), objects: make(map[string][]byte)}
}

// ForgetTokens makes the table treat a repeated commit as a new one, as a
// platform may do after a long time.
func (s *Scripted) ForgetTokens() {
	clear(s.Store.results)
}

// Delayed returns how many writes are on their way.
func (s *Scripted) Delayed() int {
	return len(s.delayed)
}

// Release lets a delayed write take effect.
func (s *Scripted) Release(index int) {
	write := s.delayed[index]
	s.delayed = slices.Delete(s.delayed, index, index+1)
	write()
}

func (s *Scripted) fault() ScriptedFault {
	if s.Choose == nil {
		return FaultNone
	}
	return s.Choose()
}

// write performs a write under the next fault.
func (s *Scripted) write(apply func()) error {
	switch s.fault() {
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
	if s.fault() != FaultNone {
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

// scriptedObjects implements platform.Objects, whose Get differs from the
// table's.
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
