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
	// ready: two misses at one question a second, and the question's delay.
	balancerWait = 2500 * time.Millisecond
	// exitMargin is left of the grace for returning tokens and for the exit.
	exitMargin = 900 * time.Millisecond
	// returnTimeout bounds the returning of tokens to the store.
	returnTimeout = 500 * time.Millisecond
)

// readiness tells the balancer whether the host takes new connections. It is
// read by the handlers of the ready address.
type readiness struct {
	known    atomic.Bool
	draining atomic.Bool
	log      *zap.Logger
}

func newReadiness(log *zap.Logger) *readiness { return &readiness{log: log} }

// configured marks the host as ready once a configuration is known.
func (r *readiness) configured() {
	if !r.known.Swap(true) {
		r.log.Info("ready for callers", zap.String("event", "ready"))
	}
}

func (r *readiness) serve(w http.ResponseWriter, _ *http.Request) {
	if r.known.Load() && !r.draining.Load() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Drain ends the host within its grace: it leaves the balancer's rotation,
// finishes what is under way, and returns the tokens that it holds.
func (e *Edge) Drain(ctx context.Context) {
	grace := time.Duration(e.options.Settings.Grace)
	ctx, cancel := context.WithTimeout(ctx, grace-exitMargin)
	defer cancel()
	e.readiness.draining.Store(true)
	e.front.Drain()
	e.director.SetShutdown(e.options.Now().Add(grace - exitMargin))
	e.leave()
	// If ctx ends first, CloseIdle reports it.
	_ = task.Sleep(ctx, balancerWait)
	if err := e.front.CloseIdle(ctx); err != nil {
		e.options.Log.Warn("requests are cut off at the end of the grace", zap.String("event", "drain_incomplete"), zap.Error(err))
	}
	e.release()
	e.group.Stop()
	_ = e.ready.Close()
	if e.metrics != nil {
		_ = e.metrics.Close()
	}
}

// leave gives the balances that this host owns to the next owners.
func (e *Edge) leave() {
	e.owners.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
	defer cancel()
	if err := e.peers.Leave(ctx); err != nil {
		e.options.Log.Warn("the host's row does not say that it leaves", zap.String("event", "withdraw_failed"), zap.Error(err))
	}
}

// release settles what was spent elsewhere and returns the tokens. A failure
// strands tokens, those of this host until its next process.
func (e *Edge) release() {
	ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
	defer cancel()
	if err := e.owners.Flush(ctx); err != nil {
		e.options.Log.Warn("settlements were not delivered in time", zap.String("event", "flush_failed"), zap.Error(err))
	}
	if err := e.balances.Close(ctx); err != nil {
		e.options.Log.Warn("tokens could not be returned in time", zap.String("event", "return_failed"), zap.Error(err))
	}
	if err := e.peers.Withdraw(ctx); err != nil {
		e.options.Log.Warn("the host's row could not be removed", zap.String("event", "withdraw_failed"), zap.Error(err))
	}
}
