package demo

import (
	"context"
	"fmt"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/journal"
)

// reconcile drains all hosts, so that all bills are stored, and compares bills,
// shares and budgets with the answers that callers received.
func (d *demo) reconcile(ctx context.Context) error {
	if err := d.fleet.DrainAll(ctx); err != nil {
		return fmt.Errorf("draining the hosts: %w", err)
	}
	bills, err := journal.Reader{Table: d.fleet.Store, Objects: d.fleet.Store.Objects()}.All(ctx)
	if err != nil {
		return err
	}
	d.checkBills(bills)
	if err := d.releaseKilled(ctx); err != nil {
		return err
	}
	return d.checkBudgets(ctx, bills)
}

// releaseKilled returns the shares of the killed host to their budgets, as an
// operator does after making sure that the process has ended.
func (d *demo) releaseKilled(ctx context.Context) error {
	killed := d.fleet.Hosts[0]
	released, err := d.fleet.Budgets().Release(ctx, killed.Ref(), operatorName)
	if err != nil {
		return fmt.Errorf("releasing the shares of host %s: %w", killed.Name, err)
	}
	fmt.Fprintf(d.out, "released %d tokens that the killed host %s had not spent\n", released, killed.Name)
	return nil
}

// checkBills checks that each answered request has one bill of its cost.
func (d *demo) checkBills(bills []core.Bill) {
	c := d.newCheck("P2 each request is billed exactly once")
	byRequest := make(map[string][]core.Bill, len(bills))
	for _, bill := range bills {
		byRequest[bill.Request.String()] = append(byRequest[bill.Request.String()], bill)
	}
	for request, requestBills := range byRequest {
		if len(requestBills) > 1 {
			c.violationf("request %s has %d bills", request, len(requestBills))
		}
	}
	checked := 0
	for _, s := range append(d.tally.samples, d.laterSamples...) {
		id := s.request
		if id == "" && s.key != "" {
			id = core.KeyedRequestID(s.team, s.key).String()
		}
		if !s.answered || id == "" {
			continue
		}
		checked++
		if requestBills := byRequest[id]; len(requestBills) == 0 {
			c.violationf("request %s of %s has no bill", id, s.team)
		} else if requestBills[0].Cost != s.cost {
			c.violationf("request %s cost %d and was billed %d", id, s.cost, requestBills[0].Cost)
		}
	}
	c.detail = fmt.Sprintf("%d answers compared with %d bills", checked, len(bills))
}

// checkBudgets checks the sums of each budget against its shares and bills.
func (d *demo) checkBudgets(ctx context.Context, bills []core.Bill) error {
	c := d.newCheck("P1 the table agrees: billed at most prepaid, for every budget")
	statuses, err := d.fleet.Budgets().List(ctx)
	if err != nil {
		return err
	}
	billed := make(map[core.BudgetID]core.Tokens)
	for _, bill := range bills {
		billed[bill.Share.Budget] += bill.Cost
	}
	var prepaid, spent, unspent core.Tokens
	for _, status := range statuses {
		held := status.Held + status.Stranded
		prepaid, spent, unspent = prepaid+status.Prepaid, spent+status.Spent, unspent+held
		if billed[status.Budget] > status.Prepaid {
			c.violationf("budget %s: billed %d of %d", status.Budget, billed[status.Budget], status.Prepaid)
		}
		if status.Left < 0 || status.Left+status.Spent+held != status.Prepaid {
			c.violationf("budget %s: left %d, spent %d and held %d do not add up to %d",
				status.Budget, status.Left, status.Spent, held, status.Prepaid)
		}
		if status.Spent != billed[status.Budget] {
			c.violationf("budget %s: shares say %d spent, bills %d", status.Budget, status.Spent, billed[status.Budget])
		}
	}
	c.detail = fmt.Sprintf("%d budgets: prepaid %d, spent %d, still held %d", len(statuses), prepaid, spent, unspent)
	return nil
}
