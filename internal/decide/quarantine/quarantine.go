// Package quarantine decides which requests crash upstreams, from the crashes that
// the hosts of the fleet observed, and holds them back for a limited time.
//
// It knows requests by their traits: the parts of their prompt, and what is equal in
// a request that is sent again. A trait is held once it was in flight, without an
// answer, in several crashes of different upstreams, and no request with it was
// answered since. Any answer clears a trait. All state is derived from crashes and
// answers, so that hosts that know the same ones agree, in whatever order they
// learned of them.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/gateway"
)

const (
	// crashesToHold is the number of crashes after which a trait is held. Two can
	// be a coincidence for one that is rarely used.
	crashesToHold = 3
	// crossZoneCrashesToHold replaces crashesToHold if no crash was observed from
	// the upstream's own zone: a partition that resets connections looks like the
	// crash of all upstreams beyond it.
	crossZoneCrashesToHold = 5
	// upstreamsToHold is the number of different upstreams that must have
	// crashed: an upstream that crashes by itself breaks the requests for which
	// it is the affinity upstream again and again.
	upstreamsToHold = 2
	// sameCrashWindow is the time within which reports about an upstream are
	// about one crash. An upstream takes seconds to restart.
	sameCrashWindow = 2 * time.Second
	// simultaneousWindow is the time within which crashes of several upstreams
	// count as one, because a common cause such as the loss of a rack is likelier
	// than several requests. Hosts notice a loss up to a tenth of a second late when
	// their processor is stopped.
	simultaneousWindow = 150 * time.Millisecond
	// holdAfterCrash is how long a trait is held after its latest crash. The time
	// doubles with each crash beyond crashesToHold, up to maxHold.
	holdAfterCrash = 30 * time.Second
	maxHold        = 4 * time.Minute
	// crashTTL is how long a crash is remembered. It exceeds maxHold, so that a
	// trait whose hold has ended is tried by one request at a time.
	crashTTL = 10 * time.Minute
	// maxTrialRank bounds the time until a host may try: at 330 hosts, a request that
	// comes at one of them would otherwise wait for minutes.
	maxTrialRank = 15
	// trialSpacing is the time between the trials of two hosts, and of one host.
	// A trial ends within a second, and its result reaches most hosts in another.
	trialSpacing = 2 * time.Second
	// maxCrashes and maxAnswers bound what a host remembers. An upstream that crashes
	// while 128 requests wait for it leaves some 300 records of crashes.
	maxCrashes = 1024
	maxAnswers = 8192
	// maxWitnesses is the number of hosts whose records of one crash are kept for a
	// trait, since a part that many requests share was in flight from all hosts. Of one
	// host, fewer than crashesToHold records count.
	maxWitnesses = crashesToHold
	// answerTTL is how long an answer is remembered while no crash involves its
	// trait.
	answerTTL = 30 * time.Second
	// maxHeld bounds the traits that are held at the same time, maxHeldByWord those that
	// only one other host has seen crash upstreams, which may be wrong.
	maxHeld       = 16
	maxHeldByWord = 4
	// maxTraitBytes bounds the id of a trait; longer ones are ignored.
	maxTraitBytes = 64
)

// Trait is what a request has in common with others that may crash upstreams.
type Trait struct {
	// ID is that of a prompt part, or the request's fingerprint.
	ID string
	// Depth orders the traits of a request from those that most others share.
	Depth int
	// Own is true for the traits that other requests share only if they are the same
	// one, sent again, or of the same session.
	Own bool
}

// TraitsOf returns the traits of a request: the parts of its prompt, of which the last
// is that of the request or of its session, or its fingerprint if it has none. prompt may
// be nil. public is true if the caller is not known, so that requests with equal
// fingerprints may be of different callers.
func TraitsOf(prompt *gateway.Prompt, fingerprint string, public bool) []Trait {
	if prompt == nil || len(prompt.Parts) == 0 {
		return []Trait{{ID: fingerprint, Own: !public}}
	}
	traits := make([]Trait, len(prompt.Parts))
	for depth, part := range prompt.Parts {
		traits[depth] = Trait{ID: part.ID, Depth: depth, Own: depth == len(prompt.Parts)-1}
	}
	return traits
}

