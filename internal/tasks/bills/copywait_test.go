package bills

import (
	"context"
	"net/rpc"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/billing"
	"github.com/peridotreel/peridotreel/internal/peerrpc"
	"github.com/peridotreel/peridotreel/internal/rows"
	standin "github.com/peridotreel/peridotreel/internal/standin/platform"
	"github.com/peridotreel/peridotreel/internal/task"
)

// slowPeers delivers each call after a delay, unless the caller gives up before.
type slowPeers struct {
	*testFleet
	delay atomic.Int64
}

func (s *slowPeers) Call(ctx context.Context, peer core.Peer, method string, args, reply any) error {
	select {
	case <-time.After(time.Duration(s.delay.Load())):
		return s.testFleet.Call(ctx, peer, method, args, reply)
	case <-ctx.Done():
		return peerrpc.ErrUnreachable
	}
}

// copyFleet is a host "a", whose bills are under test, and two peers in other
// zones, to which it is dead.
type copyFleet struct {
	platform *standin.Service
	owner    *Task
	holders  []*Task
	peers    *slowPeers
	// logs and metrics are those of the host a.
	logs    *observer.ObservedLogs
	metrics *metric.ManualReader
	// group holds the platform and the peers, dying the host a.
	group, dying task.Group
}

func startCopyFleet(t *testing.T, delay time.Duration) *copyFleet {
	f := &copyFleet{
		platform: standin.NewService(),
		peers:    &slowPeers{testFleet: &testFleet{servers: make(map[core.HostID]*rpc.Server)}},
		metrics:  metric.NewManualReader(),
	}
	f.peers.delay.Store(int64(delay))
	observed, logs := observer.New(zap.InfoLevel)
	f.logs = logs
	f.group.Start(f.platform)
	member := func(host core.HostID, state core.PeerState) core.Peer {
		return core.Peer{Ref: core.HostRef{Host: host, Incarnation: 1}, Zone: core.ZoneName("z-" + host), State: state}
	}
	config := func(host core.HostID, view ...core.Peer) Config {
		return Config{
			Self: core.HostRef{Host: host, Incarnation: 1}, Zone: core.ZoneName("z-" + host), Table: f.platform,
			Objects: f.platform.Objects(), Peers: &testFleet{view: core.PeerView{Peers: view}}, Caller: f.peers,
		}
	}
	for _, host := range []core.HostID{"b", "c"} {
		f.peers.servers[host] = rpc.NewServer()
		holder := New(config(host, member("a", core.PeerDead)))
		if err := holder.Register(f.peers.servers[host]); err != nil {
			t.Fatal(err)
		}
		f.group.Start(holder)
		f.holders = append(f.holders, holder)
	}
	owner := config("a", member("b", core.PeerAlive), member("c", core.PeerAlive))
	owner.Log = zap.New(observed)
	owner.Meter = metric.NewMeterProvider(metric.WithReader(f.metrics)).Meter("")
	f.owner = New(owner)
	f.dying.Start(f.owner)
	return f
}

// record records a bill and returns how long its answer waits.
func (f *copyFleet) record(t *testing.T, request byte) time.Duration {
	begun := time.Now()
	f.owner.Record(t.Context(), core.Bill{Request: core.RequestID{request}, Keyed: true, Cost: 5})
	return time.Since(begun)
}

// written returns how many of the requests 1 to count have a bill in the table.
func (f *copyFleet) written(t *testing.T, count byte) int {
	var keys []string
	for request := byte(1); request <= count; request++ {
		keys = append(keys, rows.BillKey(core.RequestID{request}))
	}
	found, err := f.platform.Get(t.Context(), keys...)
	if err != nil {
		t.Fatal(err)
	}
	return len(found)
}

// released returns the number of answers of the host a that went out without a copy
// of their bill.
func (f *copyFleet) released(t *testing.T) (count int64) {
	var collected metricdata.ResourceMetrics
	if err := f.metrics.Collect(t.Context(), &collected); err != nil {
		t.Fatal(err)
	}
	for _, scope := range collected.ScopeMetrics {
		for _, found := range scope.Metrics {
			if sum, isSum := found.Data.(metricdata.Sum[int64]); isSum && found.Name == "peridotreel_bills_uncopied" {
				count += sum.DataPoints[0].Value
			}
		}
	}
	return count
}

// Guards P2 against answers that go out without a copy of their bill because all
// peers are slow for a moment, and whose bills are lost if the host then dies.
func TestAnswersWaitForCopiesAtSlowPeers(t *testing.T) {
	for _, delay := range []time.Duration{25 * time.Millisecond, 60 * time.Millisecond, 120 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			f := startCopyFleet(t, delay)
			defer f.group.Stop()
			f.platform.SetMode(standin.ModeDown)
			const requests = 12
			for request := byte(1); request <= requests; request++ {
				f.record(t, request)
			}
			f.dying.Stop()
			f.platform.SetMode(standin.ModeNone)
			time.Sleep(10 * time.Second)
			written := f.written(t, requests)
			Convey("Peers that answer after "+delay.String()+" write the bills of all answers", t, func() {
				So(written, ShouldEqual, requests)
			})
		})
	}
}

// neverAnswers is longer than any wait for a copy.
const neverAnswers = time.Hour

// Guards against an answer that waits for a copy although its bill is already in
// the table, or that goes out before.
func TestAnswersWaitForTheTableIfNoPeerAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startCopyFleet(t, neverAnswers)
		defer f.group.Stop()
		defer f.dying.Stop()
		waited := f.record(t, 1)
		written := f.written(t, 1)
		Convey("The answer waits until its segment is written, and no longer", t, func() {
			So(written, ShouldEqual, 1)
			So(waited, ShouldBeBetween, billing.SealUncopiedAfter-1, billing.SealUncopiedAfter+tickInterval+1)
		})
	})
}

// Guards against answers that are delayed without bound while neither peers nor the
// platform answer, and against such answers that are not counted and logged.
func TestAnswersDoNotWaitForCopiesWithoutBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startCopyFleet(t, neverAnswers)
		defer f.group.Stop()
		defer f.dying.Stop()
		f.platform.SetMode(standin.ModeDown)
		first, second := f.record(t, 1), f.record(t, 2)
		released := f.released(t)
		warnings := f.logs.FilterMessageSnippet("go out without copies").Len()
		f.peers.delay.Store(0)
		f.platform.SetMode(standin.ModeNone)
		recovered := f.record(t, 3)
		notices := f.logs.FilterMessageSnippet("wait for copies of their bills again").Len()
		Convey("Each answer goes out at the bound and is counted, and each change is logged once", t, func() {
			for _, waited := range []time.Duration{first, second} {
				So(waited, ShouldBeBetweenOrEqual, billing.MaxCopyWait, billing.MaxCopyWait+tickInterval)
			}
			So(released, ShouldEqual, 2)
			So(warnings, ShouldEqual, 1)
			So(recovered, ShouldBeLessThan, billing.MaxCopyWait)
			So(notices, ShouldEqual, 1)
		})
	})
}

// Guards against answers that wait although every peer has said that it takes no
// copies.
func TestAnswersDoNotWaitForPeersThatRefuseCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startCopyFleet(t, 0)
		defer f.group.Stop()
		defer f.dying.Stop()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		for _, peer := range f.holders {
			if err := peer.Drain(ctx); err != nil {
				t.Fatal(err)
			}
		}
		waited := f.record(t, 1)
		released := f.released(t)
		Convey("The answer goes out at once and is counted", t, func() {
			So(waited, ShouldEqual, 0)
			So(released, ShouldEqual, 1)
		})
	})
}
