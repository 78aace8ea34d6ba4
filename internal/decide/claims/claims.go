// Package claims decides which calls that must not be repeated may run. A
// call runs only after its claim is in the platform's table, and a claim is
// never taken over from its holder, so a holder that was paused may go on.
package claims

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

const (
	// GroupFor is how long claims are collected for one commit.
	GroupFor = 10 * time.Millisecond
	// groupSize bounds a commit to about 1 MB of recorded answers.
	groupSize = 64
	// PollInterval bounds the reads for calls that run at other hosts: 330
	// hosts that all wait use a third of the platform's reads.
	PollInterval = 500 * time.Millisecond
	// pollSize bounds one read.
	pollSize = 64
	// maxCalls bounds the calls in the register; each uses about 1 KB.
	maxCalls = 20_000
)

// Key names a call that must not be repeated.
type Key struct {
	Team core.TeamName
	// Key is the canonical form of the caller's idempotency key.
	Key string
}

// State is the state of a claim's record.
type State string

// The states.
const (
	// Claimed means that the holder may be running the call.
	Claimed State = "claimed"
	// Done means that the answer is recorded.
	Done State = "done"
	// NotRun means that the call did not run and may be claimed anew.
	NotRun State = "not_run"
)

// Record is the content of a claim's row.
type Record struct {
	State  State
	Holder core.HostRef
	// Attempt is unique within the holder and tells its claims apart.
	Attempt     uint64
	Fingerprint [32]byte
	// Abandoned is true of a claimed call whose holder does not know whether
	// it ran and no longer tries to find out.
	Abandoned bool
	// Answer is set when Done, unless Object names where it is stored. A host
	// that has just run the call has both.
	Answer *core.Answer
	Object string
}

// Row is a record with its version in the table; version 0 is an absent row.
// A record that this binary can't read has no state.
type Row struct {
	Version int64
	Record  Record
}

// ReplyKind tells replies apart.
type ReplyKind uint8

// The kinds of reply.
const (
	// Won lets the waiter run the call.
	Won ReplyKind = iota + 1
	// Recorded gives the answer of an earlier run.
	Recorded
	// Reused means that the key belongs to another call.
	Reused
	// InProgress means that the call runs under an earlier claim.
	InProgress
	// Unknown means that an earlier claim's outcome will not be known.
	Unknown
	// Unreachable means that the table gave no answer in time. This host does
	// not run the call, but an earlier claim may exist.
	Unreachable
	// Withdrawn means that the claim was won and given back without a run.
	Withdrawn
	// Overloaded means that the register is full.
	Overloaded
	// Ended means that the outcome is in the table.
	Ended
)

// WaiterID names who waits for a reply. It is not 0.
type WaiterID uint64

// Reply ends the wait of a waiter.
type Reply struct {
	Waiter WaiterID
	Kind   ReplyKind
	// Answer or Object is set on Recorded.
	Answer *core.Answer
	Object string
}

// phase is what a register does about a call.
type phase uint8

const (
	// queued: the claim waits for a commit.
	queued phase = iota + 1
	// writing: the claim is in the commit in flight.
	writing
	// running: the claim is won and the claimant runs the call.
	running
	// ending: the outcome waits for a commit or is in the one in flight.
	ending
	// watching: another host holds the claim.
	watching
)

// call is the state of one key at this host.
type call struct {
	key         Key
	phase       phase
	fingerprint [32]byte
	// version is the row's version that the next write requires.
	version int64
	attempt uint64
	// claimant runs the call when the claim is won; 0 if it was withdrawn.
	claimant WaiterID
	// others wait for the outcome.
	others []WaiterID
	// ended waits for the outcome to be in the table.
	ended WaiterID
	// outcome is the record to write when ending.
	outcome Record
	// holder has the claim while watching.
	holder core.HostRef
}

// Op is one conditional write of a batch.
type Op struct {
	Key Key
	// Version is required of the row; 0 requires it to be absent.
	Version int64
	Record  Record
}

// Batch is one commit. It is repeated unchanged until its outcome is known.
type Batch struct {
	// Serial is unique within the host process.
	Serial uint64
	Ops    []Op
}

// Gone reports whether a host process has ended.
type Gone func(core.HostRef) bool
