package allowance

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/peridotreel/peridotreel/internal/core"
)

// fleet is a simulation in which the owner and the standby of each zone serve a team's
// requests from its balance, as the task does.
type fleet struct {
	*simulation
	random *rand.Rand
	ending []endingRequest
	// pledgedAt is when each process last wrote its pledges.
	pledgedAt map[*process]time.Time
}

// endingRequest is a request that ends at a time.
type endingRequest struct {
	at     time.Time
	owner  *process
	amount core.Tokens
}

const (
	fleetZones = 3
	// fleetTick is the time between two steps of a fleet.
	fleetTick = 20 * time.Millisecond
	// requestTime is how long a request runs.
	requestTime = 220 * time.Millisecond
	// requestSize is the size of each request, all of which is spent.
	requestSize = core.Tokens(170)
)

func newFleet(prepaid core.Tokens, seed uint64) *fleet {
	w := newSimulation()
	w.prepaid = prepaid
	f := &fleet{simulation: w, random: rand.New(rand.NewPCG(seed, seed)), pledgedAt: make(map[*process]time.Time)}
	w.hosts = make([]*process, 2*fleetZones)
	for i := range w.hosts {
		f.startHost(i)
	}
	return f
}

// startHost starts a process of a host. The first hosts are owners.
func (f *fleet) startHost(i int) {
	p := f.start(core.HostID(fmt.Sprintf("host-%d", i)))
	p.holder.SetBalance(f.prepaid, fleetZones, i < fleetZones)
	f.hosts[i] = p
	f.readStore(p)
}

// killAll replaces the processes of all hosts but the first ones.
func (f *fleet) killAll(but int) {
	for i := but; i < len(f.hosts); i++ {
		f.endedSpent += f.hosts[i].holder.used()
	}
	for i := but; i < len(f.hosts); i++ {
		f.startHost(i)
	}
	for _, p := range f.hosts[:but] {
		f.learnLedger(p)
	}
	kept := f.ending[:0]
	for _, request := range f.ending {
		if f.running(request.owner) {
			kept = append(kept, request)
		}
	}
	f.ending = kept
}

func (f *fleet) running(p *process) bool {
	for _, host := range f.hosts {
		if host == p {
			return true
		}
	}
	return false
}

func (f *fleet) pledge(p *process) {
	f.pledgedAt[p] = f.now
	f.writeRecord(p, func(apply func() bool) (bool, bool) { return true, apply() })
}

// commitNeeded writes what a process needs, again after conflicts.
func (f *fleet) commitNeeded(p *process) {
	for range 4 {
		proposal, wanted := p.holder.Propose(f.now)
		if !wanted {
			return
		}
		f.commitCertain(p, proposal)
	}
}

// reserve asks one owner for a request.
func (f *fleet) reserve(p *process, amount core.Tokens, patient bool) bool {
	p.holder.AddDemand(amount, f.now)
	if p.holder.Reserve(amount, f.now) {
		return true
	}
	p.holder.AddWaiting(amount)
	defer p.holder.RemoveWaiting(amount)
	f.commitNeeded(p)
	if p.holder.PledgeExceeded(f.now) {
		f.pledge(p)
	}
	if patient {
		f.recall(p)
	}
	return p.holder.Reserve(amount, f.now)
}

// recall lets the largest holders return what a process lacks.
func (f *fleet) recall(p *process) {
	hosts, shortfall := p.holder.LargestHolders(3, f.now)
	if shortfall <= 0 {
		return
	}
	for _, other := range f.hosts {
		for _, host := range hosts {
			if proposal, possible := other.holder.ProposeReturn(shortfall, f.now); other.id.Host == host && possible {
				f.commitCertain(other, proposal)
			}
		}
	}
	f.learnLedger(p)
	f.commitNeeded(p)
	if p.holder.PledgeExceeded(f.now) {
		f.pledge(p)
	}
}

