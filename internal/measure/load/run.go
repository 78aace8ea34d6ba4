package load

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/peridotreel/peridotreel/internal/core"
)

// The fleet of all loads: the size of the two deployments.
const (
	engineCount = 10
	engineSlots = 16
	hostCount   = 9
	teamCount   = 10
	// shortPrefill and shortDecode are the usual times of short work at an
	// engine: 20 tokens at 100 tokens/s.
	shortPrefill = 50 * time.Millisecond
	shortDecode  = 200 * time.Millisecond
	shortTokens  = 20
	// longFactor is how many times longer long work is.
	longFactor = 50
)

// shortCapacity is the rate of short work in jobs/s that the engines can do.
const shortCapacity = float64(engineCount*engineSlots) * float64(time.Second) / float64(shortPrefill+shortDecode)

// job is one request of a caller.
type job struct {
	host     int
	team     *core.TeamRow
	long     bool
	prefill  time.Duration
	decode   time.Duration
	tokens   core.Tokens
	estimate core.Tokens
	prefix   uint64
	deadline time.Duration

	arrived   time.Duration
	started   bool
	startedAt time.Duration
	accepted  bool
	ended     bool
	firstSeen bool
	attempts  []*attempt
	// ticket and hedged are for the policy's use.
	ticket uint64
	hedged bool
}

// work is the engine time that the job needs.
func (j *job) work() time.Duration {
	return j.prefill + j.decode
}

// policy is what serves jobs: the product's decisions or a baseline.
type policy interface {
	// offer receives a job that has arrived at its host.
	offer(j *job)
	// first is told of the first token of an attempt.
	first(a *attempt)
	// done is told of the end of an attempt that was not cancelled.
	done(a *attempt)
	// gone is told that the caller of an unfinished job has left.
	gone(j *job)
}

// load describes a run.
type load struct {
	seed uint64
	// rate returns the arrivals per second.
	rate     func(at time.Duration) float64
	peakRate float64
	// longPart of the jobs are long. dropLong removes them and leaves the
	// arrivals of short work as they are.
	longPart      float64
	dropLong      bool
	shortDeadline time.Duration
	longDeadline  time.Duration
	// slow returns the speed of an engine, 1 if usual.
	slow      func(engine int, at time.Duration) float64
	reportLag time.Duration
	length    time.Duration
	// from and to bound the finishes that count for goodput.
	from, to time.Duration
}

// Result is what a run showed. Times are of accepted work.
type Result struct {
	Policy   string
	Offered  int
	Accepted int
	Refused  int
	// Late were in a queue until their deadline, without a slot.
	Late int
	// Lost were accepted and did not finish before their deadline.
	Lost     int
	Finished int
	Hedges   int
	// Goodput is the work finished in time, as a part of what the engines
	// can do, within the measured span.
	Goodput float64
	// FirstToken is the time from arrival to the first token of short work.
	FirstToken50 time.Duration
	FirstToken95 time.Duration
	FirstToken99 time.Duration
	// Wait99 is the time from arrival to the start at an engine, of short work.
	Wait99 time.Duration
	// LongWork is the engine time of finished long work in the span.
	LongWork time.Duration
}

// String returns the result on one line.
func (r Result) String() string {
	return fmt.Sprintf("%-12s offered=%d accepted=%d refused=%d late=%d lost=%d finished=%d hedges=%d goodput=%.3f first p50=%s p95=%s p99=%s wait p99=%s long=%s",
		r.Policy, r.Offered, r.Accepted, r.Refused, r.Late, r.Lost, r.Finished, r.Hedges, r.Goodput,
		r.FirstToken50.Round(time.Millisecond), r.FirstToken95.Round(time.Millisecond), r.FirstToken99.Round(time.Millisecond),
		r.Wait99.Round(time.Millisecond), r.LongWork.Round(time.Second))
}

// simulation is the state of one run.
type simulation struct {
	clock
	load
	// random draws the load and choices the policy, so that policies meet
	// the same load.
	random  *rand.Rand
	choices *rand.Rand
	engines []*engine
	teams   []*core.TeamRow
	policy  policy
	result  Result
	useful  time.Duration
	firsts  *hdrhistogram.Histogram
	waits   *hdrhistogram.Histogram
}

