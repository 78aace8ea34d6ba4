package allowance

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Pledge is an upper bound, recorded in the store, on what a process spends of
// one team's balance. When the process has died, the next process of its host
// settles the bound as spent and returns the rest of the grant.
//
// If the next process starts within outageDelay of the last pledge, at most Burst
// unspent tokens are settled as spent. The later it starts, the more may be.
type Pledge struct {
	// Spent is what was spent or reserved since the process started.
	Spent core.Tokens `json:"c"`
	// Burst may be spent in addition at any time.
	Burst core.Tokens `json:"b"`
	// Outage may be spent in addition once outageDelay has passed, and Rate per
	// second from then on.
	Outage core.Tokens `json:"o"`
	Rate   float64     `json:"r"`
	// Demand is the recent demand in tokens per second.
	Demand float64 `json:"d"`
}

// outageDelay is the time since the last pledge after which a process may spend
// its allowance for an outage of the store. It exceeds the interval between
// pledges and the time in which a process is usually replaced.
const outageDelay = 2400 * time.Millisecond

// Limit returns the bound at a time after the pledge.
func (p Pledge) Limit(elapsed time.Duration) core.Tokens {
	limit := p.Spent + p.Burst
	if outage := elapsed - outageDelay; outage > 0 {
		limit += p.Outage + core.Tokens(p.Rate*outage.Seconds())
	}
	return limit
}

// timeToReach returns the time after which the limit covers an amount. It reports
// false if it never does.
func (p Pledge) timeToReach(amount core.Tokens) (time.Duration, bool) {
	rest := amount - p.Spent - p.Burst
	if rest <= 0 {
		return 0, true
	}
	if rest -= p.Outage; rest <= 0 {
		return outageDelay + time.Millisecond, true
	}
	if p.Rate <= 0 {
		return 0, false
	}
	return outageDelay + time.Millisecond + time.Duration(float64(rest)/p.Rate*float64(time.Second)), true
}

// PledgeRecord is the row with the pledges of a process.
type PledgeRecord struct {
	// Era is the era of the store in which the record was written.
	Era int64 `json:"era,omitempty"`
	// Process is the key of the process in ledgers.
	Process string `json:"process"`
	// Clock is a time of the store's clock, in milliseconds, that had passed when
	// the record was written. The time since then bounds how long the process
	// can have spent tokens.
	Clock   int64                    `json:"clock"`
	Pledges map[core.TeamName]Pledge `json:"pledges"`
}

// DecodePledgeRecord decodes a record of pledges.
func DecodePledgeRecord(raw []byte) (PledgeRecord, error) {
	var record PledgeRecord
	if err := json.Unmarshal(raw, &record); err != nil {
		return PledgeRecord{}, fmt.Errorf("decode a record of pledges; the grants of that process count as spent: %w", err)
	}
	for team, pledge := range record.Pledges {
		err := errors.Join(checkTokens("spent", pledge.Spent), checkTokens("burst", pledge.Burst), checkTokens("outage", pledge.Outage),
			checkDemand("rate", pledge.Rate), checkDemand("demand", pledge.Demand))
		if err != nil {
			return PledgeRecord{}, fmt.Errorf("check the pledge of team %q; the grants of that process count as spent: %w", team, err)
		}
	}
	return record, nil
}

// Encode encodes a record of pledges.
func (r PledgeRecord) Encode() ([]byte, error) {
	raw, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode a record of pledges: %w", err)
	}
	return raw, nil
}

// MaxSpent returns the most that the record's process can have spent of a team's
// balance if it had ended by a time of the store's clock. It reports false for a record
// of an earlier era, which may be older than the process's last pledge.
func (r PledgeRecord) MaxSpent(team core.TeamName, end time.Duration, era int64) (core.Tokens, bool) {
	if r.Era < era && era > firstEra {
		return 0, false
	}
	return r.Pledges[team].Limit(end - time.Duration(r.Clock)*time.Millisecond), true
}

// timedPledge is a pledge and the local time from which it counts, which is the
// time for which the record's clock was computed.
type timedPledge struct {
	pledge Pledge
	start  time.Time
}

func (p timedPledge) limit(now time.Time) core.Tokens { return p.pledge.Limit(now.Sub(p.start)) }

const (
	// pledgedDemandTime is how much demand the burst of a pledge covers even if
	// little of the balance is left, within maxBurstShare.
	pledgedDemandTime = 250 * time.Millisecond
	// evenBurstDivisor divides the even part of the balance to give the burst of
	// a team without demand.
	evenBurstDivisor = 20.0
	// maxBurstShare bounds the burst to a share of the unspent balance. Without
	// it, requests that are refused and immediately repeated would raise it.
	maxBurstShare = 0.1
	// bridgeTime is how much demand a pledge covers while the balance is ample,
	// so that no request waits until outageDelay has passed.
	bridgeTime = outageDelay + 400*time.Millisecond
	// fullBridgeCover is how long the unspent balance must cover the team's
	// demand for bridgeTime to be pledged in full. If a process dies, what was
	// pledged is settled as spent, so that nothing is pledged for bridgeTime if
	// the balance covers less than minBridgeCover.
	fullBridgeCover = 30 * time.Second
	minBridgeCover  = 8 * time.Second
	// maxBridgeShare bounds what is pledged for bridgeTime to a share of the
	// unspent balance, for teams that send few large requests.
	maxBridgeShare = 0.03
	// outageRequests is how many requests of the largest recent size may be spent
	// in addition once outageDelay has passed.
	outageRequests = 1.0
	// requestRampTime is the time in an outage after which one more request of
	// the largest recent size may be spent.
	requestRampTime = 3 * time.Second
	// evenRampTime is the time in an outage after which the even part of the
	// balance may be spent. It exceeds the usual outage, because what is pledged
	// but not spent is lost to the team if the process dies.
	evenRampTime = 20 * time.Second
	// outageDemandFactor is the multiple of the recent demand that may be spent
	// in an outage.
	outageDemandFactor = 1.5
)