// request asks the owners for a request, as a host does, and reports whether one granted it.
func (f *fleet) request() bool {
	first := f.random.IntN(fleetZones)
	for i := range fleetZones + 1 {
		owner := f.hosts[(first+i)%fleetZones]
		if f.reserve(owner, requestSize, i == fleetZones) {
			f.ending = append(f.ending, endingRequest{f.now.Add(requestTime), owner, requestSize})
			return true
		}
	}
	return false
}

// tick ends requests and lets the processes write what is due.
func (f *fleet) tick() {
	f.now = f.now.Add(fleetTick)
	for len(f.ending) > 0 && !f.now.Before(f.ending[0].at) {
		f.ending[0].owner.holder.Settle(f.ending[0].amount, f.ending[0].amount)
		f.ending = f.ending[1:]
	}
	for _, p := range f.hosts {
		f.commitNeeded(p)
		since := f.now.Sub(f.pledgedAt[p])
		if since >= 800*time.Millisecond || (since >= 150*time.Millisecond && p.holder.PledgeLow(f.now)) {
			f.pledge(p)
		}
	}
}

// counts has how many requests were asked and served.
type counts struct{ asked, served int }

// serve lets requests come at random moments for some time.
func (f *fleet) serve(t *testing.T, duration time.Duration, perSecond float64) (c counts) {
	t.Helper()
	for end := f.now.Add(duration); f.now.Before(end); f.tick() {
		for range 4 {
			if f.random.Float64() < perSecond*fleetTick.Seconds()/4 {
				c.asked++
				if f.request() {
					c.served++
				}
			}
		}
		if spent := f.consumed(); spent > f.prepaid {
			t.Fatalf("%d of %d tokens are spent or reserved", spent, f.prepaid)
		}
	}
	return c
}

// recoveryPlay is a kill of all hosts around a return of the store.
type recoveryPlay struct {
	name      string
	prepaid   core.Tokens
	perSecond float64
	// copyAge is the age of the copy as the store goes away.
	copyAge time.Duration
	// living is how many hosts are not killed.
	living int
	// killAfter is the time from the return to the kill.
	killAfter time.Duration
	// again is the time after which a second return with a kill comes, 0 if none does.
	again time.Duration
}

const (
	// beforeFault is how long requests come before the store goes away.
	beforeFault = 25 * time.Second
	// storeDown is how long the store is away.
	storeDown = 1200 * time.Millisecond
	// recoveryBound is the time after which requests are to be served again.
	recoveryBound = 12 * time.Second
	// recoveryWatch is how long it is looked at.
	recoveryWatch = 15 * time.Second
)

// fail lets the store return to a copy and kills hosts.
func (f *fleet) fail(t *testing.T, play recoveryPlay) {
	t.Helper()
	f.now = f.now.Add(storeDown)
	f.returnToCopy()
	if play.killAfter > 0 {
		for _, p := range f.hosts {
			f.learnLedger(p)
		}
		f.serve(t, play.killAfter, play.perSecond)
	}
	f.killAll(play.living)
}

func (f *fleet) copy() { f.copied, f.copiedAt = f.clone(), f.now }

// play returns what is served before the fault and later than recoveryBound after it.
func (play recoveryPlay) play(t *testing.T, seed uint64) (before, after counts) {
	t.Helper()
	f := newFleet(play.prepaid, seed)
	f.serve(t, beforeFault-play.copyAge, play.perSecond)
	f.copy()
	before = f.serve(t, play.copyAge, play.perSecond)
	f.fail(t, play)
	if play.again > 0 {
		f.serve(t, play.again-play.copyAge, play.perSecond)
		f.copy()
		f.serve(t, play.copyAge, play.perSecond)
		f.fail(t, play)
	}
	f.serve(t, recoveryBound, play.perSecond)
	return before, f.serve(t, recoveryWatch, play.perSecond)
}

