package teamtable

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/peridotreel/peridotreel/internal/core"
)

// TestMain fixes rapid's seed, so that the result is the same on each run;
// -rapid.seed overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20261204")
	}
	m.Run()
}

func validRow(team core.TeamName, version int64, digests ...string) *core.TeamRow {
	return &core.TeamRow{Team: team, Version: version, Weight: 1, Budget: "b", MaxInFlight: 1, TokensPerSecond: 1,
		Deadline: time.Second, KeyDigests: digests, Classes: []core.ClassRow{{Name: "c", MaxTokens: 1}}}
}

// commit is one commit to the platform's table.
type commit struct {
	change   Change
	revision int64
}

var errInvalid = errors.New("weight: is 0; set it to 1 or more")

// oracle is the reference model of what a host must have in force: for each team,
// the highest valid version delivered so far.
type oracle map[core.TeamName]commit

func (o oracle) deliver(c commit) {
	if c.change.Invalid == nil && c.change.Version > o[c.change.Team].change.Version {
		o[c.change.Team] = c
	}
}

func (o oracle) check(t *rapid.T, snapshot *Snapshot) {
	live := 0
	owners := make(map[string]core.TeamName)
	for team, latest := range o {
		row := snapshot.Teams[team]
		if latest.change.Deleted {
			if row != nil {
				t.Fatalf("team %s is in force as version %d, but version %d deleted it", team, row.Version, latest.change.Version)
			}
			continue
		}
		live++
		if row == nil || row.Version != latest.change.Version {
			t.Fatalf("team %s is in force as %v, want version %d", team, row, latest.change.Version)
		}
		for _, digest := range row.KeyDigests {
			if owner, taken := owners[digest]; !taken || team < owner {
				owners[digest] = team
			}
		}
	}
	if len(snapshot.Teams) != live || len(snapshot.ByKeyDigest) != len(owners) {
		t.Fatalf("%d teams and %d keys are in force, want %d and %d", len(snapshot.Teams), len(snapshot.ByKeyDigest), live, len(owners))
	}
	for digest, owner := range owners {
		if snapshot.ByKeyDigest[digest] != snapshot.Teams[owner] {
			t.Fatalf("key %s belongs to %s, want %s", digest, snapshot.ByKeyDigest[digest].Team, owner)
		}
	}
}

func drawCommits(t *rapid.T) []commit {
	versions := make(map[core.TeamName]int64)
	var commits []commit
	for revision := range rapid.IntRange(1, 40).Draw(t, "commits") {
		team := core.TeamName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"))
		versions[team]++
		change := Change{Team: team, Version: versions[team]}
		switch rapid.IntRange(0, 5).Draw(t, "kind") {
		case 0:
			change.Deleted = true
		case 1:
			change.Invalid = errInvalid
		default:
			change.TeamRow = validRow(team, change.Version, rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "digest"))
		}
		commits = append(commits, commit{change, int64(revision + 1)})
	}
	return commits
}

// Guards against a row that reverts to an older version when change sets arrive
// reordered or repeated, against keys that stay assigned to a replaced row, and
// against changes to a snapshot that readers still use.
func TestMergeNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		commits := drawCommits(t)
		table, want := NewTable(), make(oracle)
		for range rapid.IntRange(1, 30).Draw(t, "deliveries") {
			before := table.Snapshot()
			teams, keys := maps.Clone(before.Teams), maps.Clone(before.ByKeyDigest)
			var changes []Change
			for range rapid.IntRange(0, 6).Draw(t, "rows") {
				delivered := rapid.SampledFrom(commits).Draw(t, "row")
				changes = append(changes, delivered.change)
				want.deliver(delivered)
			}
			through := rapid.Int64Range(0, int64(len(commits))).Draw(t, "through")
			result := table.Apply(changes, through)
			if result.Accepted+result.Stale+result.Invalid != len(changes) {
				t.Fatalf("%+v doesn't account for %d rows", result, len(changes))
			}
			if revision := table.Snapshot().Revision; revision < before.Revision || revision < through {
				t.Fatalf("revision went from %d to %d with a set through %d", before.Revision, revision, through)
			}
			want.check(t, table.Snapshot())
			if !maps.Equal(teams, before.Teams) || !maps.Equal(keys, before.ByKeyDigest) {
				t.Fatal("a snapshot that a reader holds has changed")
			}
		}
	})
}

// Guards against saves that overwrite another operator's row, and against errors
// that don't name the invalid field.
func TestPlan(t *testing.T) {
	Convey("A save with a stale version returns the other operator's row", t, func() {
		current := validRow("a", 4)
		_, err := PlanEdit(Edit{Team: "a", Expected: 3, Row: validRow("a", 0)}, current, nil)
		var conflict *ConflictError
		So(errors.As(err, &conflict), ShouldBeTrue)
		So(conflict.Current, ShouldEqual, current)
	})
	Convey("An error names the invalid field, the invalid name or the other team's key", t, func() {
		bad := validRow("a", 0)
		bad.Weight = 0
		_, err := PlanEdit(Edit{Team: "a", Row: bad}, nil, nil)
		So(err.Error(), ShouldContainSubstring, "weight:")
		_, err = PlanEdit(Edit{Team: "a/b", Row: validRow("a/b", 0)}, nil, nil)
		So(err.Error(), ShouldContainSubstring, "slash")
		digest := fmt.Sprintf("%064x", 5)
		snapshot := &Snapshot{ByKeyDigest: map[string]*core.TeamRow{digest: validRow("b", 1, digest)}}
		_, err = PlanEdit(Edit{Team: "a", Row: validRow("a", 0, digest)}, nil, snapshot)
		So(err.Error(), ShouldContainSubstring, "belongs to team b")
	})
	Convey("Undo saves the previous content over the current version", t, func() {
		plan, err := PlanUndo(Edit{Team: "a", Expected: 4}, validRow("a", 4), validRow("a", 3, fmt.Sprintf("%064x", 1)), nil)
		So(err, ShouldBeNil)
		So(plan.Edit.Row.KeyDigests, ShouldHaveLength, 1)
		So(plan.Replaced.Version, ShouldEqual, int64(4))
	})
}

// BenchmarkApplyOneOf12000 measures a change of one row out of 12,000 teams with
// two keys each, which happens every 4 s at the design size.
func BenchmarkApplyOneOf12000(b *testing.B) {
	table := NewTable()
	changes := make([]Change, 12000)
	for i := range changes {
		team := core.TeamName(fmt.Sprintf("team-%d", i))
		changes[i] = Change{Team: team, Version: 1, TeamRow: validRow(team, 1, fmt.Sprint(i, "a"), fmt.Sprint(i, "b"))}
	}
	table.Apply(changes, 1)
	b.ReportAllocs()
	version := int64(1)
	for b.Loop() {
		version++
		table.Apply([]Change{{Team: "team-77", Version: version, TeamRow: validRow("team-77", version, "77a", "77b")}}, version)
	}
}
