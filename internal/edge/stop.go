package edge

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/task"
)

const (
	// balancerWait is the time in which the balancer notices that a host is not
	// ready: two failed readiness checks at one per second, and the delay of a
	// check.
	balancerWait = 2500 * time.Millisecond
	// exitMargin is the part of the grace period that is kept for the last answers,
	// for returning tokens and for the exit.
	exitMargin = 900 * time.Millisecond
	// lastAnswersTimeout limits the time for answering requests that are unfinished
	// when the time to serve is over.
	lastAnswersTimeout = 200 * time.Millisecond
	// lastRequestsTimeout limits the time for answering requests that arrive as idle
	// connections are closed while callers do not take their answers.
	lastRequestsTimeout = 50 * time.Millisecond
	// returnTimeout limits the time for returning tokens to the store.
	returnTimeout = 500 * time.Millisecond
)

// readiness is whether the host accepts new connections from the balancer. The
// handlers of the ready address read it concurrently.
type readiness struct {
	serving  atomic.Bool
	draining atomic.Bool
	// away reports whether callers are to move to other hosts.
	away func() bool
	log  *zap.Logger
}

func newReadiness(away func() bool, log *zap.Logger) *readiness {
	return &readiness{away: away, log: log}
}

// markServing marks the host as ready, since it knows what it needs to serve requests.
func (r *readiness) markServing() {
	if !r.serving.Swap(true) {
		r.log.Info("ready for callers", zap.String("event", "ready"))
	}
}

func (r *readiness) serve(w http.ResponseWriter, _ *http.Request) {
	if r.serving.Load() && !r.draining.Load() && !r.away() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Drain stops the host within its grace period: it leaves the balancer's
// rotation, finishes the requests in progress, and returns the tokens that it
// holds.
func (e *Edge) Drain(ctx context.Context) {
	grace := time.Duration(e.options.Settings.Grace)
	ctx, cancel := context.WithTimeout(ctx, grace-exitMargin)
	defer cancel()
	e.readiness.draining.Store(true)
	e.front.Drain()
	now := e.options.Now()
	e.director.SetShutdown(now.Add(grace-exitMargin), now.Add(balancerWait))
	tunnelsEnded := make(chan struct{})
	go func() {
		defer close(tunnelsEnded)
		// Once the time to serve is over, tunnels end with their task.
		_ = e.tunnels.Drain(ctx)
	}()
	e.handOverBalances()
	// If ctx ends first, CloseIdle reports it.
	_ = task.Sleep(ctx, balancerWait)
	if err := e.front.CloseIdle(ctx); err != nil {
		open, _ := e.front.Open(context.WithoutCancel(ctx))
		e.options.Log.Warn("grace period ended before all requests finished; ending them",
			append(e.inFlightFields(context.WithoutCancel(ctx)), zap.String("event", "drain_incomplete"), zap.Int("open", open), zap.Error(err))...)
		e.endRequests()
	}
	<-tunnelsEnded
	e.returnTokens()
	e.group.Stop()
	_ = e.ready.Close()
	if e.metrics != nil {
		_ = e.metrics.Close()
	}
}

// endRequests answers the requests that are unfinished.
func (e *Edge) endRequests() {
	e.front.EndRequests()
	if e.closeIdle(lastAnswersTimeout) == nil {
		return
	}
	e.front.Finish()
	if err := e.closeIdle(lastRequestsTimeout); err != nil {
		ctx := context.Background()
		e.options.Log.Warn("some callers did not take their last answer in time; closing their connections",
			append(e.inFlightFields(ctx), zap.String("event", "callers_cut"), zap.Error(err))...)
	}
}

func (e *Edge) closeIdle(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return e.front.CloseIdle(ctx)
}

// handOverBalances passes the ownership of this host's balances to the next
// owners.
func (e *Edge) handOverBalances() {
	e.owners.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
	defer cancel()
	if err := e.peers.Leave(ctx); err != nil {
		e.options.Log.Warn("could not mark the host as leaving in the table of hosts", zap.String("event", "withdraw_failed"), zap.Error(err))
	}
}

// returnTokens settles what was spent from balances owned by other hosts and
// returns this host's tokens. On a failure the tokens can't be spent; this
// host's own stay so until its next process starts.
func (e *Edge) returnTokens() {
	ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
	defer cancel()
	if err := e.owners.Flush(ctx); err != nil {
		e.options.Log.Warn("settlements were not delivered in time", zap.String("event", "flush_failed"), zap.Error(err))
	}
	if err := e.balances.Close(ctx); err != nil {
		e.options.Log.Warn("tokens could not be returned in time", zap.String("event", "return_failed"), zap.Error(err))
	}
	if err := e.peers.Withdraw(ctx); err != nil {
		e.options.Log.Warn("could not remove the host from the table of hosts", zap.String("event", "withdraw_failed"), zap.Error(err))
	}
}
