package rows_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/budget"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/rows"
)

// TestBudgetRows guards against fields that are lost when a row is written and
// read back, and against names that lead to the row of another budget.
func TestBudgetRows(t *testing.T) {
	Convey("A change is the same after encoding and decoding, whatever the names", t, func() {
		id := core.ShareID{Budget: "a/b%", Holder: core.HostRef{Host: "h/1", Incarnation: 7}}
		change := budget.Change{
			Budgets: []budget.Budget{{ID: id.Budget, Prepaid: 9, Drawn: 5}},
			Shares: []budget.Share{{
				ID: id, Granted: 9, Billed: 2, Credited: 1, Returned: 1, Moved: 3, WrittenOff: 4, Sequence: 6,
				Renewed: time.Unix(5, 0).UTC(), State: budget.Open,
			}},
			TopUps: []budget.TopUp{{Budget: id.Budget, Token: "p/1", Amount: 9}},
		}
		commit, err := rows.BudgetCommit("t", change)
		So(err, ShouldBeNil)
		var written []platform.Row
		for _, write := range commit.Writes {
			written = append(written, platform.Row{Key: write.Key, Value: write.Value})
		}
		read, err := rows.DecodeBudgetRows(written)
		So(err, ShouldBeNil)
		So(read, ShouldResemble, rows.BudgetRows(change))
		So(rows.ShareKey(id), ShouldStartWith, rows.BudgetSharesPrefix(id.Budget))
	})
}

// FuzzDecodeBudgetRows guards against rows that crash a host, and against
// accepted rows with amounts that the ledger does not allow.
func FuzzDecodeBudgetRows(f *testing.F) {
	f.Add("budget/b", []byte(`{"prepaid":5,"drawn":2}`))
	f.Add("share/b/h/1", []byte(`{"granted":5,"billed":2,"state":"open"}`))
	f.Add("topup/b/t", []byte(`{"amount":5}`))
	f.Add("share/b/h/1", []byte(`{"granted":-9223372036854775808,"returned":1,"state":"open"}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		read, err := rows.DecodeBudgetRows([]platform.Row{{Key: key, Value: value, Version: 1}})
		if err != nil {
			return
		}
		for _, row := range read.Budgets {
			if row.Remaining() < 0 {
				t.Fatalf("accepted %+v", row)
			}
		}
		for _, row := range read.Shares {
			if row.Unspent() < 0 || row.NetGranted() > row.Granted {
				t.Fatalf("accepted %+v", row)
			}
		}
		commit, err := rows.BudgetCommit("t", budget.Change(read))
		if err != nil {
			return
		}
		for _, write := range commit.Writes {
			if _, err := rows.DecodeBudgetRows([]platform.Row{{Key: write.Key, Value: write.Value}}); err != nil {
				t.Fatalf("row %q was written as %q: %v", key, write.Key, err)
			}
		}
	})
}
