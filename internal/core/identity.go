// Package core holds the typed values that pass between filters and tasks.
// It has no behaviour beyond construction, formatting and validation.
package core

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// TeamName identifies a team, the unit of limits and weights.
type TeamName string

// BudgetID identifies a prepaid budget. Several teams may draw on one budget.
type BudgetID string

// ModelName is the name under which callers ask for a model.
type ModelName string

// ClassName names a class of work within a team, for example "appraisal".
type ClassName string

// ServiceName names a plain service behind the fleet, for example "ledger".
type ServiceName string

// HostID identifies a host of the fleet across restarts.
type HostID string

// ZoneName names an availability zone.
type ZoneName string

// UpstreamID identifies an upstream across restarts.
type UpstreamID string

// Incarnation distinguishes successive processes of one host or upstream.
// A higher value is a later process.
type Incarnation uint64

// Tokens counts prompt and generated tokens alike. It is the unit of budgets,
// shares, reservations and bills.
type Tokens int64

// HostRef identifies one process of a host.
type HostRef struct {
	Host        HostID
	Incarnation Incarnation
}

// String returns host and incarnation in the form used in row keys.
func (r HostRef) String() string {
	return fmt.Sprintf("%s/%d", r.Host, r.Incarnation)
}

// ShareID identifies the part of a budget that one host process has drawn.
type ShareID struct {
	Budget BudgetID
	Holder HostRef
}

// RequestID is the identity under which a request is run, relayed and billed.
type RequestID [16]byte

// String returns the identity as 32 hexadecimal digits.
func (id RequestID) String() string {
	return hex.EncodeToString(id[:])
}

// IsZero reports whether the identity has not been assigned.
func (id RequestID) IsZero() bool {
	return id == RequestID{}
}

// ParseRequestID reads the form written by String.
func ParseRequestID(text string) (RequestID, error) {
	var id RequestID
	if len(text) != hex.EncodedLen(len(id)) {
		return RequestID{}, fmt.Errorf("request id %q must have 32 hexadecimal digits", text)
	}
	if _, err := hex.Decode(id[:], []byte(text)); err != nil {
		return RequestID{}, fmt.Errorf("request id %q must be hexadecimal: %w", text, err)
	}
	return id, nil
}

// KeyedRequestID derives the identity of a request from its team and the
// caller's idempotency key, so that every host computes the same one.
func KeyedRequestID(team TeamName, key string) RequestID {
	digest := sha256.Sum256([]byte(string(team) + "\x00" + key))
	var id RequestID
	copy(id[:], digest[:])
	return id
}
