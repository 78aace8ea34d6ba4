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

// TestMain fixes the seed and the number of checks, so that each run gives the
// same result. -rapid.seed and -rapid.checks override them.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "2000"} {
		if known := flag.Lookup(name); known.Value.String() == known.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// property runs random actions on three hosts, whose processes may die and be
// replaced.
func property(mutated mutation) func(*rapid.T) {
	return func(t *rapid.T) {
		s := newSimulation(mutated)
		s.platform.ChooseFault = func() standin.ScriptedFault { return standin.ScriptedFault(max(0, draw(t, "fault", -3, 3))) }
		actions := hostActions(t, s)
		maps.Copy(actions, faultActions(t, s))
		actions[""] = func(*rapid.T) {
			if s.err != nil {
				t.Fatal(s.err)
			}
		}
		t.Repeat(actions)
		s.settleAndCheck()
		actions[""](t)
	}
}

func draw(t *rapid.T, label string, low, high int) int {
	return rapid.IntRange(low, high).Draw(t, label)
}

func drawBool(t *rapid.T, label string) bool { return rapid.Bool().Draw(t, label) }

func drawProcess(t *rapid.T, s *simulation) *process { return s.alive()[draw(t, "host", 0, 2)] }

// hostActions returns the actions of callers and hosts.
func hostActions(t *rapid.T, s *simulation) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"call": func(*rapid.T) {
			key := claims.Key{Team: "t/1", Key: fmt.Sprintf("k%d", draw(t, "key", 0, 2))}
			s.call(drawProcess(t, s), callIdentity{key, byte(max(0, draw(t, "body", -4, 1)))})
		},
		"send": func(*rapid.T) {
			at := drawProcess(t, s)
			s.send(at, draw(t, "caller", 0, len(at.requests)-1), drawBool(t, "dialed"), drawBool(t, "answered"))
		},
		"withdraw": func(*rapid.T) { at := drawProcess(t, s); s.withdraw(at, draw(t, "caller", 0, len(at.requests)-1)) },
		"try":      func(*rapid.T) { s.now = s.now.Add(claims.BatchDelay); s.commit(drawProcess(t, s)) },
		"work": func(*rapid.T) {
			s.now = s.now.Add(claims.BatchDelay)
			for _, at := range s.alive() {
				s.commit(at)
				s.handleResult(at)
			}
		},
		"poll":   func(*rapid.T) { s.now = s.now.Add(claims.PollInterval); s.poll(drawProcess(t, s)) },
		"resume": func(*rapid.T) { s.handleResult(drawProcess(t, s)) },
	}
}

// faultActions returns the faults of hosts, of the platform and of writes in
// flight.
func faultActions(t *rapid.T, s *simulation) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"release": func(*rapid.T) {
			if s.platform.DelayedWrites() > 0 {
				s.platform.ApplyDelayed(draw(t, "write", 0, s.platform.DelayedWrites()-1))
			}
		},
		"forgetTokens": func(*rapid.T) { s.platform.ForgetTokens() },
		"suspect": func(*rapid.T) {
			at, other := drawProcess(t, s), s.processes[draw(t, "other", 0, len(s.processes)-1)]
			at.suspects[other.ref] = at != other && drawBool(t, "suspected")
		},
		"die": func(*rapid.T) {
			if victim := drawProcess(t, s); draw(t, "dies", 0, 3) == 0 {
				victim.dead = true
				s.startProcess(victim.ref.Host, victim.ref.Incarnation+1)
			}
		},
	}
}

// Guards against a call that runs twice, not_run for a call that ran, and an
// answer that differs from the recorded one, while hosts die, pause and race.
func TestClaimsStateMachine(t *testing.T) {
	rapid.Check(t, property(noMutation))
}

// failureRecorder records the failure of a property without failing the test.
type failureRecorder struct {
	rapid.TB
	failed bool
	log    []string
}

func (e *failureRecorder) Helper() {}
func (e *failureRecorder) Logf(format string, args ...any) {
	e.log = append(e.log, fmt.Sprintf(format, args...))
}
func (e *failureRecorder) Errorf(format string, args ...any) {
	e.Logf(format, args...)
	e.failed = true
}
func (e *failureRecorder) FailNow()     { e.failed = true; runtime.Goexit() }
func (e *failureRecorder) Failed() bool { return e.failed }

// Guards against checks that pass although a mechanism is disabled.
func TestChecksFailWithoutMechanism(t *testing.T) {
	for name, value := range map[string]string{"rapid.nofailfile": "true", "rapid.shrinktime": "0s", "rapid.checks": "2000"} {
		before := flag.Lookup(name).Value.String()
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = flag.Set(name, before) }()
	}
	for _, mutated := range []mutation{noCondition, expiringClaim, retryAfterSend, runWithoutClaim, notRunIfUnreachable, noRelease} {
		result := &failureRecorder{TB: t}
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