var recoveryPlays = []recoveryPlay{
	{name: "as in the review", prepaid: 60_000, perSecond: 5, copyAge: 5 * time.Second},
	{name: "an older copy", prepaid: 60_000, perSecond: 5, copyAge: 15 * time.Second},
	{name: "a kill after the return", prepaid: 60_000, perSecond: 5, copyAge: 5 * time.Second, killAfter: 2 * time.Second},
	{name: "one host lives", prepaid: 60_000, perSecond: 5, copyAge: 5 * time.Second, living: 1},
	{name: "half of the traffic", prepaid: 60_000, perSecond: 2.5, copyAge: 5 * time.Second},
	{name: "ten times the total", prepaid: 600_000, perSecond: 5, copyAge: 5 * time.Second},
	{name: "two returns", prepaid: 120_000, perSecond: 5, copyAge: 5 * time.Second, again: 6 * time.Second},
}

// Guards against a team that is refused for good after a kill of all hosts at a return of
// the store, although most of its balance is left: all that was not withheld counts as lost,
// and nothing was withheld from a team whose balance covered a minute of its demand.
func TestATeamIsServedAfterAKillOfAllHostsAtAReturnOfTheStore(t *testing.T) {
	const seeds = 10
	for _, play := range recoveryPlays {
		t.Run(play.name, func(t *testing.T) {
			var before, after counts
			for seed := range uint64(seeds) {
				b, a := play.play(t, seed)
				before.add(b)
				after.add(a)
			}
			if 4*before.served < before.asked {
				t.Fatalf("%d of %d requests were served before the fault", before.served, before.asked)
			}
			if 4*after.served < after.asked {
				t.Errorf("%d of %d requests were served later than %v after the fault", after.served, after.asked, recoveryBound)
			}
		})
	}
}

func (c *counts) add(other counts) { c.asked, c.served = c.asked+other.asked, c.served+other.served }

// Guards against refusals of a team whose demand rises from little to much: what is withheld
// would have to be lowered MaxCopyAge before.
func TestATeamWhoseDemandRisesIsNotRefused(t *testing.T) {
	const usual, lead, high = 5.0 / 6, 25 * time.Second, 15 * time.Second
	for _, rise := range []struct {
		prepaid   core.Tokens
		low, high float64
	}{{60_000, usual, 10}, {60_000, usual, 15}, {120_000, usual, 15}, {120_000, 5, 15}} {
		t.Run(fmt.Sprintf("from %.1f to %.0f a second of %d", rise.low, rise.high, rise.prepaid), func(t *testing.T) {
			for seed := range uint64(10) {
				f := newFleet(rise.prepaid, seed)
				served := f.serve(t, lead, rise.low)
				served.add(f.serve(t, high, rise.high))
				if served.served < served.asked {
					t.Errorf("seed %d: %d of %d requests were served", seed, served.served, served.asked)
				}
			}
		})
	}
}

// Guards against refusals of a team with steady demand long before its balance ends.
func TestATeamWithSteadyDemandIsServedUntilItsBalanceEnds(t *testing.T) {
	for _, steady := range []struct {
		prepaid   core.Tokens
		perSecond float64
	}{{40_000, 5}, {60_000, 5}, {60_000, 10}} {
		t.Run(fmt.Sprintf("%.0f a second of %d", steady.perSecond, steady.prepaid), func(t *testing.T) {
			for seed := range uint64(10) {
				f := newFleet(steady.prepaid, seed)
				for f.prepaid-f.consumed() > f.prepaid/8 {
					if served := f.serve(t, time.Second, steady.perSecond); served.served < served.asked {
						t.Errorf("seed %d: %d of %d requests were served with %d tokens left", seed, served.served, served.asked, f.prepaid-f.consumed())
					}
				}
			}
		})
	}
}

