// Package allowance decides how much of a team's prepaid balance a host may
// spend, so that all hosts together never spend more than the balance.
//
// For each team, a ledger in the store records what each process was granted.
// A process spends only grants that the store has acknowledged, so that no
// order of failures lets the grants exceed the balance.
package allowance

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Process identifies one process of a host.
type Process struct {
	Host core.HostID
	// Start tells the processes of a host apart.
	Start string
}

// String returns the key of the process in a ledger.
func (p Process) String() string { return string(p.Host) + "/" + p.Start }

// Holding is the grant of one process.
type Holding struct {
	Host core.HostID `json:"h"`
	// Granted is the total granted since the process started, including what it
	// has spent.
	Granted core.Tokens `json:"g"`
	// Spent is what the process had spent at its last commit.
	Spent core.Tokens `json:"s"`
	// Demand is the process's recent demand in tokens per second.
	Demand float64 `json:"d"`
	// EnteredAt is a time of the store's clock, in milliseconds, at which the ledger had
	// the holding; 0 until its process has read it there.
	EnteredAt int64 `json:"t,omitempty"`
	// WrittenAt estimates the time of the store's clock, in milliseconds, at which the
	// process wrote the holding; 0 if a build wrote it that does not know it.
	WrittenAt int64 `json:"w,omitempty"`
	// Unconfirmed is true from a return of the store to an older copy until the
	// process has written its holding again.
	Unconfirmed bool `json:"u,omitempty"`
}

// Ledger is the account of one team's balance.
type Ledger struct {
	// Settled is what was spent by processes that have no holding any more. For
	// processes that died, it is the most that they can have spent.
	Settled core.Tokens `json:"settled"`
	// Unsure is the part of Settled that dead processes may not have spent.
	Unsure core.Tokens `json:"unsure"`
	// Holdings has an entry for each process, by Process.String.
	Holdings map[string]Holding `json:"holdings"`
	// Mark orders the ledger among all that the team has had.
	Mark Mark `json:"mark"`
	// Base is the ledger of an earlier era from which this one was reopened after a
	// return of the store. It is empty in a ledger of the first era, and in a later one
	// that was begun while its writer knew no earlier ledger.
	Base Base `json:"base"`
	// ReopenedAt is a time of the store's clock, in milliseconds, shortly before the
	// ledger was reopened, or begun in an era after the first; 0 if neither is the case.
	ReopenedAt int64 `json:"reopened_at,omitempty"`
	// Withheld is the part of the balance that may not be granted; nil in a ledger of a
	// build that does not know it.
	Withheld *Withheld `json:"withheld,omitempty"`
	// Room is what processes may be granted that the ledger has had for less than
	// MaxCopyAge; nil if that is not bounded.
	Room *core.Tokens `json:"room,omitempty"`
	// Replaced describes the ledger that this one replaced; nil in a ledger of a build
	// that does not know it.
	Replaced *Replaced `json:"replaced,omitempty"`
	// Lost is what processes may have been granted that no known ledger has, since the
	// ledger was reopened. It counts as allocated unless it is negative: processes that
	// confirm more than the ledger had are taken off it.
	Lost core.Tokens `json:"lost,omitempty"`
	// Unsettled is the highest prepaid total that was known since the ledger was
	// reopened, as long as a part of it may have been granted before; 0 after that.
	Unsettled core.Tokens `json:"unsettled,omitempty"`
	// Closed are the holdings that were closed since the ledger was reopened, at
	// most maxClosed.
	Closed []string `json:"closed,omitempty"`
}

// Mark orders the ledgers of a team over all eras of the store. The versions of
// rows do not, as they are given out again.
type Mark struct {
	// Era is the era of the store in which the ledger was written.
	Era int64 `json:"e"`
	// Sequence counts the changes. It is 0 for a ledger of a build that does not
	// know eras.
	Sequence int64 `json:"n"`
}

// newer reports whether m is later than other.
func (m Mark) newer(other Mark) bool {
	return m.Era > other.Era || (m.Era == other.Era && m.Sequence > other.Sequence)
}

// Base describes the ledger from which another one was reopened.
type Base struct {
	Mark    Mark        `json:"m"`
	Settled core.Tokens `json:"s"`
	Unsure  core.Tokens `json:"u"`
	// Allocated bounds what was allocated when the store returned, if all processes
	// that had holdings in the base have confirmed them.
	Allocated core.Tokens `json:"a,omitempty"`
	// Complete is true while that may still happen.
	Complete bool `json:"c,omitempty"`
}

// Replaced has the bounds of a ledger that was replaced by a commit. The commit may have
// been sent before a return of the store and applied to the copy after it. What was
// granted between is then bounded by the ledger in the copy, not by the one that replaced
// it.
type Replaced struct {
	// Allocated is the ledger's mostAllocated, maxTokens if it had no Room.
	Allocated core.Tokens `json:"a"`
	// Withheld is what the ledger guaranteed at any time.
	Withheld core.Tokens `json:"w"`
	// Schedule is what it withheld, if that was to be lowered; nil in a ledger of a build
	// that does not know it.
	Schedule *Withheld `json:"s,omitempty"`
	// Era is the era in which the ledger was written; 0 if it is not known.
	Era int64 `json:"e,omitempty"`
}

