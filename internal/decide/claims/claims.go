// Package claims decides when a non-idempotent call may run, so that it runs
// at most once in the fleet. A claim is the stored record that the call is
// about to run: the call runs only after its claim is in the platform's table.
// A claim is never taken over, so a holder that resumes after a pause may still
// run its call.
package claims

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

const (
	// BatchDelay is how long writes are collected for one commit.
	BatchDelay = 10 * time.Millisecond
	// maxBatchOps limits a commit to about 1 MB of recorded answers.
	maxBatchOps = 64
	// PollInterval is the minimum time between reads of the claims of other
	// hosts. 330 hosts that all poll use a third of the platform's read
	// capacity.
	PollInterval = 500 * time.Millisecond
	// maxPollKeys limits the keys of one read.
	maxPollKeys = 64
	// maxCalls limits the calls in the register; each uses about 1 KB.
	maxCalls = 20_000
)

// Key identifies a non-idempotent call.
type Key struct {
	Team core.TeamName
	// Key is the canonical form of the caller's idempotency key.
	Key string
}

// State is the state of a claim.
type State string

// The states of a claim.
const (
	// Claimed means that the holder may be running the call.
	Claimed State = "claimed"
	// Done means that the answer is recorded.
	Done State = "done"
	// NotRun means that the call did not run and may be claimed again.
	NotRun State = "not_run"
)

// Record is a claim as stored in its row.
type Record struct {
	State  State
	Holder core.HostRef
	// Attempt is unique among the claims of the holder.
	Attempt     uint64
	Fingerprint [32]byte
	// Abandoned is set on a Claimed record whose holder does not know whether
	// the call ran and will not find out.
	Abandoned bool
	// Answer is set on Done, unless Object names the object that holds it.
	// A host that has just run the call has both.
	Answer *core.Answer
	Object string
}

// Row is a claim with its row version; version 0 means that the row is absent.
// State is empty if this binary can't decode the record.
type Row struct {
	Version int64
	Record  Record
}

// ReplyKind is the kind of a reply.
type ReplyKind uint8

// The kinds of reply.
const (
	// Acquired means that the waiter holds the claim and runs the call.
	Acquired ReplyKind = iota + 1
	// Recorded returns the answer of an earlier run.
	Recorded
	// KeyReused means that the key belongs to another call.
	KeyReused
	// InProgress means that the call runs under an earlier claim.
	InProgress
	// OutcomeUnknown means that the outcome of an earlier claim is lost.
	OutcomeUnknown
	// PlatformUnreachable means that the table did not respond in time. This
	// host does not run the call, but an earlier claim may exist.
	PlatformUnreachable
	// Withdrawn means that the waiter gave up an acquired claim without
	// running the call.
	Withdrawn
	// Overloaded means that the register is full.
	Overloaded
	// OutcomeStored means that the outcome is in the table.
	OutcomeStored
)

// WaiterID identifies a waiter for a reply. It is never 0.
type WaiterID uint64

// Reply is the answer to a waiter. Every kind but Acquired ends its wait.
type Reply struct {
	Waiter WaiterID
	Kind   ReplyKind
	// Answer or Object is set on Recorded.
	Answer *core.Answer
	Object string
}

// phase is the phase of a call in the register.
type phase uint8

const (
	// queued: the claim waits for a commit.
	queued phase = iota + 1
	// committing: the claim is in the commit in flight.
	committing
	// running: this host holds the claim and the runner runs the call.
	running
	// recording: the outcome is queued or in the commit in flight.
	recording
	// remote: another host holds the claim, and its row is polled.
	remote
)

// call is the state of one key at this host.
type call struct {
	key         Key
	phase       phase
	fingerprint [32]byte
	// version is the row version that the next write requires.
	version int64
	attempt uint64
	// runner is the waiter that runs the call once the claim is acquired; 0
	// if it withdrew.
	runner WaiterID
	// waiting holds the other waiters, in order of arrival.
	waiting []WaiterID
	// outcomeWaiter gets OutcomeStored once the outcome is in the table; 0 if
	// there is none.
	outcomeWaiter WaiterID
	// outcome is the record to write in phase recording.
	outcome Record
	// holder is the host that holds the claim in phase remote.
	holder core.HostRef
}

// Op is a conditional write of one row.
type Op struct {
	Key Key
	// Version is the row version that the write requires; 0 requires that the
	// row is absent.
	Version int64
	Record  Record
}

// Batch is the writes of one commit. The commit is retried unchanged until its
// result is known.
type Batch struct {
	// Serial is unique within the host process.
	Serial uint64
	Ops    []Op
}

// HostPredicate reports a property of a host process, such as whether it has
// ended.
type HostPredicate func(core.HostRef) bool
