package platform

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/platform"
)

// Mode is a kind of injected fault.
type Mode string

// The modes.
const (
	// ModeNone answers normally.
	ModeNone Mode = "none"
	// ModeDown fails operations without applying them.
	ModeDown Mode = "down"
	// ModeSlow applies operations and delays their replies. A caller that
	// times out before the delay doesn't learn that its write took effect.
	ModeSlow Mode = "slow"
	// ModeLoseReply applies operations and drops their replies.
	ModeLoseReply Mode = "lose_reply"
)

// Operation names a kind of request to the platform.
type Operation string

// The operations.
const (
	OperationCommit    Operation = "commit"
	OperationGet       Operation = "get"
	OperationList      Operation = "list"
	OperationChanges   Operation = "changes"
	OperationPutObject Operation = "put_object"
	OperationGetObject Operation = "get_object"
	OperationMembers   Operation = "members"
	OperationWeights   Operation = "weights"
)

// operations lists all kinds of requests.
var operations = []Operation{
	OperationCommit, OperationGet, OperationList, OperationChanges,
	OperationPutObject, OperationGetObject, OperationMembers, OperationWeights,
}

// errReplyLost means that the reply was lost, as opposed to a reply that
// reports the platform as down.
var errReplyLost = fmt.Errorf("%w: the reply was lost", platform.ErrUnavailable)

// Fault is an injected fault. It is in effect until another replaces it.
type Fault struct {
	Mode Mode
	// Delay of answers in ModeSlow.
	Delay time.Duration
	// Operations limits the fault; empty means all operations.
	Operations []Operation
}

// Validate returns an error that names the first bad field and its remedy.
func (f *Fault) Validate() error {
	switch f.Mode {
	case ModeNone, ModeDown, ModeLoseReply:
	case ModeSlow:
		if f.Delay <= 0 {
			return errors.New("delay_ms: must be positive in mode slow; set it to 1 or more")
		}
	default:
		return fmt.Errorf("mode: %q is unknown; use none, down, slow or lose_reply", f.Mode)
	}
	for _, operation := range f.Operations {
		if !slices.Contains(operations, operation) {
			return fmt.Errorf("operations: %q is unknown; use some of %v", operation, operations)
		}
	}
	return nil
}

// modeOf returns the mode in effect for an operation.
func (f *Fault) modeOf(operation Operation) Mode {
	if len(f.Operations) > 0 && !slices.Contains(f.Operations, operation) {
		return ModeNone
	}
	return f.Mode
}
