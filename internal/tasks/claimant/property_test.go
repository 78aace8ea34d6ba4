package claimant

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"runtime"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/peridotreel/peridotreel/internal/decide/claims"
	standin "github.com/peridotreel/peridotreel/internal/standin/platform"
)

// TestMain fixes the seed, so that a run gives the same verdict each time.
// -rapid.seed overrides it, and -rapid.checks the number of checks.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "2000"} {
		if known := flag.Lookup(name); known.Value.String() == known.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// property is the state machine over three hosts and their successors.
func property(mutated mutation) func(*rapid.T) {
	return func(t *rapid.T) {
		w := newWorld(mutated)
		w.platform.Choose = func() standin.ScriptedFault { return standin.ScriptedFault(max(0, draw(t, "fault", -3, 3))) }
		actions := hostActions(t, w)
		maps.Copy(actions, faultActions(t, w))
		actions[""] = func(*rapid.T) {
			if w.err != nil {
				t.Fatal(w.err)
			}
		}
		t.Repeat(actions)
		w.settle()
		actions[""](t)
	}
}

func draw(t *rapid.T, label string, low, high int) int {
	return rapid.IntRange(low, high).Draw(t, label)
}

func flip(t *rapid.T, label string) bool { return rapid.Bool().Draw(t, label) }

func pick(t *rapid.T, w *world) *node { return w.alive()[draw(t, "host", 0, 2)] }

// hostActions are what callers and hosts do by themselves.
func hostActions(t *rapid.T, w *world) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"call": func(*rapid.T) {
			key := claims.Key{Team: "t/1", Key: fmt.Sprintf("k%d", draw(t, "key", 0, 2))}
			w.call(pick(t, w), identity{key, byte(max(0, draw(t, "body", -4, 1)))})
		},
		"send": func(*rapid.T) {
			at := pick(t, w)
			w.send(at, draw(t, "caller", 0, len(at.callers)-1), flip(t, "dialed"), flip(t, "answered"))
		},
		"withdraw": func(*rapid.T) { at := pick(t, w); w.withdraw(at, draw(t, "caller", 0, len(at.callers)-1)) },
		"try":      func(*rapid.T) { w.now = w.now.Add(claims.BatchDelay); w.try(pick(t, w)) },
		"work": func(*rapid.T) {
			w.now = w.now.Add(claims.BatchDelay)
			for _, at := range w.alive() {
				w.try(at)
				w.resume(at)
			}
		},
		"poll":   func(*rapid.T) { w.now = w.now.Add(claims.PollInterval); w.poll(pick(t, w)) },
		"resume": func(*rapid.T) { w.resume(pick(t, w)) },
	}
}

// faultActions are what happens to hosts and to what is on its way.
func faultActions(t *rapid.T, w *world) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"release": func(*rapid.T) {
			if w.platform.Delayed() > 0 {
				w.platform.Release(draw(t, "write", 0, w.platform.Delayed()-1))
			}
		},
		"forgetTokens": func(*rapid.T) { w.platform.ForgetTokens() },
		"suspect": func(*rapid.T) {
			at, other := pick(t, w), w.nodes[draw(t, "other", 0, len(w.nodes)-1)]
			at.suspects[other.ref] = at != other && flip(t, "suspected")
		},
		"die": func(*rapid.T) {
			if victim := pick(t, w); draw(t, "dies", 0, 3) == 0 {
				victim.dead = true
				w.start(victim.ref.Host, victim.ref.Incarnation+1)
			}
		},
	}
}

// Guards against calls that run twice, not_run said of a call that ran, and
// answers that differ from the recorded one, while hosts die, pause and race.
func TestClaimsStateMachine(t *testing.T) {
	rapid.Check(t, property(intact))
}

// expectFailure lets a property fail without failing the test.
type expectFailure struct {
	rapid.TB
	failed bool
	log    []string
}

func (e *expectFailure) Helper() {}
func (e *expectFailure) Logf(format string, args ...any) {
	e.log = append(e.log, fmt.Sprintf(format, args...))
}
func (e *expectFailure) Errorf(format string, args ...any) { e.Logf(format, args...); e.failed = true }
func (e *expectFailure) FailNow()                          { e.failed = true; runtime.Goexit() }
func (e *expectFailure) Failed() bool                      { return e.failed }

// Guards against checks that pass although a mechanism is switched off.
func TestChecksFailWithoutMechanism(t *testing.T) {
	for name, value := range map[string]string{"rapid.nofailfile": "true", "rapid.shrinktime": "0s", "rapid.checks": "2000"} {
		before := flag.Lookup(name).Value.String()
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = flag.Set(name, before) }()
	}
	for _, mutated := range []mutation{noCondition, expiringClaim, retryAfterByte, runsUnclaimed, unreachableIsNot, noRelease} {
		result := &expectFailure{TB: t}
		done := make(chan struct{})
		go func() {
			defer close(done)
			rapid.Check(result, property(mutated))
		}()
		<-done
		t.Logf("%s: %s", mutated, strings.Join(result.log, " "))
		Convey("The check fails with "+string(mutated), t, func() { So(result.failed, ShouldBeTrue) })
	}
}
