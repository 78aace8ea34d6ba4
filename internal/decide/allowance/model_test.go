package allowance

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/peridotreel/peridotreel/internal/core"
)

// world is a store with rows under versions, several hosts and a clock. Writes
// may lose their answer and may be applied late, as long as the row still has
// the version that they expect.
type world struct {
	now     time.Time
	prepaid core.Tokens
	counter int64
	ledger  versioned[Ledger]
	records map[core.HostID]versioned[Record]
	late    []func()
	hosts   []*process
	// gone is what ended processes had spent or reserved.
	gone   core.Tokens
	starts int
}

type versioned[T any] struct {
	value   T
	version int64
}

// process is one host's process with its holder.
type process struct {
	id       Process
	holder   *Holder
	version  int64 // of its record
	unsure   *Record
	clock    time.Duration
	clockAt  time.Time
	inFlight []core.Tokens
	known    bool
}

const team = core.TeamName("team")

func (w *world) clock() time.Duration { return w.now.Sub(time.Unix(0, 0)) }

func (w *world) write(version *int64) {
	w.counter++
	*version = w.counter
}

// start replaces a host's process by a new one that reads what the last left.
func (w *world) start(host core.HostID) *process {
	w.starts++
	p := &process{id: Process{Host: host, Start: fmt.Sprint(w.starts)}}
	p.holder = NewHolder(p.id)
	p.holder.SetBalance(w.prepaid, len(w.hosts)+1, true)
	return p
}

// read is the first contact of a process with the store.
func (w *world) read(p *process) {
	record := w.records[p.id.Host]
	p.version, p.clock, p.clockAt = record.version, w.clock(), w.now
	if record.value.Process != "" {
		p.holder.SetEnded(record.value.Process, record.value.Bound(team, w.clock()))
	}
	p.holder.Learn(w.ledger.value.clone(), w.ledger.version)
	p.known = true
}

// outcome of a write: applied and answered, applied and lost, lost, or applied
// later if its condition still holds.
func (w *world) commit(t *rapid.T, apply func() bool) (answered, applied bool) {
	switch rapid.IntRange(0, 5).Draw(t, "outcome") {
	case 0:
		apply()
		return false, false
	case 1:
		return false, false
	case 2:
		w.late = append(w.late, func() { apply() })
		return false, false
	default:
		return true, apply()
	}
}

func (w *world) commitLedger(t *rapid.T, p *process, proposal Proposal) {
	p.holder.Begin(proposal, w.now)
	answered, applied := w.commit(t, func() bool {
		if w.ledger.version != proposal.Version {
			return false
		}
		w.ledger.value = proposal.Ledger.clone()
		w.write(&w.ledger.version)
		return true
	})
	if answered {
		_ = applied
		p.holder.Learn(w.ledger.value.clone(), w.ledger.version)
	}
	p.holder.Done(answered)
}

func (w *world) commitRecord(t *rapid.T, p *process) {
	if p.unsure == nil {
		pledge := p.holder.Pledge(w.now)
		p.unsure = &Record{Process: p.id.String(), Clock: p.clock.Milliseconds(), Pledges: map[core.TeamName]Pledge{team: pledge}}
		p.holder.BeginPledge(pledge, p.clockAt)
	}
	record, expected := *p.unsure, p.version
	answered, applied := w.commit(t, func() bool {
		current := w.records[p.id.Host]
		if current.version != expected {
			return false
		}
		current.value = record
		w.write(&current.version)
		w.records[p.id.Host] = current
		return true
	})
	if !answered {
		return
	}
	p.version, p.clock, p.clockAt = w.records[p.id.Host].version, w.clock(), w.now
	if applied {
		p.holder.EndPledge(true)
	}
	p.unsure = nil
}

func (w *world) consumed() core.Tokens {
	total := w.gone
	for _, p := range w.hosts {
		total += p.holder.spent + p.holder.reserved - p.holder.returning
	}
	return total
}

func (w *world) step(t *rapid.T) {
	i := rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")
	p := w.hosts[i]
	switch rapid.IntRange(0, 12).Draw(t, "step") {
	case 0, 1, 2, 10, 11:
		amount := core.Tokens(rapid.IntRange(1, 1500).Draw(t, "amount"))
		p.holder.Note(amount, w.now)
		if p.holder.Reserve(amount, w.now) {
			p.inFlight = append(p.inFlight, amount)
		} else {
			p.holder.Await(amount)
			if proposal, wanted := p.holder.Propose(w.now); wanted && p.known {
				w.commitLedger(t, p, proposal)
			}
			if p.known {
				w.commitRecord(t, p)
			}
			p.holder.Release(amount)
		}
	case 3:
		if n := len(p.inFlight); n > 0 {
			amount := p.inFlight[n-1]
			p.inFlight = p.inFlight[:n-1]
			p.holder.Settle(amount, core.Tokens(rapid.IntRange(0, int(amount)).Draw(t, "spent")))
		}
	case 4, 12:
		if !p.known {
			w.read(p)
		} else if proposal, wanted := p.holder.Propose(w.now); wanted {
			w.commitLedger(t, p, proposal)
		}
	case 5:
		if p.known {
			w.commitRecord(t, p)
		}
	case 6:
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
	case 7:
		if len(w.late) > 0 {
			w.late[0]()
			w.late = w.late[1:]
		}
	case 8:
		if proposal, possible := p.holder.Return(core.Tokens(rapid.IntRange(1, 5000).Draw(t, "back")), w.now); possible {
			w.commitLedger(t, p, proposal)
		}
	case 9:
		if rapid.IntRange(0, 3).Draw(t, "kill") > 0 {
			return // kills are rarer than the rest, so that balances run out
		}
		w.gone += p.holder.spent + p.holder.reserved - p.holder.returning
		w.hosts[i] = w.start(p.id.Host)
	}
}

// Guards against spending beyond the prepaid balance by any order of kills,
// restarts, lost and late writes, recalls and delays.
func TestNoOrderOfFailuresSpendsBeyondTheBalance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: time.Unix(1000, 0), prepaid: 12_000, records: make(map[core.HostID]versioned[Record])}
		for i := range 3 {
			w.hosts = append(w.hosts, w.start(core.HostID(fmt.Sprintf("host-%d", i))))
		}
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			w.step(t)
			if spent := w.consumed(); spent > w.prepaid {
				t.Fatalf("%d of %d tokens are spent or reserved", spent, w.prepaid)
			}
		}
	})
}
