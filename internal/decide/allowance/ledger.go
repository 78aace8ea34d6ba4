// Package allowance decides how much of a team's prepaid balance a host may
// spend, so that all hosts together never spend more than the balance.
//
// For each team, a ledger in the store records what each process was granted.
// A process spends only grants that the store has acknowledged, so that no
// order of failures lets the grants exceed the balance.
package allowance

import (
	"encoding/json"
	"fmt"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Process identifies one process of a host.
type Process struct {
	Host core.HostID
	// Start tells the processes of a host apart.
	Start string
}

// String returns the key of the process in a ledger.
func (p Process) String() string { return string(p.Host) + "/" + p.Start }

// Holding is the grant of one process.
type Holding struct {
	Host core.HostID `json:"h"`
	// Granted is the total granted since the process started, including what it
	// has spent.
	Granted core.Tokens `json:"g"`
	// Spent is what the process had spent at its last commit.
	Spent core.Tokens `json:"s"`
	// Demand is the process's recent demand in tokens per second.
	Demand float64 `json:"d"`
}

// Ledger is the account of one team's balance.
type Ledger struct {
	// Settled is what was spent by processes that have no holding any more. For
	// processes that died, it is the most that they can have spent.
	Settled core.Tokens `json:"settled"`
	// Unsure is the part of Settled that dead processes may not have spent.
	Unsure core.Tokens `json:"unsure"`
	// Holdings has an entry for each process, by Process.String.
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

// Allocated returns the part of the balance that is spent or granted.
func (l Ledger) Allocated() core.Tokens {
	allocated := l.Settled
	for _, holding := range l.Holdings {
		allocated += holding.Granted
	}
	return allocated
}

// KnownSpent returns the part of the balance that is known to be spent.
func (l Ledger) KnownSpent() core.Tokens {
	spent := l.Settled - l.Unsure
	for _, holding := range l.Holdings {
		spent += holding.Spent
	}
	return spent
}

// demandWithout returns the demand of all processes but one, in tokens per
// second.
func (l Ledger) demandWithout(process string) float64 {
	total := 0.0
	for key, holding := range l.Holdings {
		if key != process {
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
