// Package journal reads the bills that hosts have stored. Each host process
// has a journal: a row with its head, and a chain of objects with segments.
package journal

import (
	"context"
	"fmt"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/billing"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/rows"
)

// Reader reads journals from the platform.
type Reader struct {
	Table   platform.Table
	Objects platform.Objects
}

// Settle raises the billed total of a share whose holder is gone. A total that
// is not higher changes nothing.
type Settle func(ctx context.Context, share core.ShareID, total core.Tokens) error

// All returns the bills of all host processes.
func (r Reader) All(ctx context.Context) ([]core.Bill, error) {
	heads, err := r.Table.List(ctx, rows.HeadPrefix)
	if err != nil {
		return nil, err
	}
	return r.read(ctx, heads)
}

// Of returns the bills of one host process.
func (r Reader) Of(ctx context.Context, owner core.HostRef) ([]core.Bill, error) {
	heads, err := r.Table.Get(ctx, rows.HeadKey(owner))
	if err != nil {
		return nil, err
	}
	return r.read(ctx, heads)
}

// SettleShares makes the shares of a host process that is gone show all that its
// journal charges to them. The process may have ended before it wrote the
// latest totals itself, and peers may have added its last bills.
func (r Reader) SettleShares(ctx context.Context, settle Settle, owner core.HostRef) error {
	bills, err := r.Of(ctx, owner)
	if err != nil {
		return fmt.Errorf("read the journal of %s: %w", owner, err)
	}
	totals := make(map[core.ShareID]core.Tokens)
	for _, bill := range bills {
		totals[bill.Share] += bill.Cost
	}
	for share, total := range totals {
		if err := settle(ctx, share, total); err != nil {
			return fmt.Errorf("settle the share of %s in budget %s: %w", share.Holder, share.Budget, err)
		}
	}
	return nil
}

func (r Reader) read(ctx context.Context, heads []platform.Row) ([]core.Bill, error) {
	var bills []core.Bill
	for _, row := range heads {
		owner, err := rows.ParseHeadKey(row.Key)
		if err != nil {
			return nil, err
		}
		head, err := rows.DecodeHead(row.Value)
		if err != nil {
			return nil, err
		}
		if bills, err = r.chain(ctx, owner, head, bills); err != nil {
			return nil, err
		}
	}
	return bills, nil
}

// chain follows a journal from its head, so that segments which did not take
// effect are left out.
func (r Reader) chain(ctx context.Context, owner core.HostRef, head billing.Head, bills []core.Bill) ([]core.Bill, error) {
	mark := head.WriteID
	for number := head.Number; number > 0; number-- {
		name := rows.SegmentObjectName(owner, number, mark)
		content, found, err := r.Objects.Get(ctx, name)
		if err != nil {
			return nil, err
		}
		if !found {
			return nil, fmt.Errorf("object %s is missing; restore it from the object store's backup", name)
		}
		segment, err := rows.DecodeSegment(content)
		if err != nil {
			return nil, fmt.Errorf("object %s: %w", name, err)
		}
		bills = append(bills, segment.Bills...)
		mark = segment.Previous
	}
	return bills, nil
}
