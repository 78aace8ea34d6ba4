package fleet

import (
	"context"
	"errors"
	"time"
)

// errTooManyConnections means that every connection is in use.
var errTooManyConnections = errors.New("all connections to peers are in use; retry later")

// links is the state of the client's task.
type links struct {
	client *Client
	ctx    context.Context
	// current is the connection for new calls, by address.
	current map[string]*link
	// all includes retired connections that are not closed yet.
	all map[*link]bool
	// waiting lists the calls that wait for a connection being dialed.
	waiting map[string][]chan<- acquired
}

func (l *links) acquire(message acquire) {
	if existing := l.current[message.address]; existing != nil {
		l.give(existing, message.reply)
		return
	}
	queue, dialing := l.waiting[message.address]
	if !dialing && len(l.all)+len(l.waiting) >= l.client.config.MaxConnections && !l.closeOldest() {
		message.reply <- acquired{err: errTooManyConnections}
		return
	}
	l.waiting[message.address] = append(queue, message.reply)
	if !dialing {
		go l.client.dial(l.ctx, message.address)
	}
}

func (l *links) give(to *link, reply chan<- acquired) {
	to.lastUsed = time.Now()
	reply <- acquired{link: to}
}

func (l *links) dialed(message dialed) {
	queue := l.waiting[message.address]
	delete(l.waiting, message.address)
	if message.err != nil {
		for _, reply := range queue {
			reply <- acquired{err: message.err}
		}
		return
	}
	opened := &link{address: message.address, client: message.client, lastUsed: time.Now()}
	l.current[message.address] = opened
	l.all[opened] = true
	for _, reply := range queue {
		l.give(opened, reply)
	}
}

// retire keeps a connection from getting further calls and closes it once the
// calls in progress have ended.
func (l *links) retire(old *link) {
	if old.retired {
		return
	}
	old.retired = true
	delete(l.current, old.address)
	time.AfterFunc(maxCallTime, func() { _ = l.client.inbox.Send(l.ctx, expire{old}) })
}

func (l *links) close(old *link) {
	_ = old.client.Close()
	delete(l.all, old)
}

// closeOldest closes the connection that has been idle for longest and
// reports false if all may have calls in progress.
func (l *links) closeOldest() bool {
	var oldest *link
	for _, candidate := range l.current {
		if oldest == nil || candidate.lastUsed.Before(oldest.lastUsed) {
			oldest = candidate
		}
	}
	if oldest == nil || time.Since(oldest.lastUsed) < maxCallTime {
		return false
	}
	oldest.retired = true
	delete(l.current, oldest.address)
	l.close(oldest)
	return true
}

func (l *links) closeAll() {
	for open := range l.all {
		_ = open.client.Close()
	}
}