// Hold describes a trait that is held.
type Hold struct {
	Trait string
	// Until is when the first request with the trait may be tried again.
	Until time.Time
	// Crashes and Upstreams count what the decision is based on.
	Crashes   int
	Upstreams int
}

// Holds is the set of held traits, by id. It is immutable.
type Holds map[string]Hold

// Find returns the hold of the first of the traits that is held.
func (h Holds) Find(traits []Trait) (Hold, bool) {
	if len(h) == 0 {
		return Hold{}, false
	}
	for _, trait := range traits {
		if hold, found := h[trait.ID]; found {
			return hold, true
		}
	}
	return Hold{}, false
}

// Crash is a crash of an upstream that this host observed.
type Crash struct {
	Upstream core.UpstreamID
	At       time.Time
	// SameZone is true if the host is in the upstream's zone.
	SameZone bool
}

// Lost is a request that was in flight at a crash without an answer.
type Lost struct {
	Traits []Trait
	// Repeat is true if the request was sent after a crash with one of its own traits
	// was known, so that a cause which both have in common is less likely.
	Repeat bool
}

// evidence is a crash of an upstream while a request with the trait was in flight
// there without an answer.
type evidence struct {
	trait    Trait
	upstream core.UpstreamID
	at       time.Time
	// origin is the host that observed the crash; sameZone is true if it is in the
	// upstream's zone.
	origin   core.HostID
	sameZone bool
	repeat   bool
	// sendsLeft is how many more times the crash is sent to a peer.
	sendsLeft int
}

// answerTime is when a request with a trait was answered last.
type answerTime struct {
	at        time.Time
	sendsLeft int
}

// Registry is what one host knows of crashes and answers. Its callers pass in the
// current time.
type Registry struct {
	self     core.HostID
	evidence []evidence
	// records is the number of records of each trait in evidence.
	records map[string]int
	answers map[string]answerTime
	// recent are answers to single requests that no crash involves.
	recent recentAnswers
	holds  Holds
	// trials is when this host last let a request with a held trait through.
	trials map[string]time.Time
	// nextFull is when a peer that holds other traits is next sent all crashes of
	// this host's held ones.
	nextFull time.Time
}

// New returns the registry of a host.
func New(self core.HostID) *Registry {
	return &Registry{self: self, records: make(map[string]int), answers: make(map[string]answerTime), trials: make(map[string]time.Time)}
}

// Holds returns the traits that are held.
func (r *Registry) Holds() Holds { return r.holds }

// RecordCrash records that an upstream crashed while requests were in flight there
// without an answer.
func (r *Registry) RecordCrash(observed Crash, lost []Lost, now time.Time) {
	changed := false
	for _, request := range lost {
		for _, trait := range request.Traits {
			changed = r.addCrash(evidence{
				trait: trait, upstream: observed.Upstream, at: observed.At,
				origin: r.self, sameZone: observed.SameZone, repeat: request.Repeat, sendsLeft: rumorSends,
			}, now) || changed
		}
	}
	if changed {
		r.decide()
	}
}

// RecordAnswer records that a request with the traits was answered, which clears
// them. It reports whether that cleared a crash, or was the first answer to a suspected
// trait.
func (r *Registry) RecordAnswer(traits []Trait, now time.Time) bool {
	changed := false
	for _, trait := range traits {
		if trait.Own {
			r.recent.add(trait.ID, true, now)
			if !r.suspected(trait.ID) {
				continue
			}
		}
		changed = r.addAnswer(trait.ID, now, now) || changed
	}
	if changed {
		r.decide()
	}
	return changed
}

