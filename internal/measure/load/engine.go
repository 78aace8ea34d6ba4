package load

import (
	"fmt"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/upstreams"
)

// phase is the state of an attempt at its engine.
type phase uint8

const (
	queued phase = iota
	prefilling
	decoding
	ended
)

// attempt is one run of a job at an engine.
type attempt struct {
	job    *job
	engine *engine
	sentAt time.Duration
	phase  phase
	// remaining is the engine time until the end of the phase at speed 1.
	remaining time.Duration
	// since is when remaining was last computed. version invalidates events
	// scheduled earlier.
	since   time.Duration
	version int
}

// sampleInterval is how often an engine records its load for delayed reports.
const sampleInterval = 50 * time.Millisecond

// engine runs up to slots attempts at once, all at the same speed, and queues
// the rest in FIFO order.
type engine struct {
	clock   *clock
	target  core.Target
	slots   int
	speed   float64
	running []*attempt
	waiting []*attempt
	samples []upstreams.Report
	policy  policy
}

func newEngine(c *clock, index, slots int) *engine {
	e := &engine{clock: c, slots: slots, speed: 1, target: core.Target{
		Upstream: core.UpstreamID(fmt.Sprintf("engine-%d", index)), Incarnation: 1, Zone: "z",
	}}
	c.every(sampleInterval, e.recordLoad)
	return e
}

func (e *engine) recordLoad() {
	e.samples = append(e.samples, upstreams.Report{
		Upstream: e.target.Upstream, Incarnation: 1, MaxRunning: e.slots,
		Running: len(e.running), Waiting: len(e.waiting), MeasuredAt: e.clock.time(),
	})
}

// report returns the load as of the given lag ago, or false if there is no
// sample that old.
func (e *engine) report(lag time.Duration) (upstreams.Report, bool) {
	index := len(e.samples) - 1 - int(lag/sampleInterval)
	if index < 0 {
		return upstreams.Report{}, false
	}
	return e.samples[index], true
}

func (e *engine) submit(j *job) {
	a := &attempt{job: j, engine: e, sentAt: e.clock.now}
	j.attempts = append(j.attempts, a)
	e.waiting = append(e.waiting, a)
	e.startWaiting()
}

// startWaiting starts waiting attempts while there are free slots.
func (e *engine) startWaiting() {
	for len(e.running) < e.slots && len(e.waiting) > 0 {
		a := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, a)
		a.phase, a.remaining = prefilling, a.job.prefill
		if !a.job.started {
			a.job.started, a.job.startedAt = true, e.clock.now
		}
		e.schedule(a)
	}
}

func (e *engine) schedule(a *attempt) {
	a.since = e.clock.now
	a.version++
	version := a.version
	e.clock.after(time.Duration(float64(a.remaining)/e.speed), func() {
		if a.version == version && a.phase != ended {
			e.advance(a)
		}
	})
}

// advance ends the current phase of an attempt.
func (e *engine) advance(a *attempt) {
	if a.phase == prefilling {
		a.phase, a.remaining = decoding, a.job.decode
		e.schedule(a)
		e.policy.firstToken(a)
		return
	}
	e.remove(a)
	e.policy.finished(a)
}

// remove removes a finished or cancelled attempt and starts a waiting one.
func (e *engine) remove(a *attempt) {
	same := func(other *attempt) bool { return other == a }
	e.running = slices.DeleteFunc(e.running, same)
	e.waiting = slices.DeleteFunc(e.waiting, same)
	a.phase = ended
	e.startWaiting()
}

// setSpeed changes the speed of all running attempts.
func (e *engine) setSpeed(speed float64) {
	for _, a := range e.running {
		a.remaining -= time.Duration(float64(e.clock.now-a.since) * e.speed)
	}
	e.speed = speed
	for _, a := range e.running {
		e.schedule(a)
	}
}
