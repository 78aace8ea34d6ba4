package balances

import (
	"context"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/task"
)

// maxLenders bounds the hosts asked at once to return tokens.
const maxLenders = 3

// giveBack asks this host to return tokens for another one.
type giveBack struct {
	team   core.TeamName
	amount core.Tokens
	reply  chan<- core.Tokens
}

// recalled tells what another host has returned.
type recalled struct {
	team     core.TeamName
	returned core.Tokens
}

// Return gives tokens that this host holds back to the ledger, for a host that
// lacks them. It returns how many were given back once the store has
// acknowledged it.
func (b *Balances) Return(ctx context.Context, team core.TeamName, amount core.Tokens) (core.Tokens, error) {
	return task.Ask(ctx, b.inbox, func(reply chan<- core.Tokens) any { return giveBack{team, amount, reply} })
}

func (b *Balances) giveBackTo(ctx context.Context, m giveBack, now time.Time) {
	a, found := b.teams[m.team]
	if !found || a.busy || a.closed || !b.pledge.read || a.returning != nil {
		m.reply <- 0
		return
	}
	proposal, possible := a.holder.ProposeReturn(m.amount, now)
	if !possible {
		m.reply <- 0
		return
	}
	a.holder.BeginCommit(proposal, now)
	a.busy, a.returning, a.returned = true, m.reply, -proposal.Delta
	go b.commit(ctx, a.name, proposal)
}

// answerReturn tells the host that asked for tokens what became of it.
func (b *Balances) answerReturn(a *account, applied bool) {
	if a.returning == nil {
		return
	}
	if !applied {
		a.returned = 0
	}
	a.returning <- a.returned
	a.returning = nil
}

// recall asks the hosts that hold most of a team's tokens to return what the
// waiting requests lack. It reports false if there is nobody to ask.
func (b *Balances) recall(a *account) bool {
	if b.config.Now().Before(b.awayUntil) || b.closing != nil {
		return false
	}
	lenders, lack := a.holder.LargestHolders(maxLenders)
	if lack <= 0 || len(lenders) == 0 {
		return false
	}
	for _, host := range lenders {
		a.recalls++
		team := a.name
		b.config.Recall(host, team, lack, func(returned core.Tokens) {
			_ = b.inbox.Send(context.Background(), recalled{team, returned})
		})
	}
	return true
}

func (b *Balances) recalled(ctx context.Context, m recalled) {
	a := b.teams[m.team]
	a.recalls--
	switch {
	case a.busy:
	case m.returned > 0:
		b.read(ctx, a)
	case a.recalls == 0:
		b.refuseIf(a, Away, func(waiter) bool { return true })
	}
}
