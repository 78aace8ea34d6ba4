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

// TestMain fixes the seed, so that runs are repeatable. The flag -rapid.seed
// overrides it, and -rapid.checks overrides the number of checks.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "1000"} {
		if known := flag.Lookup(name); known.Value.String() == known.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// billingProperty returns the state machine test of three hosts and the
// processes that replace them.
func billingProperty(mutated mutation) func(*rapid.T) {
	return func(t *rapid.T) {
		s := newSimulation(mutated)
		s.platform.ChooseFault = func() standin.ScriptedFault {
			return standin.ScriptedFault(max(0, rapid.IntRange(-2, 3).Draw(t, "fault")))
		}
		must := func(err error) {
			if err != nil {
				t.Fatal(err)
			}
		}
		actions := hostActions(t, s)
		maps.Copy(actions, faultActions(t, s))
		actions[""] = func(*rapid.T) { must(s.checkNoneTwice()) }
		t.Repeat(actions)
		must(s.quiesce())
		must(s.checkNoneTwice())
		must(s.checkExactlyOnce())
	}
}

func drawBool(t *rapid.T, label string) bool { return rapid.Bool().Draw(t, label) }

func drawHost(t *rapid.T, s *simulation) *node {
	return s.alive()[rapid.IntRange(0, 2).Draw(t, "host")]
}

// hostActions are the actions of the hosts.
func hostActions(t *rapid.T, s *simulation) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"record": func(*rapid.T) {
			for range rapid.IntRange(1, 3).Draw(t, "bills") {
				request := core.RequestID{1, byte(len(s.recorded) >> 8), byte(len(s.recorded))}
				s.record(drawHost(t, s), request, drawBool(t, "keyed"))
			}
		},
		"recordKeyedAgain": func(*rapid.T) {
			s.record(drawHost(t, s), core.RequestID{2, rapid.Byte().Draw(t, "key") % 6}, true)
		},
		"replicate": func(*rapid.T) {
			s.replicate(drawHost(t, s), drawBool(t, "delivered"), drawBool(t, "answered"), drawBool(t, "again"))
		},
		"copy":        func(*rapid.T) { at := drawHost(t, s); s.replicate(at, true, true, false); at.handleNextResult() },
		"acknowledge": func(*rapid.T) { s.acknowledge(drawHost(t, s), drawBool(t, "delivered"), drawBool(t, "again")) },
		"begin":       func(*rapid.T) { s.startSteps(drawHost(t, s), drawBool(t, "flush")) },
		"try":         func(*rapid.T) { s.trySteps(drawHost(t, s)) },
		"resume":      func(*rapid.T) { drawHost(t, s).handleNextResult() },
		"wait": func(*rapid.T) {
			s.now = s.now.Add(time.Duration(rapid.IntRange(1, 1200).Draw(t, "ms")) * time.Millisecond)
		},
	}
}

// faultActions are faults of hosts and delays of messages and writes.
func faultActions(t *rapid.T, s *simulation) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"late": func(*rapid.T) {
			if len(s.delayedMessages) > 0 {
				s.delayedMessages[rapid.IntRange(0, len(s.delayedMessages)-1).Draw(t, "message")]()
			}
		},
		"release": func(*rapid.T) {
			if s.platform.DelayedWrites() > 0 {
				s.platform.ApplyDelayed(rapid.IntRange(0, s.platform.DelayedWrites()-1).Draw(t, "write"))
			}
		},
		"forgetTokens": func(*rapid.T) { s.platform.ForgetTokens() },
		"suspect": func(*rapid.T) {
			at, other := drawHost(t, s), s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "other")]
			at.suspects[other.ref] = at != other && drawBool(t, "suspected")
			at.pending.RequeueLost(at.gone(s), s.now)
		},
		"die": func(*rapid.T) {
			if victim := drawHost(t, s); rapid.IntRange(0, 3).Draw(t, "dies") == 0 {
				victim.dead = true
				s.start(victim.ref.Host, victim.ref.Incarnation+1)
			}
		},
	}
}

// Guards against requests that are billed twice or not at all when hosts die,
// pause and suspect each other, and the platform loses replies.
func TestBillingStateMachine(t *testing.T) {
	rapid.Check(t, billingProperty(noMutation))
}

// expectFailure records the failure of a property without failing the test.
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

// Guards against checks that still pass when a mechanism is switched off.
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
			rapid.Check(result, billingProperty(mutated))
		}()
		<-done
		t.Logf("%s: %s", mutated, strings.Join(result.log, " "))
		Convey("The check fails with "+string(mutated), t, func() { So(result.failed, ShouldBeTrue) })
	}
}
