// Package authenticate is the filter that finds the team behind a bearer key.
package authenticate

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/teamtable"
	"github.com/peridotreel/peridotreel/internal/fault"
)

// configurationRetry is the Retry-After delay of a request that is refused
// because the host has just started. Loading the configuration usually takes
// less.
const configurationRetry = time.Second

// Filter authenticates callers against the current table.
type Filter struct {
	table teamtable.Source
}

// New returns the filter.
func New(table teamtable.Source) *Filter {
	return &Filter{table: table}
}

// Digest returns the digest by which the table lists a bearer key.
func Digest(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// Apply returns the caller that the call's key belongs to, or an error if the
// key is unknown.
func (f *Filter) Apply(call *core.Call) (core.Caller, error) {
	snapshot := f.table.Current()
	if snapshot == nil {
		return core.Caller{}, fault.Refuse(fault.ConfigurationNotReady,
			"this host has not loaded its configuration yet; retry shortly").WithRetryAfter(configurationRetry)
	}
	if call.BearerKey == "" {
		return core.Caller{}, fault.Refuse(fault.InvalidKey,
			"no API key was given; send the header Authorization: Bearer KEY")
	}
	row, found := snapshot.ByKeyDigest[Digest(call.BearerKey)]
	if !found {
		return core.Caller{}, fault.Refuse(fault.InvalidKey,
			"the API key belongs to no team; check the key or ask the operator to add it to the team's row")
	}
	return core.Caller{Team: row}, nil
}
