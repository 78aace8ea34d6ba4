// Package allowance decides how much of a team's prepaid balance a host may
// spend, so that all hosts together never spend more than the balance.
//
// A ledger in the store records for each team what each process was granted.
// A process spends only what the store has acknowledged as granted to it, so
// that no order of failures lets the grants exceed the balance.
package allowance

import (
	"encoding/json"
	"fmt"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Process names one process of a host.
type Process struct {
	Host core.HostID
	// Start distinguishes the processes of a host.
	Start string
}

// String returns the key of the process in a ledger.
func (p Process) String() string { return string(p.Host) + "/" + p.Start }

// Holding is what one process was granted.
type Holding struct {
	Host core.HostID `json:"h"`
	// Granted is the total granted since the process started, spent included.
	Granted core.Tokens `json:"g"`
	// Spent is what the process had spent at its last commit.
	Spent core.Tokens `json:"s"`
	// Demand is the process's recent demand in tokens a second.
	Demand float64 `json:"d"`
}

// Ledger is the account of one team's balance.
type Ledger struct {
	// Settled is what processes spent that hold nothing any more. Of those that
	// died, it is the most that they can have spent.
	Settled core.Tokens `json:"settled"`
	// Unsure is the part of Settled that dead processes may not have spent.
	Unsure core.Tokens `json:"unsure"`
	// Holdings are by the key of the process.
	Holdings map[string]Holding `json:"holdings"`
}

// DecodeLedger decodes a ledger.
func DecodeLedger(raw []byte) (Ledger, error) {
	var ledger Ledger
	if err := json.Unmarshal(raw, &ledger); err != nil {
		return Ledger{}, fmt.Errorf("decode a balance ledger; no tokens are granted until it is repaired: %w", err)
	}
	return ledger, nil
}

// Encode encodes a ledger.
func (l Ledger) Encode() ([]byte, error) {
	raw, err := json.Marshal(l)
	if err != nil {
		return nil, fmt.Errorf("encode a balance ledger: %w", err)
	}
	return raw, nil
}

// Taken returns the part of the balance that is spent or granted.
func (l Ledger) Taken() core.Tokens {
	taken := l.Settled
	for _, holding := range l.Holdings {
		taken += holding.Granted
	}
	return taken
}

// Used returns what is known to be spent.
func (l Ledger) Used() core.Tokens {
	used := l.Settled - l.Unsure
	for _, holding := range l.Holdings {
		used += holding.Spent
	}
	return used
}

// demand returns the demand of all processes but one, in tokens a second.
func (l Ledger) demand(except string) float64 {
	total := 0.0
	for key, holding := range l.Holdings {
		if key != except {
			total += holding.Demand
		}
	}
	return total
}

func (l Ledger) clone() Ledger {
	holdings := make(map[string]Holding, len(l.Holdings)+1)
	for key, holding := range l.Holdings {
		holdings[key] = holding
	}
	return Ledger{Settled: l.Settled, Unsure: l.Unsure, Holdings: holdings}
}
