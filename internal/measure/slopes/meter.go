package slopes

import (
	"context"
	"encoding/json"
	"math"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	network "github.com/peridotreel/peridotreel/internal/measure/fleet"
	"github.com/peridotreel/peridotreel/internal/peerrpc"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/platform/wire"
	standin "github.com/peridotreel/peridotreel/internal/standin/platform"
	"github.com/peridotreel/peridotreel/internal/task"
)

// platformCounts counts the requests to the platform. The byte counts include
// the bodies of requests and answers, but no HTTP headers.
type platformCounts struct {
	commits, conditions, writes, reads, objects atomic.Int64
	tableBytes, objectBytes                     atomic.Int64
	// lastCommit is in nanoseconds since 1970.
	lastCommit atomic.Int64
}

// untilLastCommit returns the seconds from the start to the last commit. A rate
// over this time covers only whole intervals between commits.
func (t *platformCounts) untilLastCommit(started time.Time) float64 {
	return max(time.Unix(0, t.lastCommit.Load()).Sub(started).Seconds(), time.Millisecond.Seconds())
}

// countedTable counts the operations on a table.
type countedTable struct {
	*standin.Service
	*platformCounts
}

func encodedSize(form any) int64 {
	content, err := json.Marshal(form)
	if err != nil {
		return 0
	}
	return int64(len(content))
}

// Commit implements platform.Table.
func (c countedTable) Commit(ctx context.Context, commit platform.Commit) (platform.Revision, error) {
	c.commits.Add(1)
	c.lastCommit.Store(time.Now().UnixNano())
	c.conditions.Add(int64(len(commit.Conditions)))
	c.writes.Add(int64(len(commit.Writes)))
	revision, err := c.Service.Commit(ctx, commit)
	answer := encodedSize(wire.Committed{Revision: int64(revision)})
	c.tableBytes.Add(encodedSize(platform.EncodeCommit(commit)) + answer)
	return revision, err
}

// Get implements platform.Table.
func (c countedTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	c.reads.Add(1)
	found, err := c.Service.Get(ctx, keys...)
	c.tableBytes.Add(encodedSize(wire.Keys{Keys: keys}) + encodedSize(wire.Rows{Rows: platform.EncodeRows(found)}))
	return found, err
}

// List implements platform.Table.
func (c countedTable) List(ctx context.Context, prefix string) ([]platform.Row, error) {
	c.reads.Add(1)
	found, err := c.Service.List(ctx, prefix)
	c.tableBytes.Add(encodedSize(wire.Rows{Rows: platform.EncodeRows(found)}))
	return found, err
}

// countedObjects counts the objects written to an object store.
type countedObjects struct {
	platform.Objects
	*platformCounts
}

// Put implements platform.Objects.
func (c countedObjects) Put(ctx context.Context, name string, content []byte) error {
	c.objects.Add(1)
	c.objectBytes.Add(int64(len(content)))
	return c.Objects.Put(ctx, name, content)
}

// node is a host's RPC client and server on the in-memory network.
type node struct {
	peer    core.Peer
	client  *peerrpc.Client
	server  *peerrpc.Server
	traffic *peerrpc.Traffic
}

func newNode(net *network.Network, name core.HostID, zone core.ZoneName) *node {
	address, traffic := string(name), &peerrpc.Traffic{}
	return &node{
		peer: core.Peer{
			Ref: core.HostRef{Host: name, Incarnation: 1}, Zone: zone, Address: address,
			State: core.PeerAlive, Wire: peerrpc.WireVersion,
		},
		client:  peerrpc.NewClient(peerrpc.ClientConfig{Traffic: traffic, Dial: net.Dialer(address)}),
		server:  peerrpc.NewServer(peerrpc.ServerConfig{Listener: net.Listen(address), Traffic: traffic}),
		traffic: traffic,
	}
}

func (n *node) start(group *task.Group) {
	group.Start(n.server)
	group.Start(n.client)
}

// bytes returns the number of bytes that the host has read and written.
func (n *node) bytes() int64 {
	in, out := n.traffic.Totals()
	return in + out
}

// view is a static view of the fleet.
type view struct{ core.PeerView }

// Peers implements core.PeerSource.
func (v *view) Peers() *core.PeerView { return &v.PeerView }

// viewOf returns the fleet as one of its hosts sees it.
func viewOf(self *node, nodes []*node) *view {
	seen := &view{core.PeerView{Self: self.peer}}
	for _, other := range nodes {
		if other != self {
			seen.PeerView.Peers = append(seen.PeerView.Peers, other.peer)
		}
	}
	return seen
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// microsPerOperation returns the least processor time per operation, in
// microseconds, over several runs of count operations.
func microsPerOperation(repeats, count int, run func()) float64 {
	least := math.Inf(1)
	for range repeats {
		runtime.GC()
		before := processorTime()
		run()
		least = min(least, float64(processorTime()-before)/float64(time.Microsecond)/float64(count))
	}
	return least
}

// heapOf returns the result of build and the bytes of heap that it keeps alive.
func heapOf[T any](build func() T) (T, float64) {
	before := heapInUse()
	built := build()
	after := heapInUse()
	runtime.KeepAlive(built)
	return built, after - before
}

func heapInUse() float64 {
	var stats runtime.MemStats
	// The second collection frees objects that finalizers and pools kept alive.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// heapAndStacks returns the bytes of heap and goroutine stacks in use.
func heapAndStacks() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}
