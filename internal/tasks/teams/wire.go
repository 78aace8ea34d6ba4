package teams

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/peerrpc"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/task"
)

const (
	// receiverName is the name under which peers call the receiver.
	receiverName = "Teams"
	sinceMethod  = receiverName + ".Since"
	// pageBytes is the size at which a reply is cut, so that a cold start of a
	// peer doesn't block other messages on the connection for long.
	pageBytes = 256 << 10
	// handlerTimeout bounds how long a peer's call waits for the task.
	handlerTimeout = time.Second
)

// SinceArgs requests the rows written after a revision.
type SinceArgs struct {
	Revision int64
	Wire     int
}

// WireRow is a row as stored in the platform's table. Hosts also pass on rows that
// they can't decode, so that an older binary doesn't hold back rows in a newer
// format.
type WireRow struct {
	Key      string
	Version  int64
	Revision int64
	Value    []byte
	Deleted  bool
}

// SinceReply is a page of rows that is complete through a revision.
type SinceReply struct {
	Rows    []WireRow
	Through int64
	// More is true if the sender has later rows.
	More bool
}

// receiver handles the RPCs of peers.
type receiver struct {
	inbox *task.Inbox[any]
}

// Since returns a page of the rows that this host has and the peer lacks.
func (r receiver) Since(args SinceArgs, reply *SinceReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), handlerTimeout)
	defer cancel()
	page, err := task.Ask(ctx, r.inbox, func(reply chan<- SinceReply) any {
		return sinceRequest{since: args.Revision, reply: reply}
	})
	*reply = page
	return err
}

// Register registers the RPC receiver, so that peers can call it.
func (t *Task) Register(registrar peerrpc.Registrar) error {
	return registrar.RegisterName(receiverName, receiver{t.inbox})
}

// page returns the rows after a revision, oldest first. A page is cut only between
// revisions, so that it is complete through its last one.
func (s *state) page(since int64) SinceReply {
	through := s.table.Snapshot().Revision
	var later []platform.Row
	for _, row := range s.rows {
		if int64(row.Revision) > since {
			later = append(later, row)
		}
	}
	slices.SortFunc(later, func(a, b platform.Row) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
	reply := SinceReply{Through: through}
	size := 0
	for i, row := range later {
		if size >= pageBytes && row.Revision != later[i-1].Revision {
			reply.Through = int64(later[i-1].Revision)
			reply.More = true
			break
		}
		size += len(row.Key) + len(row.Value)
		reply.Rows = append(reply.Rows, WireRow{
			Key: row.Key, Version: row.Version, Revision: int64(row.Revision), Value: row.Value, Deleted: row.Deleted})
	}
	return reply
}

func changeSetOf(reply *SinceReply) platform.ChangeSet {
	set := platform.ChangeSet{Through: platform.Revision(reply.Through), Rows: make([]platform.Row, len(reply.Rows))}
	for i, row := range reply.Rows {
		set.Rows[i] = platform.Row{
			Key: row.Key, Version: row.Version, Revision: platform.Revision(row.Revision), Value: row.Value, Deleted: row.Deleted}
	}
	return set
}