// RecordFailure records that an upstream answered a request with a failure. It clears
// nothing, as the upstream may not have run the request.
func (r *Registry) RecordFailure(traits []Trait, now time.Time) {
	for _, trait := range traits {
		if trait.Own {
			r.recent.add(trait.ID, false, now)
		}
	}
}

// Suspects reports whether one of the traits was in flight, without an answer since,
// at a crash of an upstream other than those given.
func (r *Registry) Suspects(traits []Trait, except []core.UpstreamID) bool {
	for _, trait := range traits {
		if r.suspected(trait.ID) && slices.ContainsFunc(r.evidence, func(c evidence) bool { return c.trait.ID == trait.ID && !slices.Contains(except, c.upstream) }) {
			return true
		}
	}
	return false
}

// Repeats reports whether an own trait was in flight, without an answer since, at a
// crash that is known.
func (r *Registry) Repeats(traits []Trait) bool {
	return slices.ContainsFunc(traits, func(trait Trait) bool { return trait.Own && r.suspected(trait.ID) })
}

// AllowTrial reports whether a request with a held trait may be sent, as a trial
// whether it still crashes upstreams, and records the trial. rank is the position of
// this host in an order of all hosts that depends on the trait. Hosts try one after
// the other, so that a request that still crashes upstreams ends few of them.
func (r *Registry) AllowTrial(trait string, rank int, now time.Time) bool {
	hold, found := r.holds[trait]
	if !found {
		return true
	}
	if now.Before(hold.Until.Add(time.Duration(min(rank, maxTrialRank))*trialSpacing)) || now.Sub(r.trials[trait]) < trialSpacing {
		return false
	}
	r.trials[trait] = now
	return true
}

// Expire forgets what is too old. It reports whether the held traits changed.
func (r *Registry) Expire(now time.Time) bool {
	before := len(r.evidence)
	r.forget(func(c evidence) bool { return now.Sub(c.at) > crashTTL })
	for trait, answer := range r.answers {
		if now.Sub(answer.at) > answerTTL && !r.suspected(trait) {
			delete(r.answers, trait)
		}
	}
	return before != len(r.evidence) && r.decide()
}

// addCrash stores a crash. It returns false if it is known, cleared by a later
// answer, or invalid.
func (r *Registry) addCrash(c evidence, now time.Time) bool {
	if c.trait.ID == "" || len(c.trait.ID) > maxTraitBytes || now.Sub(c.at) > crashTTL {
		return false
	}
	if at, found := r.recent.find(c.trait.ID); found && c.trait.Own && at.After(r.answers[c.trait.ID].at) {
		// Hosts that did not see the answer learn of it with the crash.
		r.addAnswer(c.trait.ID, at, now)
		r.answers[c.trait.ID] = answerTime{at, rumorSends}
	}
	if answer, found := r.answers[c.trait.ID]; found && !c.at.After(answer.at) {
		// Hosts that have not heard of the answer learn of it.
		r.answers[c.trait.ID] = answerTime{answer.at, rumorSends}
		return false
	}
	if added, known := r.addWitness(c); known {
		return added
	}
	if len(r.evidence) >= maxCrashes {
		r.dropOldest()
	}
	r.evidence = append(r.evidence, c)
	r.records[c.trait.ID]++
	return true
}

// addWitness replaces a record of the same crash by one that counts before it, if the
// crash has enough records. known is false if the record is still to be added.
func (r *Registry) addWitness(c evidence) (added, known bool) {
	if !r.suspected(c.trait.ID) {
		return false, false
	}
	witnesses, last := 0, -1
	for i, other := range r.evidence {
		if other.trait.ID != c.trait.ID || !sameCrash(other, c) {
			continue
		}
		if other.origin == c.origin {
			return false, true
		}
		witnesses++
		if last < 0 || compareWitnesses(other, r.evidence[last]) > 0 {
			last = i
		}
	}
	if witnesses < maxWitnesses {
		return false, false
	}
	if compareWitnesses(c, r.evidence[last]) >= 0 {
		return false, true
	}
	r.evidence[last] = c
	return true, true
}

