package balances

import (
	"context"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/allowance"
	"github.com/peridotreel/peridotreel/internal/task"
)

// maxRecallHosts is how many hosts are asked at once to return tokens.
const maxRecallHosts = 3

// returnTokens asks this host to return tokens to the balance for another host.
type returnTokens struct {
	team   core.TeamName
	amount core.Tokens
	reply  chan<- core.Tokens
}

// recallResult has the amount that another host has returned.
type recallResult struct {
	team     core.TeamName
	host     core.HostID
	returned core.Tokens
	answered bool
}

// Return returns tokens of this host to the balance, for another host that lacks
// them. Its result is the amount that the store has acknowledged.
func (b *Balances) Return(ctx context.Context, team core.TeamName, amount core.Tokens) (core.Tokens, error) {
	return task.Ask(ctx, b.inbox, func(reply chan<- core.Tokens) any { return returnTokens{team, amount, reply} })
}

func (b *Balances) startReturn(ctx context.Context, m returnTokens, now time.Time) {
	a, found := b.teams[m.team]
	if !found || a.busy || a.closed || !b.pledges.read || a.returnReply != nil {
		m.reply <- 0
		return
	}
	proposal, possible := a.holder.ProposeReturn(m.amount, now)
	if !possible {
		m.reply <- 0
		return
	}
	a.holder.BeginCommit(proposal, now)
	a.busy, a.returnReply, a.returnAmount = true, m.reply, -proposal.Delta
	go b.commit(ctx, a.name, a.rowKey, proposal)
}

// replyToReturn sends the result of a return to the host that recalled the tokens.
func (b *Balances) replyToReturn(a *account, applied bool) {
	if a.returnReply == nil {
		return
	}
	if !applied {
		a.returnAmount = 0
	}
	a.returnReply <- a.returnAmount
	a.returnReply = nil
}

// recall asks the hosts with most of a team's tokens to return what the waiting
// requests lack. It reports false if there is no host to ask.
func (b *Balances) recall(a *account) bool {
	if b.config.Now().Before(b.storeAwayUntil) || b.closeReply != nil {
		return false
	}
	hosts, shortfall := a.holder.LargestHolders(maxRecallHosts, b.config.Now())
	if shortfall <= 0 || len(hosts) == 0 {
		return false
	}
	for _, host := range hosts {
		a.pendingRecalls++
		team := a.name
		b.config.Recall(host, team, shortfall, func(returned core.Tokens, answered bool) {
			_ = b.inbox.Send(context.Background(), recallResult{team, host, returned, answered})
		})
	}
	return true
}

func (b *Balances) handleRecallResult(ctx context.Context, m recallResult) {
	a := b.teams[m.team]
	a.pendingRecalls--
	if m.answered {
		delete(a.unansweredAt, m.host)
	} else {
		a.unansweredAt[m.host] = b.config.Now()
	}
	switch {
	case a.busy:
	case m.returned > 0:
		b.readLedger(ctx, a)
	case a.pendingRecalls == 0:
		b.refuseIf(a, Away, func(waiter) bool { return true })
	}
}

// recallMemory is how long a host that did not answer a recall counts as unreachable. The
// largest holders are asked again with each request that no owner can serve.
const recallMemory = 3 * time.Second

// shortage returns what is known of a balance, for a request that is refused.
func (b *Balances) shortage(a *account, now time.Time) *allowance.Shortage {
	shortage := a.holder.Shortage(now)
	for i, holder := range shortage.Holders {
		at, unanswered := a.unansweredAt[holder.Host]
		shortage.Holders[i].Unreachable = unanswered && now.Sub(at) < recallMemory
	}
	return &shortage
}
