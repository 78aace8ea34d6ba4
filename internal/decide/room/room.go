// Package room decides whether a request is sent to an engine while engines have no room
// for all: by urgency, by what its kind and its team were served lately, and by whether it
// was refused before. It decides only if the expected wait is a good part of the longest
// with which requests are sent at all.
//
// The state is that of one host. Hosts do not tell each other about it: each takes part
// in what is free by the rate at which its own attempts end.
package room

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

const (
	// Ranks is the number of urgencies; 0 is the most urgent.
	Ranks = 10
	// ShortFraction is the fraction of MaxWait from which the expected wait decides if the
	// engine has no free slot: the requests that it runs make up a good part of the wait at
	// one with many slots. Below it, each request is sent. MaxWait is two objectives or more, so that the first event
	// is still in time at half of it; queues at engines that are longer than that starve
	// the least urgent requests, as more urgent ones go ahead of them.
	ShortFraction = 0.3
	// returningLimit is the multiple of MaxWait up to which callers that return are sent.
	// MaxWait is half of a caller's patience, so that a fifth of it is left.
	returningLimit = 1.6
	// minInFlight is the number of this host's attempts in flight from which their urgencies
	// tell how much of an expected wait is due to more urgent requests.
	minInFlight = 8
	// minQueueShare is the least part of the expected wait that is reckoned with. Requests
	// that run are preempted, but not in no time.
	minQueueShare = 0.25
	// kindFloor and teamFloor are the fractions of the share served of all to which a kind
	// and a team are entitled. The rule is a quarter.
	kindFloor = 0.35
	teamFloor = 0.35
	// largeFloor is the same for the largest tenth of a kind. The rule is a half.
	largeFloor = 0.65
	// overShare is the multiple of the mean tokens of teams above which a team gets only
	// what others leave.
	overShare = 1.1
	// minFree is the rate of places that a host without ended attempts counts on, per second.
	minFree = 1.0
	// maxReturnRatio is how many callers return to a host at most for each that it told to.
	// They return to any host; hosts with less traffic than others get more than they
	// told to.
	maxReturnRatio = 3.0
	// roundTrip is the least loss of time by which callers that return are recognized.
	// Return times begin at 250 ms; reading a request takes below 100 ms.
	roundTrip = 150 * time.Millisecond
)

// Request is the first placement of a request on an engine.
type Request struct {
	// Kind is the route.
	Kind string
	Rank int
	// Team is "" on public routes.
	Team   core.TeamName
	Tokens core.Tokens
	// Wait is the expected wait at the chosen engine, MaxWait the longest with which the
	// request is worth sending.
	Wait, MaxWait time.Duration
	// Busy is true if the chosen engine has no free slot.
	Busy bool
	// Left is the caller's time left, Arrived what it was when the request arrived.
	Left, Arrived time.Duration
}

// Cause is why a request is refused.
type Cause uint8

// The causes.
const (
	// None is that of a request that is sent.
	None Cause = iota
	// TooLong means that the caller would leave before an engine starts on the request.
	TooLong
	// LessUrgent means that what is free goes to more urgent kinds.
	LessUrgent
	// OverShare means that the team has had more than the others.
	OverShare
)

// Causes are the names of the causes, for logs and metrics.
var Causes = [...]string{None: "none", TooLong: "wait", LessUrgent: "urgency", OverShare: "team"}

// Verdict is the decision on a request.
type Verdict struct {
	// Send is false if the request is refused because of Cause.
	Send  bool
	Cause Cause
	// ReturnIn is when the caller is to return, 0 if it would not be served then.
	ReturnIn time.Duration
	// Returning is true for a caller that was refused before.
	Returning bool
}

// Table is the state of one host. Its callers pass in the current time.
type Table struct {
	kinds map[string]*kind
	teams map[core.TeamName]*team
	all   served
	// arrivals counts requests that were not refused before, by rank; returned those that
	// were and are sent, ended the attempts that have ended.
	arrivals [Ranks]decaying
	returned decaying
	ended    decaying
	// told counts callers that were told when to return, lookReturned requests that look as
	// if they had been.
	told, lookReturned decaying
	// waits is the sum of the expected waits as fractions of MaxWait, waitCount its weight.
	waits, waitCount decaying
	// tokens were given to all teams; activeTeams is the number of teams that share them.
	tokens      decaying
	activeTeams int
	sweptAt     time.Time
	// inFlight counts this host's attempts by rank, attempts has them by number.
	inFlight [Ranks]int
	attempts map[uint64]inFlight
	plan     plan
	// nextFree is when the first place becomes free that is not booked.
	nextFree time.Time
	refusals uint64
	counts   Counts
	short    bool
	shortAt  time.Time
}

type inFlight struct {
	kind    string
	rank    int
	beganAt time.Time
	// started is true once the answer has.
	started bool
}

// New returns the table of a host without requests.
func New() *Table {
	return &Table{kinds: make(map[string]*kind), teams: make(map[core.TeamName]*team), attempts: make(map[uint64]inFlight)}
}

func (t *Table) kindOf(name string) *kind {
	known, found := t.kinds[name]
	if !found {
		known = &kind{}
		t.kinds[name] = known
	}
	return known
}

func (t *Table) teamOf(name core.TeamName) *team {
	known, found := t.teams[name]
	if !found {
		known = &team{}
		t.teams[name] = known
	}
	return known
}