// NewPledge computes a pledge from the process's recent demand and the unspent
// balance. It binds the holder only from BeginPledge on.
func (h *Holder) NewPledge(now time.Time) Pledge {
	h.decayDemand(now)
	split := h.splitUnspent(now)
	even := split.even
	burst := max(h.demandRate()*pledgedDemandTime.Seconds(), even/evenBurstDivisor, h.bridgeDemand(split.teamRate))
	burst = min(burst, maxBurstShare*h.unspent())
	return Pledge{
		Spent: h.used(), Burst: core.Tokens(burst) + h.waiting,
		Outage: core.Tokens(outageRequests * h.largestAmount),
		Rate:   outageDemandFactor*h.demandRate() + even/evenRampTime.Seconds() + h.largestAmount/requestRampTime.Seconds(),
		Demand: h.demandRate(),
	}
}

// bridgeDemand returns the demand that is pledged for bridgeTime.
func (h *Holder) bridgeDemand(teamRate float64) float64 {
	if teamRate <= 0 {
		return 0
	}
	cover := h.unspent() / teamRate
	part := (cover - minBridgeCover.Seconds()) / (fullBridgeCover - minBridgeCover).Seconds()
	return min(max(part, 0), 1) * min(h.demandRate()*bridgeTime.Seconds()+h.largestAmount, maxBridgeShare*h.unspent())
}

// BeginPledge records a pledge that is being written and counts from a local
// time. Until a later pledge is acknowledged, the strictest of those that the
// store may have applies.
func (h *Holder) BeginPledge(pledge Pledge, start time.Time) {
	h.pendingPledges = append(h.pendingPledges, timedPledge{pledge, start})
}

// EndPledge records whether the newest pledge was applied. It is called once the
// outcome is certain.
func (h *Holder) EndPledge(applied bool) {
	last := len(h.pendingPledges) - 1
	if last < 0 {
		return
	}
	if !applied {
		h.pendingPledges = h.pendingPledges[:last]
		return
	}
	h.acknowledgedPledge = &timedPledge{h.pendingPledges[last].pledge, h.pendingPledges[last].start}
	h.pendingPledges = nil
}

// spendingLimit returns what the pledges allow to be spent or reserved in total.
func (h *Holder) spendingLimit(now time.Time) core.Tokens {
	if h.acknowledgedPledge == nil {
		return 0
	}
	limit := h.acknowledgedPledge.limit(now)
	for _, pending := range h.pendingPledges {
		limit = min(limit, pending.limit(now))
	}
	return limit
}

// pledgeRenewShare is the share of a new pledge's burst below which the unused
// burst makes a renewal due.
const pledgeRenewShare = 0.5

// PledgeLow reports whether much of the acknowledged pledge's burst is used.
func (h *Holder) PledgeLow(now time.Time) bool {
	if !h.Active() {
		return false
	}
	if h.acknowledgedPledge == nil {
		return true
	}
	unused := h.acknowledgedPledge.pledge.Spent + h.acknowledgedPledge.pledge.Burst - h.used()
	return float64(unused) < pledgeRenewShare*float64(h.NewPledge(now).Burst)
}

// AllowedAt returns when the pledges will allow an amount to be reserved out of
// the grant, without a call to the store. It reports false if they never will.
func (h *Holder) AllowedAt(amount core.Tokens, now time.Time) (time.Time, bool) {
	if h.held() < amount || h.ledger.Allocated() > h.prepaid || h.acknowledgedPledge == nil {
		return time.Time{}, false
	}
	used := h.used()
	at := now
	for _, timed := range append([]timedPledge{*h.acknowledgedPledge}, h.pendingPledges...) {
		elapsed, ever := timed.pledge.timeToReach(used + amount)
		if !ever {
			return time.Time{}, false
		}
		if reached := timed.start.Add(elapsed); reached.After(at) {
			at = reached
		}
	}
	return at, true
}

// PledgeExceeded reports whether the waiting requests need more than the pledges
// allow.
func (h *Holder) PledgeExceeded(now time.Time) bool {
	return h.waiting > 0 && h.used()+h.waiting > h.spendingLimit(now)
}

// SetEarlierBound records the most that an earlier process of this host can have
// spent.
func (h *Holder) SetEarlierBound(process string, bound core.Tokens) {
	h.earlierBounds[process] = bound
}