// compareWitnesses orders records of a crash by how much they count. Their times do not
// matter, as they differ from host to host by the delays of reports, and all hosts are to
// keep the same records.
func compareWitnesses(a, b evidence) int {
	if a.sameZone != b.sameZone {
		if a.sameZone {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.origin, b.origin)
}

// dropOldest forgets the oldest record of a trait that has no other; if there is none,
// the oldest of a trait that is not held, or the oldest of all.
func (r *Registry) dropOldest() {
	rank := func(c evidence) int {
		if _, held := r.holds[c.trait.ID]; held {
			return 2
		}
		return min(r.records[c.trait.ID]-1, 1)
	}
	oldest := 0
	for i, c := range r.evidence {
		if cmp.Or(cmp.Compare(rank(c), rank(r.evidence[oldest])), c.at.Compare(r.evidence[oldest].at)) < 0 {
			oldest = i
		}
	}
	r.uncount(r.evidence[oldest].trait.ID)
	r.evidence = slices.Delete(r.evidence, oldest, oldest+1)
}

// forget deletes the records for which remove returns true.
func (r *Registry) forget(remove func(evidence) bool) {
	r.evidence = slices.DeleteFunc(r.evidence, func(c evidence) bool {
		if !remove(c) {
			return false
		}
		r.uncount(c.trait.ID)
		return true
	})
}

func (r *Registry) uncount(trait string) {
	if r.records[trait]--; r.records[trait] <= 0 {
		delete(r.records, trait)
	}
}

// addAnswer stores the time of an answer and forgets the crashes that it clears. It
// reports whether the held traits may change: there were such crashes, or it is the first
// answer to a suspected trait, which is held after others from then on.
func (r *Registry) addAnswer(trait string, at, now time.Time) bool {
	known, found := r.answers[trait]
	if found && !at.After(known.at) {
		return false
	}
	first := !found && r.suspected(trait)
	if len(r.answers) >= maxAnswers {
		r.dropAnswers(now)
	}
	before := len(r.evidence)
	if r.suspected(trait) {
		r.forget(func(c evidence) bool { return c.trait.ID == trait && !c.at.After(at) })
	}
	cleared := before != len(r.evidence)
	answer := answerTime{at: at}
	if cleared || r.suspected(trait) {
		answer.sendsLeft = rumorSends
	}
	r.answers[trait] = answer
	return cleared || first
}

// dropAnswers makes room for answers: it forgets those that are too old, or all of
// traits that no crash involves.
func (r *Registry) dropAnswers(now time.Time) {
	for trait, answer := range r.answers {
		if now.Sub(answer.at) > answerTTL {
			delete(r.answers, trait)
		}
	}
	if len(r.answers) < maxAnswers {
		return
	}
	for trait := range r.answers {
		if !r.suspected(trait) {
			delete(r.answers, trait)
		}
	}
}

func (r *Registry) suspected(trait string) bool { return r.records[trait] > 0 }

// sameCrash reports whether two records are about the same crash of an upstream.
func sameCrash(a, b evidence) bool {
	return a.upstream == b.upstream && a.at.Sub(b.at).Abs() < sameCrashWindow
}

// sameCause reports whether a record may have the cause of an earlier one, such as the
// loss of a rack.
func sameCause(c, earlier evidence) bool {
	separate := c.repeat && c.trait.Own
	return !separate && c.at.Sub(earlier.at) < simultaneousWindow
}

// Digest identifies the set of held traits, so that hosts notice cheaply that
// theirs differ.
func (h Holds) Digest() uint64 {
	var digest uint64
	for trait := range h {
		digest ^= xxhash.Sum64String(trait)
	}
	return digest
}
