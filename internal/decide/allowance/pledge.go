package allowance

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Pledge bounds what a process spends of one team's balance without the store.
// When the process has died, the next process of its host takes the bound for
// spent and returns the rest of the grant.
//
// A process that restarts within outageDelay of its last pledge strands Burst;
// one that may have lived on without the store strands more.
type Pledge struct {
	// Spent counts what is spent and reserved since the process started.
	Spent core.Tokens `json:"c"`
	// Burst may be spent besides at any time.
	Burst core.Tokens `json:"b"`
	// Outage may be spent besides once outageDelay has passed, and Rate for
	// each second from then on.
	Outage core.Tokens `json:"o"`
	Rate   float64     `json:"r"`
}

// outageDelay is the time without the store after which a process spends what
// it keeps for an outage. It exceeds the age of the last pledge and the time in
// which a process is usually replaced.
const outageDelay = 2400 * time.Millisecond

// Limit returns the bound some time after the pledge.
func (p Pledge) Limit(elapsed time.Duration) core.Tokens {
	limit := p.Spent + p.Burst
	if outage := elapsed - outageDelay; outage > 0 {
		limit += p.Outage + core.Tokens(p.Rate*outage.Seconds())
	}
	return limit
}

// reaches returns the time after which the limit covers an amount, or false if
// it never does.
func (p Pledge) reaches(amount core.Tokens) (time.Duration, bool) {
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

// Record is the row with a process's pledges.
type Record struct {
	// Process is the key of the process in ledgers.
	Process string `json:"process"`
	// Clock is a time in milliseconds that the store's clock had passed when the
	// record was written. The time since then bounds the time that the process
	// had.
	Clock   int64                    `json:"clock"`
	Pledges map[core.TeamName]Pledge `json:"pledges"`
}

// DecodeRecord decodes a record.
func DecodeRecord(raw []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(raw, &record); err != nil {
		return Record{}, fmt.Errorf("decode a record of pledges; the grants of that process count as spent: %w", err)
	}
	return record, nil
}

// Encode encodes a record.
func (r Record) Encode() ([]byte, error) {
	raw, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode a record of pledges: %w", err)
	}
	return raw, nil
}

// Bound returns the most that the record's process can have spent of a team's
// balance if it had ended by a time of the store's clock.
func (r Record) Bound(team core.TeamName, end time.Duration) core.Tokens {
	return r.Pledges[team].Limit(end - time.Duration(r.Clock)*time.Millisecond)
}

// anchored is a pledge with the local time from which it counts: that for which
// the record's clock was computed.
type anchored struct {
	pledge Pledge
	at     time.Time
}

func (a anchored) limit(now time.Time) core.Tokens { return a.pledge.Limit(now.Sub(a.at)) }

const (
	// pledgeAhead is the time of demand that a pledge covers at once, however
	// little of the balance is left.
	pledgeAhead = 250 * time.Millisecond
	// evenBurst is the part of the even share, as a divisor, that a burst allows
	// to a team without demand.
	evenBurst = 20.0
	// burstShare bounds the burst by the unspent balance: requests that are
	// refused and repeated at once count as demand too.
	burstShare = 0.1
	// bridge is the time of demand that a pledge covers while the balance is
	// ample, so that requests do not wait until an outage is known as one.
	bridge = outageDelay + 400*time.Millisecond
	// ample is the time of the team's demand that the unspent balance must cover
	// for the bridge to be pledged in full. A death strands the bridge, so that
	// there is none if the balance covers less than scarce.
	ample  = 30 * time.Second
	scarce = 8 * time.Second
	// bridgeShare bounds the bridge by the unspent balance, for teams that send
	// few large requests.
	bridgeShare = 0.03
	// outageBurst is the multiple of the largest recent amount that may be
	// spent besides in an outage.
	outageBurst = 1.0
	// outageRamp is the time in an outage after which one more of the largest
	// requests may be spent.
	outageRamp = 3 * time.Second
	// evenRamp is likewise for the even part. It exceeds the usual outage, as what
	// is not spent of it is stranded by a death.
	evenRamp = 20 * time.Second
	// outageRate is the multiple of the recent demand that may be spent in an
	// outage.
	outageRate = 1.5
)

