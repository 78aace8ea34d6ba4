package peerrpc

import (
	"context"
	"errors"
	"time"
)

// errTooManyConnections means that the bound on connections is reached and none
// is idle.
var errTooManyConnections = errors.New("all connections to peers are in use; retry later")

// connectionTable is the state owned by the client's task.
type connectionTable struct {
	client *Client
	ctx    context.Context
	// current is the connection for new calls, by address.
	current map[string]*connection
	// all includes retired connections that are not closed yet.
	all map[*connection]bool
	// waiting lists, by address, the calls that wait for a connection being
	// dialed.
	waiting map[string][]chan<- acquired
}

func (t *connectionTable) acquire(message acquire) {
	if existing := t.current[message.address]; existing != nil {
		t.assign(existing, message.reply)
		return
	}
	queue, dialing := t.waiting[message.address]
	if !dialing && len(t.all)+len(t.waiting) >= t.client.config.MaxConnections && !t.closeLeastRecentlyUsed() {
		message.reply <- acquired{err: errTooManyConnections}
		return
	}
	t.waiting[message.address] = append(queue, message.reply)
	if !dialing {
		go t.client.dial(t.ctx, message.address)
	}
}

func (t *connectionTable) assign(to *connection, reply chan<- acquired) {
	to.lastUsed = time.Now()
	reply <- acquired{conn: to}
}

func (t *connectionTable) dialed(message dialed) {
	queue := t.waiting[message.address]
	delete(t.waiting, message.address)
	if message.err != nil {
		for _, reply := range queue {
			reply <- acquired{err: message.err}
		}
		return
	}
	opened := &connection{address: message.address, client: message.client, lastUsed: time.Now()}
	t.current[message.address] = opened
	t.all[opened] = true
	for _, reply := range queue {
		t.assign(opened, reply)
	}
}

// retire takes a connection out of use for new calls and closes it once the
// calls in progress have ended.
func (t *connectionTable) retire(old *connection) {
	if old.retired {
		return
	}
	old.retired = true
	delete(t.current, old.address)
	time.AfterFunc(maxCallDuration, func() { _ = t.client.inbox.Send(t.ctx, expire{old}) })
}

func (t *connectionTable) close(old *connection) {
	_ = old.client.Close()
	delete(t.all, old)
}

// closeLeastRecentlyUsed closes the connection that has been idle for longest. It returns
// false if every connection may have calls in progress.
func (t *connectionTable) closeLeastRecentlyUsed() bool {
	var leastRecent *connection
	for _, candidate := range t.current {
		if leastRecent == nil || candidate.lastUsed.Before(leastRecent.lastUsed) {
			leastRecent = candidate
		}
	}
	if leastRecent == nil || time.Since(leastRecent.lastUsed) < maxCallDuration {
		return false
	}
	leastRecent.retired = true
	delete(t.current, leastRecent.address)
	t.close(leastRecent)
	return true
}

func (t *connectionTable) closeAll() {
	for open := range t.all {
		_ = open.client.Close()
	}
}