// Decide decides on a request.
func (t *Table) Decide(r Request, now time.Time) Verdict {
	r.Rank = min(max(r.Rank, 0), Ranks-1)
	k, group := t.kindOf(r.Kind), t.teamOf(r.Team)
	large := k.isLarge(r.Tokens)
	returning := k.returns(r.Arrived, now) && t.credible(now)
	if !returning {
		t.arrivals[r.Rank].add(1, now, rateHalfLife)
		t.all.ask(now)
		k.all.ask(now)
		group.all.ask(now)
		if large {
			k.large.ask(now)
		}
	}
	pressure := float64(r.Wait) / float64(max(r.MaxWait, 1))
	t.waits.add(pressure, now, pressureHalfLife)
	t.waitCount.add(1, now, pressureHalfLife)
	verdict := Verdict{Send: true, Returning: returning}
	if pressure > 1 || (pressure > ShortFraction && r.Busy) {
		verdict.Cause = t.refuse(r, k, group, large, returning, pressure, now)
		verdict.Send = verdict.Cause == None
	}
	if !verdict.Send {
		if verdict.ReturnIn = t.book(r, k, now); verdict.ReturnIn > 0 {
			t.told.add(1, now, rateHalfLife)
		}
		group.refused.add(1, now, rateHalfLife)
		t.shortAt = now
		t.count(r.Rank, verdict)
		return verdict
	}
	t.count(r.Rank, verdict)
	t.all.get(now)
	k.all.get(now)
	group.all.get(now)
	if large {
		k.large.get(now)
	}
	group.tokens.add(float64(r.Tokens), now, ratioHalfLife)
	t.tokens.add(float64(r.Tokens), now, ratioHalfLife)
	if returning {
		t.returned.add(1, now, rateHalfLife)
	}
	return verdict
}

// credible records a request that looks as if it had been refused before, and reports
// whether as many are expected: callers may also state different times from the start.
func (t *Table) credible(now time.Time) bool {
	t.lookReturned.add(1, now, rateHalfLife)
	return t.lookReturned.perSecond(now) <= max(maxReturnRatio*t.told.perSecond(now), minFree)
}

// free returns the rate at which places become free that this host may count on.
func (t *Table) free(now time.Time) float64 { return max(t.ended.perSecond(now), minFree) }

// refuse returns why a request is refused while room is short, None if it is sent.
func (t *Table) refuse(r Request, k *kind, group *team, large, returning bool, pressure float64, now time.Time) Cause {
	t.replan(now)
	pressure *= t.queueShare(r.Rank)
	if returning && pressure <= returningLimit && t.plan.takeReturn() {
		return None
	}
	if pressure > 1 {
		return TooLong
	}
	entitled := k.all.below(kindFloor, &t.all, now) || group.all.below(teamFloor, &t.all, now) || (large && k.large.below(largeFloor, &k.all, now))
	over := !entitled && t.over(r.Team, group, now)
	switch {
	case t.plan.take(r.Rank, entitled, over):
		return None
	case over:
		return OverShare
	default:
		return LessUrgent
	}
}

// over reports whether a team has had more tokens than the mean of teams.
func (t *Table) over(name core.TeamName, group *team, now time.Time) bool {
	if name == "" || t.activeTeams == 0 {
		return false
	}
	mean := t.tokens.value(now, ratioHalfLife) / float64(t.activeTeams)
	return group.tokens.value(now, ratioHalfLife) > overShare*mean
}

// queueShare returns the part of an expected wait that is due to requests which are as
// urgent, or more: engines serve those first.
func (t *Table) queueShare(rank int) float64 {
	total, ahead := 0, 0
	for other, count := range t.inFlight {
		total += count
		if other <= rank {
			ahead += count
		}
	}
	if total < minInFlight {
		return 1
	}
	return max(float64(ahead)/float64(total), minQueueShare)
}

// Began records that an attempt of a request is sent.
func (t *Table) Began(attempt uint64, kind string, rank int, now time.Time) {
	rank = min(max(rank, 0), Ranks-1)
	t.inFlight[rank]++
	t.attempts[attempt] = inFlight{kind: kind, rank: rank, beganAt: now}
}

// Started records that the answer of an attempt has started, so that it holds a place.
func (t *Table) Started(attempt uint64) {
	if known, found := t.attempts[attempt]; found && !known.started {
		known.started = true
		t.attempts[attempt] = known
	}
}

// Ended records that an attempt is over. If it held a place, that is free now.
func (t *Table) Ended(attempt uint64, now time.Time) {
	known, found := t.attempts[attempt]
	if !found {
		return
	}
	delete(t.attempts, attempt)
	t.inFlight[known.rank]--
	if known.started {
		t.ended.add(1, now, rateHalfLife)
		t.kindOf(known.kind).ended(now.Sub(known.beganAt))
	}
}

// Configure forgets the kinds and teams that are not kept.
func (t *Table) Configure(keepsKind func(string) bool, keepsTeam func(core.TeamName) bool) {
	for name := range t.kinds {
		if !keepsKind(name) {
			delete(t.kinds, name)
		}
	}
	for name := range t.teams {
		if name != "" && !keepsTeam(name) {
			delete(t.teams, name)
		}
	}
}
