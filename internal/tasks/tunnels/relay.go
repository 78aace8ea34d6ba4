package tunnels

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/peridotreel/peridotreel/internal/tunnel"
)

const (
	// bufferBytes holds several events or an answer of the usual length, and makes few
	// wake-ups of a long one.
	bufferBytes = 16 << 10
	// lingerTimeout is how long the requester may go on writing after the answer's end, as
	// closing a connection with unread bytes discards what was not sent. A requester closes
	// the connection once it has read the end; a link of 10 Mbit/s takes 4 s for the 4 MiB
	// that a socket buffers.
	lingerTimeout = 10 * time.Second
	// stalledInterval is the interval of the looks at the requester while the upstream does
	// not read. A cancelled request must reach the upstream within half a second.
	stalledInterval = 200 * time.Millisecond
)

var buffers = sync.Pool{New: func() any { return new([bufferBytes]byte) }}

// event is what happened to one of a relay's sockets.
type event uint8

const (
	// upstreamEnded and requesterEnded mean that an end was read.
	upstreamEnded event = iota + 1
	requesterEnded
	// upstreamFailed and requesterFailed mean that the socket can't be read, or the
	// requester's not be written to. What an upstream that can't be written to has sent is
	// still to be read.
	upstreamFailed
	requesterFailed
)

// relay is the task that owns the two sockets of a tunnel. Each direction has a goroutine
// that copies and reports how the direction ended.
type relay struct {
	requester, upstream net.Conn
	head                *headReader
	events              chan event
}

func newRelay(requester, upstream net.Conn, head *headReader) *relay {
	// Each direction reports one event, so that neither waits for run.
	return &relay{requester: requester, upstream: upstream, head: head, events: make(chan event, 2)}
}

// run copies until one of the sockets ends, and then ends the other in the same way: in
// order, or by a reset, as an answer without a length could be taken for a whole one
// otherwise. It returns when both are closed. Neither end half-closes a connection of a
// tunnel, so the end of one direction is the end of both.
func (r *relay) run(ctx context.Context) {
	// A host that ends, or closes its connections, while an answer passes must not make it
	// look whole.
	if tunnel.ResetOnClose(r.requester, true) != nil {
		return
	}
	var copying sync.WaitGroup
	defer copying.Wait()
	copying.Go(r.copyDown)
	copying.Go(r.copyUp)
	select {
	case happened := <-r.events:
		switch happened {
		case upstreamEnded:
			// The end of an upstream that has closed its connection precedes its reset if the
			// request was still on its way.
			if tunnel.AwaitPassed(ctx, r.requester, r.upstream) {
				r.reset(ctx)
				return
			}
			r.finish(ctx)
		case upstreamFailed:
			r.reset(ctx)
		case requesterEnded:
			_ = r.upstream.Close()
			_ = r.requester.Close()
		case requesterFailed:
			r.abort()
		}
	case <-ctx.Done():
		r.abort()
	}
}

// finish ends the requester's side in order after the upstream has ended in order.
func (r *relay) finish(ctx context.Context) {
	defer func() { _ = r.requester.Close() }()
	_ = r.upstream.Close()
	socket, ok := r.requester.(*net.TCPConn)
	if !ok || tunnel.ResetOnClose(socket, false) != nil || socket.CloseWrite() != nil || socket.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	select {
	case <-r.events:
		// The other direction has ended with the requester's connection.
	case <-ctx.Done():
	}
}

// reset makes the requester see that the answer was cut off.
func (r *relay) reset(ctx context.Context) {
	_ = r.upstream.Close()
	tunnel.Reset(ctx, r.requester)
}

// abort resets both sides at once.
func (r *relay) abort() {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	tunnel.Reset(ended, r.upstream)
	tunnel.Reset(ended, r.requester)
}

// copyDown copies from the upstream to the requester.
func (r *relay) copyDown() {
	buffer := buffers.Get().(*[bufferBytes]byte)
	defer buffers.Put(buffer)
	for {
		n, err := r.upstream.Read(buffer[:])
		if n > 0 {
			_, writeErr := r.requester.Write(buffer[:n])
			r.head.read(buffer[:n])
			if writeErr != nil {
				r.events <- requesterFailed
				return
			}
		}
		if err != nil {
			r.events <- either(err, upstreamEnded, upstreamFailed)
			return
		}
	}
}

// copyUp copies from the requester to the upstream. When the upstream's side has failed,
// it reads on, to notice the requester's end.
func (r *relay) copyUp() {
	buffer := buffers.Get().(*[bufferBytes]byte)
	defer buffers.Put(buffer)
	writable := true
	for {
		n, err := r.requester.Read(buffer[:])
		if n > 0 && writable {
			var gone bool
			if writable, gone = r.writeUp(buffer[:n]); gone {
				r.events <- requesterFailed
				return
			}
		}
		if err != nil {
			r.events <- either(err, requesterEnded, requesterFailed)
			return
		}
	}
}

// writeUp writes to the upstream, and reports whether it may be written to further. While
// it does not read, writeUp looks at times whether the requester has gone.
func (r *relay) writeUp(part []byte) (writable, gone bool) {
	for {
		if r.upstream.SetWriteDeadline(time.Now().Add(stalledInterval)) != nil {
			return false, false
		}
		n, err := r.upstream.Write(part)
		part = part[n:]
		switch {
		case err == nil:
			return true, false
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return false, false
		case tunnel.HasEnded(r.requester):
			return false, true
		}
	}
}

// either returns ended if err is the end of a connection, else failed.
func either(err error, ended, failed event) event {
	if errors.Is(err, io.EOF) {
		return ended
	}
	return failed
}
