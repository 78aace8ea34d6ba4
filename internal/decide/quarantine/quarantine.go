// Package quarantine decides which prompt parts crash upstreams, from the
// crashes that the hosts of the fleet observed, and holds back requests with
// such parts for a limited time.
//
// A part is held once it was in flight, without an answer, in several crashes of
// different upstreams, and no request with it was answered since. Any answer
// clears a part. All state is derived from crashes and answers, so that hosts
// that know the same ones agree, in whatever order they learned of them.
package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/gateway"
)

const (
	// crashesToHold is the number of crashes after which a part is held. Two can
	// be a coincidence for a part that is rarely used.
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
	// holdAfterCrash is how long a part is held after its latest crash. The time
	// doubles with each crash beyond crashesToHold, up to maxHold.
	holdAfterCrash = 30 * time.Second
	maxHold        = 4 * time.Minute
	// crashTTL is how long a crash is remembered. It exceeds maxHold, so that a
	// part whose hold has ended is tried by one request at a time.
	crashTTL = 10 * time.Minute
	// trialSpacing is the time between the trials of two hosts, and of one host.
	// A trial ends within a second, and its result reaches most hosts in another.
	trialSpacing = 2 * time.Second
	// maxCrashes and maxAnswers bound what a host remembers.
	maxCrashes = 512
	maxAnswers = 8192
	// answerTTL is how long an answer is remembered while no crash involves its
	// part.
	answerTTL = 30 * time.Second
	// maxHeld bounds the parts that are held at the same time.
	maxHeld = 16
	// maxPartBytes bounds the id of a part; longer ones are ignored.
	maxPartBytes = 64
)

// Hold describes a part that is held.
type Hold struct {
	Part string
	// Until is when the first request with the part may be tried again.
	Until time.Time
	// Crashes and Upstreams count what the decision is based on.
	Crashes   int
	Upstreams int
}

// Holds is the set of held parts, by id. It is immutable.
type Holds map[string]Hold

