// Package endings keeps the account of callers' requests and connections: each that
// begins ends exactly once, and until then it is in flight.
package endings

import (
	"maps"

	"github.com/peridotreel/peridotreel/internal/gateway"
)

// ID identifies a request or a connection within one process.
type ID uint64

// Totals are the counts since the start of the process. RequestsBegun is the sum of
// Ends and RequestsInFlight, and ConnectionsAccepted that of Closes and ConnectionsOpen.
type Totals struct {
	RequestsBegun       int64
	RequestsInFlight    int64
	Ends                map[gateway.Ending]int64
	ConnectionsAccepted int64
	ConnectionsOpen     int64
	Closes              map[gateway.Closing]int64
	// Unmatched counts ends and closes of what had not begun or had ended before. It is
	// 0 unless a front end reports wrongly.
	Unmatched int64
}

// Lost is the number of requests whose callers were left without a whole answer.
func (t Totals) Lost() int64 {
	var lost int64
	for ending, count := range t.Ends {
		if ending.End.Lost() {
			lost += count
		}
	}
	return lost
}

// Account has the requests in flight, the open connections and the counts.
type Account struct {
	requests    map[ID]struct{}
	connections map[ID]struct{}
	totals      Totals
}

// NewAccount returns an account in which nothing has begun.
func NewAccount() *Account {
	return &Account{
		requests: make(map[ID]struct{}), connections: make(map[ID]struct{}),
		totals: Totals{Ends: make(map[gateway.Ending]int64), Closes: make(map[gateway.Closing]int64)},
	}
}

// Begin records that the first byte of a request was read.
func (a *Account) Begin(id ID) {
	if _, found := a.requests[id]; found {
		a.totals.Unmatched++
		return
	}
	a.requests[id] = struct{}{}
	a.totals.RequestsBegun++
}

// End records how a request ended.
func (a *Account) End(id ID, ending gateway.Ending) {
	if _, found := a.requests[id]; !found {
		a.totals.Unmatched++
		return
	}
	delete(a.requests, id)
	a.totals.Ends[ending]++
}

// Accept records that a connection was accepted.
func (a *Account) Accept(id ID) {
	if _, found := a.connections[id]; found {
		a.totals.Unmatched++
		return
	}
	a.connections[id] = struct{}{}
	a.totals.ConnectionsAccepted++
}

// Close records how a connection was closed.
func (a *Account) Close(id ID, closing gateway.Closing) {
	if _, found := a.connections[id]; !found {
		a.totals.Unmatched++
		return
	}
	delete(a.connections, id)
	a.totals.Closes[closing]++
}

// Totals returns the counts, which later calls do not change.
func (a *Account) Totals() Totals {
	totals := a.totals
	totals.RequestsInFlight = int64(len(a.requests))
	totals.ConnectionsOpen = int64(len(a.connections))
	totals.Ends = maps.Clone(totals.Ends)
	totals.Closes = maps.Clone(totals.Closes)
	return totals
}
