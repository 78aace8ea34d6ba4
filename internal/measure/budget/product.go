package budget

import (
	"fmt"
	"maps"
	"slices"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/budget"
)

const measured core.BudgetID = "measured"

// product keeps the budget by the product's decisions. Draws, recalls and
// table writes take no time; who reaches whom is the world's matter.
type product struct {
	world   *world
	row     budget.Budget
	shares  map[core.ShareID]budget.Share
	holders [hostCount]*budget.Holder
	ids     [hostCount]core.ShareID
	// dead holds the processes that died, with what their peers know of
	// their bills.
	dead    map[core.ShareID]core.Tokens
	serial  uint64
	seconds int
}

func newProduct(w *world) *product {
	return &product{
		world: w, row: budget.Budget{ID: measured},
		shares: make(map[core.ShareID]budget.Share), dead: make(map[core.ShareID]core.Tokens),
	}
}

func (p *product) ledger() *budget.Ledger {
	return budget.NewLedger(p.world.now, []budget.Budget{p.row}, slices.Collect(maps.Values(p.shares)))
}

func (p *product) commit(ledger *budget.Ledger) {
	change := ledger.Change()
	for _, row := range change.Budgets {
		p.row = row
	}
	for _, share := range change.Shares {
		share.Version++
		p.shares[share.ID] = share
	}
}

func (p *product) topUp(amount core.Tokens) {
	ledger := p.ledger()
	payment := budget.TopUp{Budget: measured, Token: fmt.Sprint(p.row.Prepaid), Amount: amount}
	if err := ledger.TopUp(payment); err != nil {
		panic(err)
	}
	p.commit(ledger)
}

func (p *product) start(host int) {
	ref := core.HostRef{Host: core.HostID(fmt.Sprint("host", host)), Incarnation: core.Incarnation(p.world.hosts[host].epoch + 1)}
	p.ids[host] = core.ShareID{Budget: measured, Holder: ref}
	p.holders[host] = budget.NewHolder(p.ids[host], p.world.now)
}

func (p *product) die(host int) {
	p.dead[p.ids[host]] = p.holders[host].Billed()
}

// release applies the bills that peers hold and then releases the shares.
func (p *product) release() {
	ledger := p.ledger()
	for _, share := range p.ledger().Shares() {
		if billed, dead := p.dead[share.ID]; dead {
			ledger.SettleShare(share.ID, billed)
			ledger.Release(share.ID)
		}
	}
	p.commit(ledger)
	clear(p.dead)
}

func (p *product) reserve(host int, amount core.Tokens) (uint64, bool) {
	p.serial++
	holder := p.holders[host]
	holder.RecordDemand(amount, p.world.now)
	if holder.Reserve(p.serial, amount) {
		return p.serial, true
	}
	if !p.world.platformReachable(host) {
		return 0, false
	}
	request := holder.Draw(amount-holder.Available(), p.world.now)
	if answer := p.serve(host, request); answer.Outcome == budget.Exhausted {
		p.recall(host, request.Need-answer.Drawn)
	}
	return p.serial, holder.Reserve(p.serial, amount)
}

func (p *product) serve(host int, request budget.Request) budget.Answer {
	ledger := p.ledger()
	answer := ledger.Serve(request, budget.FleetSize{Zones: zoneCount, Hosts: hostsPerZone})
	p.commit(ledger)
	p.holders[host].ApplyRow(answer.Share)
	return answer
}

// recall asks the holders that the host reaches, the largest share first.
func (p *product) recall(host int, need core.Tokens) {
	to := p.ids[host]
	for _, ref := range budget.RecallTargets(slices.Collect(maps.Values(p.shares)), to) {
		giver := slices.IndexFunc(p.ids[:], func(id core.ShareID) bool { return id.Holder == ref })
		if need <= 0 || giver < 0 || !p.world.connected(host, giver) {
			continue
		}
		transfer, given := p.holders[giver].StartTransfer(to, need)
		if !given {
			continue
		}
		ledger := p.ledger()
		outcome := ledger.Transfer(transfer.From, transfer.To, transfer.Moved)
		p.commit(ledger)
		p.holders[giver].FinishTransfer(transfer, outcome)
		need -= transfer.Amount
	}
	p.holders[host].ApplyRow(p.shares[to])
}

func (p *product) settle(host int, ticket uint64, cost core.Tokens) {
	p.holders[host].Settle(ticket, cost, p.world.now)
}

// second writes totals every five seconds and returns idle shares.
func (p *product) second() {
	p.seconds++
	for host, holder := range p.holders {
		if !p.world.hosts[host].alive || !p.world.platformReachable(host) {
			continue
		}
		if holder.ReturnIdle(p.world.now) || p.seconds%5 == 0 {
			p.serve(host, holder.Report())
		}
	}
}