// Find returns the hold of the first held part of a prompt. The last part is that of
// the request itself, or of its session: it is held if callers send a request again
// that crashes each upstream.
func (h Holds) Find(prompt *gateway.Prompt) (Hold, bool) {
	if len(h) == 0 || prompt == nil {
		return Hold{}, false
	}
	for _, part := range prompt.Parts {
		if hold, found := h[part.ID]; found {
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

// evidence is a crash of an upstream while a request with the part was in flight
// there without an answer.
type evidence struct {
	part  string
	depth int
	// own is true for the last part of a prompt.
	own      bool
	upstream core.UpstreamID
	at       time.Time
	// origin is the host that observed the crash; sameZone is true if it is in the
	// upstream's zone.
	origin   core.HostID
	sameZone bool
	// sendsLeft is how many more times the crash is sent to a peer.
	sendsLeft int
}

// answerTime is when a request with a part was answered last.
type answerTime struct {
	at        time.Time
	sendsLeft int
}

// Registry is what one host knows of crashes and answers. Its callers pass in the
// current time.
type Registry struct {
	self     core.HostID
	evidence []evidence
	answers  map[string]answerTime
	holds    Holds
	// trials is when this host last let a request with a held part through.
	trials map[string]time.Time
	// nextFull is when a peer that holds other parts is next sent all crashes of
	// this host's held parts.
	nextFull time.Time
}

// New returns the registry of a host.
func New(self core.HostID) *Registry {
	return &Registry{self: self, answers: make(map[string]answerTime), trials: make(map[string]time.Time)}
}

// Holds returns the parts that are held.
func (r *Registry) Holds() Holds { return r.holds }

// RecordCrash records that an upstream crashed while a request with the prompt was
// in flight there without an answer.
func (r *Registry) RecordCrash(prompt *gateway.Prompt, observed Crash, now time.Time) {
	changed := false
	for depth, part := range prompt.Parts {
		changed = r.addCrash(evidence{
			part: part.ID, depth: depth, upstream: observed.Upstream, at: observed.At, own: depth == len(prompt.Parts)-1,
			origin: r.self, sameZone: observed.SameZone, sendsLeft: rumorSends,
		}, now) || changed
	}
	if changed {
		r.decide()
	}
}

// RecordAnswer records that a request with the prompt was answered, which clears
// its parts. It reports whether that cleared a crash.
func (r *Registry) RecordAnswer(prompt *gateway.Prompt, now time.Time) bool {
	cleared := false
	for i, part := range prompt.Parts {
		if i == len(prompt.Parts)-1 && !r.suspected(part.ID) {
			continue // most last parts are never seen again
		}
		cleared = r.addAnswer(part.ID, now, now) || cleared
	}
	if cleared {
		r.decide()
	}
	return cleared
}

// Suspects reports whether a part of the prompt was in flight, without an answer
// since, at a crash of an upstream other than those given.
func (r *Registry) Suspects(prompt *gateway.Prompt, except []core.UpstreamID) bool {
	if prompt == nil {
		return false
	}
	for _, part := range prompt.Parts {
		if slices.ContainsFunc(r.evidence, func(c evidence) bool { return c.part == part.ID && !slices.Contains(except, c.upstream) }) {
			return true
		}
	}
	return false
}

// AllowTrial reports whether a request with a held part may be sent, as a trial
// whether the part still crashes upstreams, and records the trial. rank is the
// position of this host in an order of all hosts that depends on the part.
// Hosts try one after the other, so that a part that still crashes upstreams ends
// few of them.
func (r *Registry) AllowTrial(part string, rank int, now time.Time) bool {
	hold, found := r.holds[part]
	if !found {
		return true
	}
	if now.Before(hold.Until.Add(time.Duration(rank)*trialSpacing)) || now.Sub(r.trials[part]) < trialSpacing {
		return false
	}
	r.trials[part] = now
	return true
}

// Expire forgets what is too old. It reports whether the held parts changed.
func (r *Registry) Expire(now time.Time) bool {
	before := len(r.evidence)
	r.evidence = slices.DeleteFunc(r.evidence, func(c evidence) bool { return now.Sub(c.at) > crashTTL })
	for part, answer := range r.answers {
		if now.Sub(answer.at) > answerTTL && !r.suspected(part) {
			delete(r.answers, part)
		}
	}
	return before != len(r.evidence) && r.decide()
}

// addCrash stores a crash. It returns false if it is known, cleared by a later
// answer, or invalid.
func (r *Registry) addCrash(c evidence, now time.Time) bool {
	if c.part == "" || len(c.part) > maxPartBytes || now.Sub(c.at) > crashTTL {
		return false
	}
	if answer, found := r.answers[c.part]; found && !c.at.After(answer.at) {
		// Hosts that have not heard of the answer learn of it.
		r.answers[c.part] = answerTime{answer.at, rumorSends}
		return false
	}
	for _, known := range r.evidence {
		if known.part == c.part && known.origin == c.origin && sameCrash(known, c) {
			return false
		}
	}
	if len(r.evidence) >= maxCrashes {
		r.dropOldest()
	}
	r.evidence = append(r.evidence, c)
	return true
}

// dropOldest forgets the oldest crash whose part is not held, or the oldest of all.
func (r *Registry) dropOldest() {
	oldest := -1
	for i, c := range r.evidence {
		_, held := r.holds[c.part]
		if !held && (oldest < 0 || c.at.Before(r.evidence[oldest].at)) {
			oldest = i
		}
	}
	r.evidence = slices.Delete(r.evidence, max(oldest, 0), max(oldest, 0)+1)
}

// addAnswer stores the time of an answer and forgets the crashes that it clears.
// It returns true if there were any.
func (r *Registry) addAnswer(part string, at, now time.Time) bool {
	if known, found := r.answers[part]; found && !at.After(known.at) {
		return false
	}
	if len(r.answers) >= maxAnswers {
		r.dropAnswers(now)
	}
	before := len(r.evidence)
	r.evidence = slices.DeleteFunc(r.evidence, func(c evidence) bool { return c.part == part && !c.at.After(at) })
	cleared := before != len(r.evidence)
	answer := answerTime{at: at}
	if cleared {
		answer.sendsLeft = rumorSends
	}
	r.answers[part] = answer
	return cleared
}

// dropAnswers makes room for answers: it forgets those that are too old, or all of
// parts that no crash involves.
func (r *Registry) dropAnswers(now time.Time) {
	for part, answer := range r.answers {
		if now.Sub(answer.at) > answerTTL {
			delete(r.answers, part)
		}
	}
	if len(r.answers) < maxAnswers {
		return
	}
	for part := range r.answers {
		if !r.suspected(part) {
			delete(r.answers, part)
		}
	}
}

func (r *Registry) suspected(part string) bool {
	return slices.ContainsFunc(r.evidence, func(c evidence) bool { return c.part == part })
}

// sameCrash reports whether two records are about the same crash of an upstream.
func sameCrash(a, b evidence) bool {
	return a.upstream == b.upstream && a.at.Sub(b.at).Abs() < sameCrashWindow
}

// Digest identifies the set of held parts, so that hosts notice cheaply that
// theirs differ.
func (h Holds) Digest() uint64 {
	var digest uint64
	for part := range h {
		digest ^= xxhash.Sum64String(part)
	}
	return digest
}
