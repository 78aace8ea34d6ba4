package budget

import (
	"fmt"
	"maps"
	"slices"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/budget"
)

const measuredBudget core.BudgetID = "measured"

// product keeps the budget with the product's decision code. Draws, recalls and
// table writes take no time; the simulation decides which hosts are reachable.
type product struct {
	simulation *simulation
	budgetRow  budget.Budget
	shares     map[core.ShareID]budget.Share
	holders    [hostCount]*budget.Holder
	shareIDs   [hostCount]core.ShareID
	// deadBilled maps the shares of terminated processes that aren't released
	// yet to the sum of their bills, of which peers hold copies.
	deadBilled      map[core.ShareID]core.Tokens
	lastReservation uint64
	elapsedSeconds  int
}

func newProduct(s *simulation) *product {
	return &product{
		simulation: s, budgetRow: budget.Budget{ID: measuredBudget},
		shares: make(map[core.ShareID]budget.Share), deadBilled: make(map[core.ShareID]core.Tokens),
	}
}

func (p *product) ledger() *budget.Ledger {
	return budget.NewLedger(p.simulation.now, []budget.Budget{p.budgetRow}, slices.Collect(maps.Values(p.shares)))
}

func (p *product) commit(ledger *budget.Ledger) {
	change := ledger.Change()
	for _, row := range change.Budgets {
		p.budgetRow = row
	}
	for _, share := range change.Shares {
		share.Version++
		p.shares[share.ID] = share
	}
}

func (p *product) topUp(amount core.Tokens) {
	ledger := p.ledger()
	topUp := budget.TopUp{Budget: measuredBudget, Token: fmt.Sprint(p.budgetRow.Prepaid), Amount: amount}
	if err := ledger.TopUp(topUp); err != nil {
		panic(err)
	}
	p.commit(ledger)
}

func (p *product) start(host int) {
	ref := core.HostRef{Host: core.HostID(fmt.Sprint("host", host)), Incarnation: core.Incarnation(p.simulation.hosts[host].incarnation + 1)}
	p.shareIDs[host] = core.ShareID{Budget: measuredBudget, Holder: ref}
	p.holders[host] = budget.NewHolder(p.shareIDs[host], p.simulation.now)
}

func (p *product) kill(host int) {
	p.deadBilled[p.shareIDs[host]] = p.holders[host].Billed()
}

// releaseDead settles the bills held by peers and then releases the shares.
func (p *product) releaseDead() {
	ledger := p.ledger()
	for _, share := range p.ledger().Shares() {
		if billed, dead := p.deadBilled[share.ID]; dead {
			ledger.SettleShare(share.ID, billed)
			ledger.Release(share.ID)
		}
	}
	p.commit(ledger)
	clear(p.deadBilled)
}

func (p *product) reserve(host int, amount core.Tokens) (uint64, bool) {
	p.lastReservation++
	holder := p.holders[host]
	holder.RecordDemand(amount, p.simulation.now)
	if holder.Reserve(p.lastReservation, amount) {
		return p.lastReservation, true
	}
	if !p.simulation.platformReachable(host) {
		return 0, false
	}
	request := holder.Draw(amount-holder.Available(), p.simulation.now)
	if answer := p.serve(host, request); answer.Outcome == budget.Exhausted {
		p.recall(host, request.Need-answer.Drawn)
	}
	return p.lastReservation, holder.Reserve(p.lastReservation, amount)
}

func (p *product) serve(host int, request budget.Request) budget.Answer {
	ledger := p.ledger()
	answer := ledger.Serve(request, budget.FleetSize{Zones: zoneCount, Hosts: hostsPerZone})
	p.commit(ledger)
	p.holders[host].ApplyRow(answer.Share)
	return answer
}

// recall takes tokens back from the holders that the host reaches, the largest
// share first.
func (p *product) recall(host int, need core.Tokens) {
	receiver := p.shareIDs[host]
	for _, ref := range budget.RecallTargets(slices.Collect(maps.Values(p.shares)), receiver) {
		donor := slices.IndexFunc(p.shareIDs[:], func(id core.ShareID) bool { return id.Holder == ref })
		if need <= 0 || donor < 0 || !p.simulation.connected(host, donor) {
			continue
		}
		transfer, started := p.holders[donor].StartTransfer(receiver, need)
		if !started {
			continue
		}
		ledger := p.ledger()
		outcome := ledger.Transfer(transfer.From, transfer.To, transfer.Moved)
		p.commit(ledger)
		p.holders[donor].FinishTransfer(transfer, outcome)
		need -= transfer.Amount
	}
	p.holders[host].ApplyRow(p.shares[receiver])
}

func (p *product) settle(host int, reservation uint64, cost core.Tokens) {
	p.holders[host].Settle(reservation, cost, p.simulation.now)
}

// everySecond reports the totals of live holders every five seconds and returns
// idle shares.
func (p *product) everySecond() {
	p.elapsedSeconds++
	for host, holder := range p.holders {
		if !p.simulation.hosts[host].alive || !p.simulation.platformReachable(host) {
			continue
		}
		if holder.ReturnIdle(p.simulation.now) || p.elapsedSeconds%5 == 0 {
			p.serve(host, holder.Report())
		}
	}
}