// DecodeLedger decodes a ledger.
func DecodeLedger(raw []byte) (Ledger, error) {
	var ledger Ledger
	if err := json.Unmarshal(raw, &ledger); err != nil {
		return Ledger{}, fmt.Errorf("decode a balance ledger; no tokens are granted until it is repaired: %w", err)
	}
	if err := ledger.check(); err != nil {
		return Ledger{}, fmt.Errorf("check a balance ledger; no tokens are granted until it is repaired: %w", err)
	}
	return ledger, nil
}

// maxTokens bounds each amount in a row, so that sums of a row's amounts do not
// overflow.
const maxTokens = core.Tokens(1) << 48

func checkTokens(name string, amount core.Tokens) error {
	if amount < 0 || amount > maxTokens {
		return fmt.Errorf("%s is %d where 0 to %d are possible", name, amount, maxTokens)
	}
	return nil
}

func checkDemand(name string, demand float64) error {
	if demand < 0 || demand > float64(maxTokens) {
		return fmt.Errorf("%s is %g tokens a second", name, demand)
	}
	return nil
}

// check reports amounts that no host writes and that would let more than the balance
// be granted.
func (l Ledger) check() error {
	err := errors.Join(checkTokens("settled", l.Settled), checkTokens("unsettled", l.Unsettled))
	if l.Unsure < -maxTokens || l.Unsure > l.Settled || l.Lost < -maxTokens || l.Lost > maxTokens {
		err = errors.Join(err, fmt.Errorf("unsure is %d of %d settled, lost %d", l.Unsure, l.Settled, l.Lost))
	}
	if l.Withheld != nil {
		err = errors.Join(err, l.Withheld.check())
	}
	if l.Replaced != nil && l.Replaced.Schedule != nil {
		err = errors.Join(err, l.Replaced.Schedule.check())
	}
	for process, holding := range l.Holdings {
		err = errors.Join(err, checkTokens("granted to "+process, holding.Granted), checkTokens("spent by "+process, holding.Spent),
			checkDemand("demand of "+process, holding.Demand))
	}
	return err
}

// Encode encodes a ledger.
func (l Ledger) Encode() ([]byte, error) {
	raw, err := json.Marshal(l)
	if err != nil {
		return nil, fmt.Errorf("encode a balance ledger: %w", err)
	}
	return raw, nil
}

// Allocated returns the part of the balance that is spent or granted, or that may be.
func (l Ledger) Allocated() core.Tokens { return l.recorded() + max(l.Lost, 0) }

// recorded returns what was settled and what holdings have.
func (l Ledger) recorded() core.Tokens {
	allocated := l.Settled
	for _, holding := range l.Holdings {
		allocated += holding.Granted
	}
	return allocated
}

// unsureSpent returns the part of the allocated tokens that dead processes may not
// have spent.
func (l Ledger) unsureSpent() core.Tokens { return l.Unsure + max(l.Lost, 0) }

// KnownSpent returns the part of the balance that is known to be spent.
func (l Ledger) KnownSpent() core.Tokens {
	spent := l.Settled - l.Unsure
	for _, holding := range l.Holdings {
		spent += holding.Spent
	}
	return spent
}

// demandWithout returns the demand of all processes but one, in tokens per
// second.
func (l Ledger) demandWithout(process string) float64 {
	total := 0.0
	for key, holding := range l.Holdings {
		if key != process {
			total += holding.Demand
		}
	}
	return total
}

// mostAllocated bounds what is allocated after any number of commits of processes that
// have no holding in the ledger.
func (l Ledger) mostAllocated(prepaid core.Tokens) core.Tokens {
	if l.Room == nil {
		return max(prepaid, l.Allocated())
	}
	return l.Allocated() + *l.Room
}

// mostAllocatedAtReturn bounds what was allocated when the store returned, if l is the
// latest known ledger.
func (l Ledger) mostAllocatedAtReturn(prepaid core.Tokens) core.Tokens {
	if l.Replaced == nil {
		return l.mostAllocated(prepaid)
	}
	return max(l.mostAllocated(prepaid), l.Replaced.Allocated)
}

func (l Ledger) clone() Ledger {
	holdings := make(map[string]Holding, len(l.Holdings)+1)
	for key, holding := range l.Holdings {
		holdings[key] = holding
	}
	l.Holdings, l.Closed = holdings, slices.Clone(l.Closed)
	return l
}

func (l *Ledger) widenRoom(amount core.Tokens) {
	room := *l.Room + amount
	l.Room = &room
}

// maxClosed bounds the closed holdings that a ledger names.
const maxClosed = 64

// close removes a holding of which an amount is settled as spent. The rest is room for
// the next process of the host.
func (l *Ledger) close(process string, spent core.Tokens) {
	holding := l.Holdings[process]
	if holding.Unconfirmed {
		l.Base.Complete = false
	}
	if l.Room != nil {
		l.widenRoom(max(holding.Granted-spent, 0))
	}
	delete(l.Holdings, process)
	l.Settled += spent
	if l.ReopenedAt > 0 {
		l.Closed = append(l.Closed, process)
		l.Closed = l.Closed[max(len(l.Closed)-maxClosed, 0):]
	}
}
