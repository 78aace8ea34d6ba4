package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

const (
	// rumorSends is how many times a host passes on a crash or an answer. As each
	// host that learns of it does the same, all but about 1 host in 400 get it.
	rumorSends = 6
	// maxReportEntries bounds the crashes, and the answers, in one report. A crash
	// takes about 60 bytes.
	maxReportEntries = 96
	// fullInterval is the minimum time between two reports with all crashes of the
	// held traits.
	fullInterval = time.Second
	// maxFullPerTrait is the number of crashes of a held trait in such a report.
	maxFullPerTrait = crashesToHold + 2
)

// CrashReport tells a peer of a crash.
type CrashReport struct {
	// Part is the id of the trait, as hosts of earlier versions know it.
	Part     string
	Depth    int
	Own      bool
	Upstream core.UpstreamID
	// Age is the time since the crash.
	Age time.Duration
	// Origin is the host that observed the crash.
	Origin core.HostID
	// SameZone is true if that host is in the upstream's zone.
	SameZone bool
	// Repeat is that of Lost. Hosts of earlier versions do not send it.
	Repeat bool
}

// AnswerReport tells a peer that a request with a trait was answered.
type AnswerReport struct {
	// Part is the id of the trait, as hosts of earlier versions know it.
	Part string
	// Age is the time since the answer.
	Age time.Duration
}

// Report is what a host tells a peer. Its size is bounded by maxReportEntries.
type Report struct {
	// Digest identifies the held traits of the sender.
	Digest  uint64
	Crashes []CrashReport
	Answers []AnswerReport
}

// Report returns what to tell a peer: news that were not passed on often enough.
// If the peer holds other traits than this host, as after a restart or a
// partition, it also gets the crashes of this host's held traits. peer is nil if
// the peer's digest is not known.
func (r *Registry) Report(peer *uint64, now time.Time) Report {
	report := Report{Digest: r.holds.Digest()}
	if peer != nil && *peer != report.Digest && !now.Before(r.nextFull) {
		r.nextFull = now.Add(fullInterval)
		report.Crashes = r.heldCrashes(now)
	}
	news := r.news()
	for _, c := range news[:min(len(news), maxReportEntries-len(report.Crashes))] {
		c.sendsLeft--
		report.Crashes = append(report.Crashes, c.report(now))
	}
	for trait, answer := range r.answers {
		if answer.sendsLeft > 0 && len(report.Answers) < maxReportEntries {
			r.answers[trait] = answerTime{answer.at, answer.sendsLeft - 1}
			report.Answers = append(report.Answers, AnswerReport{trait, now.Sub(answer.at)})
		}
	}
	return report
}

// news returns the records that were not passed on often enough: first those of traits
// that were in flight at crashes of several upstreams, then those sent least often.
func (r *Registry) news() []*evidence {
	var news []*evidence
	first, repeated := make(map[string]core.UpstreamID), make(map[string]bool)
	for i := range r.evidence {
		c := &r.evidence[i]
		if upstream, found := first[c.trait.ID]; !found {
			first[c.trait.ID] = c.upstream
		} else if upstream != c.upstream {
			repeated[c.trait.ID] = true
		}
		if c.sendsLeft > 0 {
			news = append(news, c)
		}
	}
	slices.SortStableFunc(news, func(a, b *evidence) int {
		if repeated[a.trait.ID] != repeated[b.trait.ID] {
			if repeated[a.trait.ID] {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.sendsLeft, a.sendsLeft)
	})
	return news
}

func (r *Registry) heldCrashes(now time.Time) []CrashReport {
	var list []CrashReport
	perTrait := make(map[string]int)
	for i := len(r.evidence) - 1; i >= 0 && len(list) < maxReportEntries; i-- {
		c := r.evidence[i]
		if _, held := r.holds[c.trait.ID]; held && perTrait[c.trait.ID] < maxFullPerTrait {
			perTrait[c.trait.ID]++
			list = append(list, c.report(now))
		}
	}
	return list
}

func (c evidence) report(now time.Time) CrashReport {
	return CrashReport{Part: c.trait.ID, Depth: c.trait.Depth, Own: c.trait.Own, Upstream: c.upstream, Age: now.Sub(c.at), Origin: c.origin, SameZone: c.sameZone, Repeat: c.repeat}
}

func (c CrashReport) trait() Trait { return Trait{ID: c.Part, Depth: c.Depth, Own: c.Own} }

// Merge adds what a peer reports. It reports whether the held traits changed.
// Entries beyond maxReportEntries, and those with an impossible age, are ignored.
func (r *Registry) Merge(report Report, now time.Time) bool {
	changed := false
	for _, c := range report.Crashes[:min(len(report.Crashes), maxReportEntries)] {
		if c.Age < 0 || c.Age > crashTTL || c.Origin == "" {
			continue
		}
		changed = r.addCrash(evidence{
			trait: c.trait(), upstream: c.Upstream, at: now.Add(-c.Age), origin: c.Origin, sameZone: c.SameZone, repeat: c.Repeat, sendsLeft: rumorSends,
		}, now) || changed
	}
	// Answers to requests that no crash involves are ignored, so crashes come first.
	for _, answer := range report.Answers[:min(len(report.Answers), maxReportEntries)] {
		if answer.Age >= 0 && answer.Age <= crashTTL && r.suspected(answer.Part) {
			changed = r.addAnswer(answer.Part, now.Add(-answer.Age), now) || changed
		}
	}
	return changed && r.decide()
}

// HeldTraits returns the ids of the held traits in order, for logs.
func (h Holds) HeldTraits() []string { return slices.Sorted(maps.Keys(h)) }