// Guards against a guarantee that does not hold: a copy must not guarantee more than the
// ledger withholds up to MaxCopyAge later, whatever commits came between. They may be
// applied late.
func TestNoCopyGuaranteesMoreThanIsWithheldWithinItsAge(t *testing.T) {
	type version struct {
		appliedAt time.Duration
		withheld  Withheld
	}
	rapid.Check(t, func(t *rapid.T) {
		tokens := func(name string) core.Tokens { return core.Tokens(rapid.IntRange(0, 10_000).Draw(t, name)) }
		milliseconds := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		versions := []version{{0, Withheld{Amount: tokens("amount")}}}
		current := func(at time.Duration) (withheld Withheld) {
			for _, v := range versions {
				if v.appliedAt <= at {
					withheld = v.withheld
				}
			}
			return withheld
		}
		clock := time.Duration(0)
		for range rapid.IntRange(1, 20).Draw(t, "commits") {
			clock += milliseconds("next commit", 8_000)
			most, rate, unallocated := tokens("most"), float64(tokens("rate"))/10, tokens("unallocated")
			plan := func(ahead time.Duration) core.Tokens { return max(most-core.Tokens(rate*ahead.Seconds()), 0) }
			before := current(clock)
			next := before.next(clock, tokens("wanted"), unallocated).planned(clock, plan, unallocated)
			if next.at(clock) > max(before.at(clock), unallocated) {
				t.Fatalf("%d are withheld of %d unallocated", next.at(clock), unallocated)
			}
			clock += milliseconds("late", 3_000)
			versions = append(versions, version{clock, next})
		}
		for at := time.Duration(0); at <= clock+2*MaxCopyAge; at += 250 * time.Millisecond {
			for copied := max(at-MaxCopyAge, 0); copied <= at; copied += 250 * time.Millisecond {
				if guaranteed := current(copied).guaranteed(at, 1); guaranteed > current(at).at(at) {
					t.Fatalf("the copy of %v guarantees %d at %v, %d are withheld", copied, guaranteed, at, current(at).at(at))
				}
			}
		}
	})
}

// earlierWithheld is what a build without steps reads and writes.
type earlierWithheld struct {
	Amount   core.Tokens `json:"a"`
	Lowering bool        `json:"l,omitempty"`
	Next     core.Tokens `json:"n,omitempty"`
	At       int64       `json:"t,omitempty"`
}

func (w earlierWithheld) at(clock time.Duration) core.Tokens {
	if w.Lowering && w.At > 0 && clock.Milliseconds() >= w.At {
		return w.Next
	}
	return w.Amount
}

func (w earlierWithheld) guaranteed() core.Tokens {
	if w.Lowering {
		return min(w.Amount, w.Next)
	}
	return w.Amount
}

// Guards against a build without steps that reads a ledger in a rolling upgrade, drops the
// steps, and so grants what a copy guarantees, or guarantees what others have granted.
func TestALedgerWrittenByAnEarlierBuildWithholdsNoLess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tokens := func(name string) core.Tokens { return core.Tokens(rapid.IntRange(0, 10_000).Draw(t, name)) }
		withheld, clock := Withheld{Amount: tokens("amount")}, time.Duration(0)
		for range rapid.IntRange(1, 10).Draw(t, "commits") {
			clock += time.Duration(rapid.IntRange(0, 8_000).Draw(t, "ms")) * time.Millisecond
			most, rate, unallocated := tokens("most"), float64(tokens("rate"))/10, tokens("unallocated")
			plan := func(ahead time.Duration) core.Tokens { return max(most-core.Tokens(rate*ahead.Seconds()), 0) }
			withheld = withheld.next(clock, tokens("wanted"), unallocated).planned(clock, plan, unallocated)
		}
		raw, err := json.Marshal(withheld)
		if err != nil {
			t.Fatal(err)
		}
		var earlier earlierWithheld
		var rewritten Withheld
		if err = json.Unmarshal(raw, &earlier); err != nil {
			t.Fatal(err)
		}
		if raw, err = json.Marshal(earlier); err != nil {
			t.Fatal(err)
		}
		if err = json.Unmarshal(raw, &rewritten); err != nil {
			t.Fatal(err)
		}
		for at := clock; at <= clock+2*MaxCopyAge; at += 100 * time.Millisecond {
			if earlier.at(at) < withheld.at(at) || rewritten.at(at) < withheld.at(at) {
				t.Fatalf("at %v, %d and %d are withheld of %d", at, earlier.at(at), rewritten.at(at), withheld.at(at))
			}
			if earlier.guaranteed() > withheld.guaranteed(at, 1) {
				t.Fatalf("at %v, %d are guaranteed of %d", at, earlier.guaranteed(), withheld.guaranteed(at, 1))
			}
		}
	})
}
