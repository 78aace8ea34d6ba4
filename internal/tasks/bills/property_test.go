package bills

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/peridotreel/peridotreel/internal/core"
	standin "github.com/peridotreel/peridotreel/internal/standin/platform"
)

// TestMain fixes the seed, so that a run gives the same verdict each time.
// -rapid.seed overrides it, and -rapid.checks the number of checks.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "1000"} {
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
		w.platform.ChooseFault = func() standin.ScriptedFault {
			return standin.ScriptedFault(max(0, rapid.IntRange(-2, 3).Draw(t, "fault")))
		}
		must := func(err error) {
			if err != nil {
				t.Fatal(err)
			}
		}
		actions := hostActions(t, w)
		maps.Copy(actions, faultActions(t, w))
		actions[""] = func(*rapid.T) { must(w.checkNoneTwice()) }
		t.Repeat(actions)
		must(w.settle())
		must(w.checkNoneTwice())
		must(w.checkExactlyOnce())
	}
}

func flip(t *rapid.T, label string) bool { return rapid.Bool().Draw(t, label) }

func pick(t *rapid.T, w *world) *node { return w.alive()[rapid.IntRange(0, 2).Draw(t, "host")] }

// hostActions are what hosts do by themselves.
func hostActions(t *rapid.T, w *world) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"record": func(*rapid.T) {
			for range rapid.IntRange(1, 3).Draw(t, "bills") {
				request := core.RequestID{1, byte(len(w.charges) >> 8), byte(len(w.charges))}
				w.record(pick(t, w), request, flip(t, "keyed"))
			}
		},
		"recordKeyedAgain": func(*rapid.T) {
			w.record(pick(t, w), core.RequestID{2, rapid.Byte().Draw(t, "key") % 6}, true)
		},
		"replicate": func(*rapid.T) {
			w.replicate(pick(t, w), flip(t, "delivered"), flip(t, "answered"), flip(t, "again"))
		},
		"copy":        func(*rapid.T) { at := pick(t, w); w.replicate(at, true, true, false); at.resume() },
		"acknowledge": func(*rapid.T) { w.acknowledge(pick(t, w), flip(t, "delivered"), flip(t, "again")) },
		"begin":       func(*rapid.T) { w.begin(pick(t, w), flip(t, "flush")) },
		"try":         func(*rapid.T) { w.try(pick(t, w)) },
		"resume":      func(*rapid.T) { pick(t, w).resume() },
		"wait": func(*rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 1200).Draw(t, "ms")) * time.Millisecond)
		},
	}
}

// faultActions are what happens to hosts and to what is on its way.
func faultActions(t *rapid.T, w *world) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"late": func(*rapid.T) {
			if len(w.late) > 0 {
				w.late[rapid.IntRange(0, len(w.late)-1).Draw(t, "message")]()
			}
		},
		"release": func(*rapid.T) {
			if w.platform.DelayedWrites() > 0 {
				w.platform.ApplyDelayed(rapid.IntRange(0, w.platform.DelayedWrites()-1).Draw(t, "write"))
			}
		},
		"forgetTokens": func(*rapid.T) { w.platform.ForgetTokens() },
		"suspect": func(*rapid.T) {
			at, other := pick(t, w), w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "other")]
			at.suspects[other.ref] = at != other && flip(t, "suspected")
			at.book.Lost(at.gone(w), w.now)
		},
		"die": func(*rapid.T) {
			if victim := pick(t, w); rapid.IntRange(0, 3).Draw(t, "dies") == 0 {
				victim.dead = true
				w.start(victim.ref.Host, victim.ref.Incarnation+1)
			}
		},
	}
}

// Guards against requests that are billed twice or not at all while hosts
// die, pause and suspect each other, and the platform loses replies.
func TestBillingStateMachine(t *testing.T) {
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
	for _, mutated := range []mutation{noNumber, noBillRow, noReread, noCopy, noRefund, sharedObject} {
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
