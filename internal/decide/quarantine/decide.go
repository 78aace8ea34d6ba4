package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// suspect is a trait with the crashes that speak against it.
type suspect struct {
	trait Trait
	// answered is true if a request with the trait was answered before.
	answered  bool
	crashes   int
	upstreams int
	latest    time.Time
	// word is the only host that saw the crashes, "" if others did or this host.
	word core.HostID
}

// decide derives the held traits from the crashes. It reports whether they changed.
//
// A request that crashes an upstream has innocent traits too, and breaks the
// requests beside it. So the trait that explains the most crashes is held first,
// and the crashes that it explains no longer count against others.
func (r *Registry) decide() bool {
	holds, words := make(Holds), make(map[core.HostID]int)
	remaining := slices.Clone(r.evidence)
	for len(holds) < maxHeld {
		worst, found := r.worstSuspect(remaining, words)
		if !found {
			break
		}
		holds[worst.trait.ID] = Hold{
			Trait: worst.trait.ID, Until: worst.latest.Add(holdTime(worst.crashes)), Crashes: worst.crashes, Upstreams: worst.upstreams,
		}
		words[worst.word]++
		explained := slices.DeleteFunc(slices.Clone(remaining), func(c evidence) bool { return c.trait.ID != worst.trait.ID })
		remaining = slices.DeleteFunc(remaining, func(c evidence) bool {
			return slices.ContainsFunc(explained, func(e evidence) bool { return sameCrash(c, e) })
		})
	}
	changed := len(holds) != len(r.holds)
	for trait := range holds {
		if _, held := r.holds[trait]; !held {
			changed = true
		}
	}
	for trait := range r.trials {
		if _, held := holds[trait]; !held {
			delete(r.trials, trait)
		}
	}
	r.holds = holds
	return changed
}

// worstSuspect returns the trait with the most crashes, if they suffice to hold it.
// Of equals, it prefers one that was never answered, then one of a single request, then
// the deepest: holding that one affects the fewest requests.
//
// words counts the traits that are held on the word of one other host.
func (r *Registry) worstSuspect(crashes []evidence, words map[core.HostID]int) (suspect, bool) {
	byTrait := make(map[string][]evidence)
	for _, c := range crashes {
		byTrait[c.trait.ID] = append(byTrait[c.trait.ID], c)
	}
	var suspects []suspect
	for _, records := range byTrait {
		counted, upstreams, sameZone := r.count(records)
		answered, word := r.answered(records[0].trait), r.onlyWitness(records)
		if !suffices(records[0].trait, answered, counted, upstreams, sameZone) || (word != "" && words[word] >= maxHeldByWord) {
			continue
		}
		suspects = append(suspects, suspect{
			trait: records[0].trait, answered: answered, crashes: counted, upstreams: upstreams, latest: records[len(records)-1].at, word: word,
		})
	}
	if len(suspects) == 0 {
		return suspect{}, false
	}
	rank := func(s suspect) int {
		switch {
		case s.answered:
			return 2
		case s.trait.Own:
			return 0
		default:
			return 1
		}
	}
	return slices.MinFunc(suspects, func(a, b suspect) int {
		return cmp.Or(cmp.Compare(b.crashes, a.crashes), cmp.Compare(rank(a), rank(b)),
			cmp.Compare(b.trait.Depth, a.trait.Depth), cmp.Compare(a.trait.ID, b.trait.ID))
	}), true
}

// suffices reports whether a trait is held after a number of separate crashes of a
// number of upstreams. sameZone is true if one of them was seen from its own zone.
//
// Requests that share a part may all be sent to the upstream that crashes by itself. One
// that is sent again and never answered is hardly in flight at each of its crashes by
// chance, so that a service with a single upstream is protected too. One that is sent
// all the time, and was answered, is in flight at crashes of any cause.
func suffices(trait Trait, answered bool, crashes, upstreams int, sameZone bool) bool {
	if trait.Own && !answered && crashes >= crossZoneCrashesToHold {
		return true
	}
	polled := trait.Own && answered
	needed := crossZoneCrashesToHold
	if sameZone && !polled {
		needed = crashesToHold
	}
	return crashes >= needed && upstreams >= upstreamsToHold
}

// answered reports whether a request with a trait was answered before the crashes.
func (r *Registry) answered(trait Trait) bool {
	if _, found := r.answers[trait.ID]; found || !trait.Own {
		return found
	}
	_, found := r.recent.find(trait.ID)
	return found
}

// onlyWitness returns the other host from which all records come, "" if there is none.
func (r *Registry) onlyWitness(records []evidence) core.HostID {
	for _, c := range records {
		if c.origin == r.self || c.origin != records[0].origin {
			return ""
		}
	}
	return records[0].origin
}

// count sorts the records of one trait by time and returns how many separate
// crashes they are about, of how many different upstreams, and whether one was
// observed from the upstream's zone. Of what one other host reports, fewer
// than crashesToHold count, so that a host that is wrong can't have a trait held
// everywhere that other requests share. A request that is sent again may come at the
// same host, so that its own traits are held by that host's word.
func (r *Registry) count(records []evidence) (crashes, upstreams int, sameZone bool) {
	slices.SortFunc(records, func(a, b evidence) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.origin, b.origin), cmp.Compare(a.upstream, b.upstream))
	})
	var counted []evidence
	crashed := make(map[core.UpstreamID]bool)
	byOrigin := make(map[core.HostID]int)
	for _, c := range records {
		if c.origin != r.self && !c.trait.Own && byOrigin[c.origin] >= crashesToHold-1 {
			continue
		}
		same := slices.ContainsFunc(counted, func(known evidence) bool {
			return sameCrash(known, c) || sameCause(c, known)
		})
		if same {
			continue
		}
		byOrigin[c.origin]++
		crashed[c.upstream] = true
		sameZone = sameZone || c.sameZone
		counted = append(counted, c)
	}
	return len(counted), len(crashed), sameZone
}

// holdTime is how long a trait is held after its latest crash.
func holdTime(crashes int) time.Duration {
	held := holdAfterCrash
	for range crashes - crashesToHold {
		if held *= 2; held >= maxHold {
			return maxHold
		}
	}
	return held
}
