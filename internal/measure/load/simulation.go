package load

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/peridotreel/peridotreel/internal/core"
)

// All loads run on a fleet of the size of the two deployments.
const (
	engineCount = 10
	engineSlots = 16
	hostCount   = 9
	teamCount   = 10
	// shortPrefill and shortDecode are the mean times of a short job at an
	// engine: 20 tokens at 100 tokens/s.
	shortPrefill = 50 * time.Millisecond
	shortDecode  = 200 * time.Millisecond
	shortTokens  = 20
	// longFactor is the engine time of a long job relative to that of a short one.
	longFactor = 50
)

// shortCapacity is the engines' capacity for short jobs, in jobs/s.
const shortCapacity = float64(engineCount*engineSlots) * float64(time.Second) / float64(shortPrefill+shortDecode)

// job is one request of a caller.
type job struct {
	host       int
	team       *core.TeamRow
	long       bool
	prefill    time.Duration
	decode     time.Duration
	tokens     core.Tokens
	estimate   core.Tokens
	prefixHash uint64
	deadline   time.Duration

	arrived        time.Duration
	started        bool
	startedAt      time.Duration
	accepted       bool
	ended          bool
	firstTokenSeen bool
	attempts       []*attempt
	// ticket and hedged are set by the policy.
	ticket uint64
	hedged bool
}

// engineTime is the engine time that the job needs.
func (j *job) engineTime() time.Duration {
	return j.prefill + j.decode
}

// policy serves jobs: the product's decision code or a baseline.
type policy interface {
	// offer receives a job that has arrived at its host.
	offer(j *job)
	// firstToken is called at the first token of an attempt.
	firstToken(a *attempt)
	// finished is called at the end of an attempt that was not cancelled.
	finished(a *attempt)
	// abandoned is called when the caller of an unfinished job has disconnected.
	abandoned(j *job)
}

// load describes the arrivals and the engines' faults of a run.
type load struct {
	seed uint64
	// rate returns the arrivals per second.
	rate     func(at time.Duration) float64
	peakRate float64
	// longFraction is the fraction of jobs that are long. dropLong removes these
	// and leaves the arrivals of short jobs unchanged.
	longFraction  float64
	dropLong      bool
	shortDeadline time.Duration
	longDeadline  time.Duration
	// speed returns the relative speed of an engine; 1 is the usual one. Nil keeps
	// all engines at 1.
	speed     func(engine int, at time.Duration) float64
	reportLag time.Duration
	duration  time.Duration
	// measureFrom and measureTo bound the measured span: jobs that finish in it
	// count for goodput.
	measureFrom, measureTo time.Duration
}

// Result holds the counts and times of a run. Times are those of accepted jobs.
type Result struct {
	Policy   string
	Offered  int
	Accepted int
	Refused  int
	// Late jobs reached their deadline in a queue, without a slot.
	Late int
	// Lost jobs were accepted but did not finish before their deadline.
	Lost     int
	Finished int
	Hedges   int
	// Goodput is the engine time of jobs finished within the measured span, as a
	// fraction of the engines' capacity.
	Goodput float64
	// FirstToken50, FirstToken95 and FirstToken99 are percentiles of the time from
	// the arrival of a short job to its first token.
	FirstToken50 time.Duration
	FirstToken95 time.Duration
	FirstToken99 time.Duration
	// Wait99 is the 99th percentile of the time from the arrival of a short job to
	// its start at an engine.
	Wait99 time.Duration
	// LongWork is the engine time of long jobs finished within the measured span.
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
	// loadRandom draws the load and policyRandom the policy's choices, so that all
	// policies get the same load.
	loadRandom   *rand.Rand
	policyRandom *rand.Rand
	engines      []*engine
	teams        []*core.TeamRow
	policy       policy
	result       Result
	finishedWork time.Duration
	firstTokens  *hdrhistogram.Histogram
	waits        *hdrhistogram.Histogram
}

func newSimulation(l load) *simulation {
	s := &simulation{load: l, loadRandom: rand.New(rand.NewPCG(l.seed, 1)), policyRandom: rand.New(rand.NewPCG(l.seed, 2))}
	s.firstTokens = hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
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
	if l.speed != nil {
		s.every(100*time.Millisecond, s.applySpeeds)
	}
	s.scheduleArrival()
	s.runUntil(l.duration)
	return s.summary()
}

func (s *simulation) applySpeeds() {
	for i, e := range s.engines {
		if speed := s.speed(i, s.now); speed != e.speed {
			e.setSpeed(speed)
		}
	}
}

// scheduleArrival generates arrivals of a Poisson process with a varying rate,
// by thinning one with the peak rate.
func (s *simulation) scheduleArrival() {
	interval := time.Duration(s.loadRandom.ExpFloat64() / s.peakRate * float64(time.Second))
	s.after(interval, func() {
		s.scheduleArrival()
		j := s.drawJob()
		if s.loadRandom.Float64()*s.peakRate < s.rate(s.now) && (!j.long || !s.dropLong) {
			s.arrive(j)
		}
	})
}

// drawJob returns a random job. A few teams send most of the jobs.
func (s *simulation) drawJob() *job {
	factor := 0.7 + 0.6*s.loadRandom.Float64()
	j := &job{
		arrived: s.now, host: s.loadRandom.IntN(hostCount), long: s.loadRandom.Float64() < s.longFraction,
		team:    s.teams[min(s.loadRandom.IntN(teamCount), s.loadRandom.IntN(teamCount))],
		prefill: time.Duration(float64(shortPrefill) * factor), decode: time.Duration(float64(shortDecode) * factor),
		tokens: core.Tokens(shortTokens * factor), deadline: s.now + s.shortDeadline,
	}
	// Callers set the token limit to up to twice the tokens generated.
	j.estimate = core.Tokens(float64(j.tokens) * (1 + s.loadRandom.Float64()))
	j.prefixHash = s.loadRandom.Uint64N(40) + 1
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

// expire ends a job whose deadline has passed.
func (s *simulation) expire(j *job) {
	j.ended = true
	if j.accepted {
		s.result.Lost++
	} else {
		s.result.Late++
	}
	s.policy.abandoned(j)
}

// accept records that a job was granted a slot, or was sent by a policy that
// has no slots.
func (s *simulation) accept(j *job) {
	j.accepted = true
	s.result.Accepted++
}

func (s *simulation) recordFirstToken(j *job) {
	if j.firstTokenSeen {
		return
	}
	j.firstTokenSeen = true
	if !j.long {
		_ = s.firstTokens.RecordValue(int64((s.now - j.arrived) / time.Microsecond))
		_ = s.waits.RecordValue(int64((j.startedAt - j.arrived) / time.Microsecond))
	}
}

func (s *simulation) finish(j *job) {
	j.ended = true
	s.result.Finished++
	if s.now < s.measureFrom || s.now > s.measureTo {
		return
	}
	s.finishedWork += j.engineTime()
	if j.long {
		s.result.LongWork += j.engineTime()
	}
}

func (s *simulation) summary() Result {
	r := s.result
	r.Goodput = float64(s.finishedWork) / (float64(engineCount*engineSlots) * float64(s.measureTo-s.measureFrom))
	quantile := func(h *hdrhistogram.Histogram, q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	r.FirstToken50, r.FirstToken95, r.FirstToken99 = quantile(s.firstTokens, 50), quantile(s.firstTokens, 95), quantile(s.firstTokens, 99)
	r.Wait99 = quantile(s.waits, 99)
	return r
}