func newSimulation(l load) *simulation {
	s := &simulation{load: l, random: rand.New(rand.NewPCG(l.seed, 1)), choices: rand.New(rand.NewPCG(l.seed, 2))}
	s.firsts = hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
	s.waits = hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
	for i := range engineCount {
		s.engines = append(s.engines, newEngine(&s.clock, i, engineSlots))
	}
	for i := range teamCount {
		s.teams = append(s.teams, &core.TeamRow{
			Team: core.TeamName(fmt.Sprintf("team-%d", i)), Weight: 1, MaxInFlight: 100_000,
			TokensPerSecond: 1 << 40, QueueLength: 100_000,
		})
	}
	return s
}

// run executes a load under a policy.
func run(l load, name string, build func(*simulation) policy) Result {
	s := newSimulation(l)
	s.result.Policy = name
	s.policy = build(s)
	for _, e := range s.engines {
		e.policy = s.policy
	}
	if l.slow != nil {
		s.every(100*time.Millisecond, s.applySpeeds)
	}
	s.nextArrival()
	s.runUntil(l.length)
	return s.summary()
}

func (s *simulation) applySpeeds() {
	for i, e := range s.engines {
		if speed := s.slow(i, s.now); speed != e.speed {
			e.setSpeed(speed)
		}
	}
}

// nextArrival draws arrivals of a Poisson process with a varying rate, by
// thinning one with the peak rate.
func (s *simulation) nextArrival() {
	gap := time.Duration(s.random.ExpFloat64() / s.peakRate * float64(time.Second))
	s.after(gap, func() {
		s.nextArrival()
		j := s.draw()
		if s.random.Float64()*s.peakRate < s.rate(s.now) && (!j.long || !s.dropLong) {
			s.arrive(j)
		}
	})
}

// draw makes a job. A few teams send most of the work.
func (s *simulation) draw() *job {
	spread := 0.7 + 0.6*s.random.Float64()
	j := &job{
		arrived: s.now, host: s.random.IntN(hostCount), long: s.random.Float64() < s.longPart,
		team:    s.teams[min(s.random.IntN(teamCount), s.random.IntN(teamCount))],
		prefill: time.Duration(float64(shortPrefill) * spread), decode: time.Duration(float64(shortDecode) * spread),
		tokens: core.Tokens(shortTokens * spread), deadline: s.now + s.shortDeadline,
	}
	// Callers bound the tokens at up to twice what comes.
	j.estimate = core.Tokens(float64(j.tokens) * (1 + s.random.Float64()))
	j.prefix = s.random.Uint64N(40) + 1
	if j.long {
		j.prefill *= longFactor / 10
		j.decode = longFactor*(shortPrefill+j.decode) - j.prefill
		j.tokens *= longFactor
		j.estimate *= longFactor
		j.deadline = s.now + s.longDeadline
	}
	return j
}

func (s *simulation) arrive(j *job) {
	s.result.Offered++
	s.after(j.deadline-s.now, func() {
		if !j.ended {
			s.expire(j)
		}
	})
	s.policy.offer(j)
}

func (s *simulation) refuse(j *job) {
	j.ended = true
	s.result.Refused++
}

// expire ends a job whose caller gave up.
func (s *simulation) expire(j *job) {
	j.ended = true
	if j.accepted {
		s.result.Lost++
	} else {
		s.result.Late++
	}
	s.policy.gone(j)
}

// accept notes that a job was given a slot, or sent where there are none.
func (s *simulation) accept(j *job) {
	j.accepted = true
	s.result.Accepted++
}

func (s *simulation) sawFirst(j *job) {
	if j.firstSeen {
		return
	}
	j.firstSeen = true
	if !j.long {
		_ = s.firsts.RecordValue(int64((s.now - j.arrived) / time.Microsecond))
		_ = s.waits.RecordValue(int64((j.startedAt - j.arrived) / time.Microsecond))
	}
}

func (s *simulation) finish(j *job) {
	j.ended = true
	s.result.Finished++
	if s.now < s.from || s.now > s.to {
		return
	}
	s.useful += j.work()
	if j.long {
		s.result.LongWork += j.work()
	}
}

func (s *simulation) summary() Result {
	r := s.result
	r.Goodput = float64(s.useful) / (float64(engineCount*engineSlots) * float64(s.to-s.from))
	quantile := func(h *hdrhistogram.Histogram, q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	r.FirstToken50, r.FirstToken95, r.FirstToken99 = quantile(s.firsts, 50), quantile(s.firsts, 95), quantile(s.firsts, 99)
	r.Wait99 = quantile(s.waits, 99)
	return r
}
