package quarantine

import (
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
	maxReportEntries = 32
	// fullInterval is the minimum time between two reports with all crashes of the
	// held parts.
	fullInterval = time.Second
	// maxFullPerPart is the number of crashes of a held part in such a report.
	maxFullPerPart = crashesToHold + 2
)

// CrashReport tells a peer of a crash.
type CrashReport struct {
	Part  string
	Depth int
	// Own is true for the last part of a prompt.
	Own      bool
	Upstream core.UpstreamID
	// Age is the time since the crash.
	Age time.Duration
	// Origin is the host that observed the crash.
	Origin core.HostID
	// SameZone is true if that host is in the upstream's zone.
	SameZone bool
}

// AnswerReport tells a peer that a part was answered.
type AnswerReport struct {
	Part string
	// Age is the time since the answer.
	Age time.Duration
}

// Report is what a host tells a peer. Its size is bounded by maxReportEntries.
type Report struct {
	// Digest identifies the held parts of the sender.
	Digest  uint64
	Crashes []CrashReport
	Answers []AnswerReport
}

// Report returns what to tell a peer: news that were not passed on often enough.
// If the peer holds other parts than this host, as after a restart or a
// partition, it also gets the crashes of this host's held parts. peer is nil if
// the peer's digest is not known.
func (r *Registry) Report(peer *uint64, now time.Time) Report {
	report := Report{Digest: r.holds.Digest()}
	if peer != nil && *peer != report.Digest && !now.Before(r.nextFull) {
		r.nextFull = now.Add(fullInterval)
		report.Crashes = r.heldCrashes(now)
	}
	for i := range r.evidence {
		c := &r.evidence[i]
		if c.sendsLeft > 0 && len(report.Crashes) < maxReportEntries {
			c.sendsLeft--
			report.Crashes = append(report.Crashes, c.report(now))
		}
	}
	for part, answer := range r.answers {
		if answer.sendsLeft > 0 && len(report.Answers) < maxReportEntries {
			r.answers[part] = answerTime{answer.at, answer.sendsLeft - 1}
			report.Answers = append(report.Answers, AnswerReport{part, now.Sub(answer.at)})
		}
	}
	return report
}

func (r *Registry) heldCrashes(now time.Time) []CrashReport {
	var list []CrashReport
	perPart := make(map[string]int)
	for i := len(r.evidence) - 1; i >= 0 && len(list) < maxReportEntries; i-- {
		c := r.evidence[i]
		if _, held := r.holds[c.part]; held && perPart[c.part] < maxFullPerPart {
			perPart[c.part]++
			list = append(list, c.report(now))
		}
	}
	return list
}

func (c evidence) report(now time.Time) CrashReport {
	return CrashReport{Part: c.part, Depth: c.depth, Own: c.own, Upstream: c.upstream, Age: now.Sub(c.at), Origin: c.origin, SameZone: c.sameZone}
}

// Merge adds what a peer reports. It reports whether the held parts changed.
// Entries beyond maxReportEntries, and those with an impossible age, are ignored.
func (r *Registry) Merge(report Report, now time.Time) bool {
	changed := false
	for _, answer := range report.Answers[:min(len(report.Answers), maxReportEntries)] {
		if answer.Age >= 0 && answer.Age <= crashTTL && r.suspected(answer.Part) {
			changed = r.addAnswer(answer.Part, now.Add(-answer.Age), now) || changed
		}
	}
	for _, c := range report.Crashes[:min(len(report.Crashes), maxReportEntries)] {
		if c.Age < 0 || c.Age > crashTTL || c.Origin == "" {
			continue
		}
		changed = r.addCrash(evidence{
			part: c.Part, depth: c.Depth, own: c.Own, upstream: c.Upstream, at: now.Add(-c.Age), origin: c.Origin, sameZone: c.SameZone, sendsLeft: rumorSends,
		}, now) || changed
	}
	return changed && r.decide()
}

// HeldParts returns the ids of the held parts in order, for logs.
func (h Holds) HeldParts() []string {
	parts := make([]string, 0, len(h))
	for part := range h {
		parts = append(parts, part)
	}
	slices.Sort(parts)
	return parts
}
