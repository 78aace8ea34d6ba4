package operate

import (
	"context"
	"fmt"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/rows"
)

// Bills reads the bills of the fleet.
type Bills struct {
	Table   platform.Table
	Objects platform.Objects
}

// All returns the bills of all hosts. It follows each journal from its head,
// so that segments which did not take effect are left out.
func (b Bills) All(ctx context.Context) ([]core.Bill, error) {
	heads, err := b.Table.List(ctx, rows.SegmentPrefix)
	if err != nil {
		return nil, err
	}
	var bills []core.Bill
	for _, row := range heads {
		owner, err := rows.SegmentOwner(row.Key)
		if err != nil {
			return nil, err
		}
		head, err := rows.DecodeHead(row.Value)
		if err != nil {
			return nil, err
		}
		mark := head.Mark
		for number := head.Number; number > 0; number-- {
			name := rows.SegmentObject(owner, number, mark)
			content, found, err := b.Objects.Get(ctx, name)
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
	}
	return bills, nil
}