// Pledge returns the pledge for the holder's present demand.
func (h *Holder) Pledge(now time.Time) Pledge {
	h.decay(now)
	spread := h.spread()
	even := spread.even
	burst := max(h.perSecond()*pledgeAhead.Seconds(), even/evenBurst, h.bridged(spread.teamRate))
	burst = min(burst, burstShare*h.unspent())
	return Pledge{
		Spent: h.used(), Burst: core.Tokens(burst) + h.waiting,
		Outage: core.Tokens(outageBurst * h.largest),
		Rate:   outageRate*h.perSecond() + even/evenRamp.Seconds() + h.largest/outageRamp.Seconds(),
	}
}

// bridged returns the demand that is pledged for the time until an outage is
// known as one.
func (h *Holder) bridged(teamRate float64) float64 {
	if teamRate <= 0 {
		return 0
	}
	covered := h.unspent() / teamRate
	part := (covered - scarce.Seconds()) / (ample - scarce).Seconds()
	return min(max(part, 0), 1) * min(h.perSecond()*bridge.Seconds()+h.largest, bridgeShare*h.unspent())
}

// BeginPledge marks a pledge as written but not acknowledged, counting from a
// local time. Until a later one is acknowledged, the strictest of those that the
// store may hold applies.
func (h *Holder) BeginPledge(pledge Pledge, at time.Time) {
	h.pending = append(h.pending, anchored{pledge, at})
}

// EndPledge tells what became of the newest pledge.
func (h *Holder) EndPledge(applied bool) {
	last := len(h.pending) - 1
	if last < 0 {
		return
	}
	if !applied {
		h.pending = h.pending[:last]
		return
	}
	h.pledged = &anchored{h.pending[last].pledge, h.pending[last].at}
	h.pending = nil
}

// limit returns what may be spent and reserved at a time by the pledges.
func (h *Holder) limit(now time.Time) core.Tokens {
	if h.pledged == nil {
		return 0
	}
	limit := h.pledged.limit(now)
	for _, pending := range h.pending {
		limit = min(limit, pending.limit(now))
	}
	return limit
}

// pledgeLow is the part of the burst below which a pledge is renewed.
const pledgeLow = 0.5

// PledgeLow reports whether much of the newest acknowledged pledge was used.
func (h *Holder) PledgeLow(now time.Time) bool {
	if !h.Engaged() {
		return false
	}
	if h.pledged == nil {
		return true
	}
	rest := h.pledged.pledge.Spent + h.pledged.pledge.Burst - h.used()
	return float64(rest) < pledgeLow*float64(h.Pledge(now).Burst)
}

// AllowedAt returns when the pledge lets an amount be reserved that the grant
// covers, without the store. It reports false if that is never.
func (h *Holder) AllowedAt(amount core.Tokens, now time.Time) (time.Time, bool) {
	if h.held() < amount || h.ledger.Taken() > h.prepaid || h.pledged == nil {
		return time.Time{}, false
	}
	used := h.used()
	at := now
	for _, anchor := range append([]anchored{*h.pledged}, h.pending...) {
		elapsed, ever := anchor.pledge.reaches(used + amount)
		if !ever {
			return time.Time{}, false
		}
		if reached := anchor.at.Add(elapsed); reached.After(at) {
			at = reached
		}
	}
	return at, true
}

// PledgeShort reports whether waiting requests exceed the pledge, though not
// the grant.
func (h *Holder) PledgeShort(now time.Time) bool {
	return h.waiting > 0 && h.used()+h.waiting > h.limit(now)
}

// SetEnded takes the most that an earlier process of this host can have spent.
func (h *Holder) SetEnded(process string, bound core.Tokens) { h.ended[process] = bound }
