// Package journal reads the bills that hosts have stored. Each host process has a
// journal, which consists of a row with its head and a linked list of objects
// with its segments.
package journal

import (
	"context"
	"fmt"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/billing"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/rows"
)

// Reader reads journals from the platform's table and object store.
type Reader struct {
	Table   platform.Table
	Objects platform.Objects
}

// Settle raises the billed total of a share whose holder is gone. It has no effect
// if total is not higher.
type Settle func(ctx context.Context, share core.ShareID, total core.Tokens) error

// All returns the bills of all host processes.
func (r Reader) All(ctx context.Context) ([]core.Bill, error) {
	heads, err := r.Table.List(ctx, rows.HeadPrefix)
	if err != nil {
		return nil, err
	}
	return r.readJournals(ctx, heads)
}

// OfHost returns the bills of one host process.
func (r Reader) OfHost(ctx context.Context, owner core.HostRef) ([]core.Bill, error) {
	heads, err := r.Table.Get(ctx, rows.HeadKey(owner))
	if err != nil {
		return nil, err
	}
	return r.readJournals(ctx, heads)
}

// SettleShares raises the billed totals of the shares of a host process that is
// gone to the sums of the bills in its journal. The process may have ended before
// it wrote its latest totals, and peers may have written its last bills.
func (r Reader) SettleShares(ctx context.Context, settle Settle, owner core.HostRef) error {
	bills, err := r.OfHost(ctx, owner)
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

func (r Reader) readJournals(ctx context.Context, heads []platform.Row) ([]core.Bill, error) {
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
		if bills, err = r.readSegments(ctx, owner, head, bills); err != nil {
			return nil, err
		}
	}
	return bills, nil
}

// readSegments appends the bills of a journal to bills. It follows the journal
// from its head, so it skips segments that were stored but never committed.
func (r Reader) readSegments(ctx context.Context, owner core.HostRef, head billing.Head, bills []core.Bill) ([]core.Bill, error) {
	writeID := head.WriteID
	for number := head.Number; number > 0; number-- {
		name := rows.SegmentObjectName(owner, number, writeID)
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
		writeID = segment.Previous
	}
	return bills, nil
}
