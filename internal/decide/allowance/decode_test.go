package allowance

import (
	"testing"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// FuzzDecodeLedger checks that no ledger that another writer left ends a process, or
// makes a holder take more than the prepaid total.
func FuzzDecodeLedger(f *testing.F) {
	for _, raw := range []string{
		`{"settled":10,"unsure":3,"holdings":{"h/1":{"h":"h","g":5,"s":2,"d":1.5}}}`, `{"settled":-5}`, `{"unsure":7}`, `{"lost":-9e18}`, `[]`, ``,
		`{"holdings":{"h/1":{"g":9223372036854775807},"h/2":{"g":9223372036854775807}}}`, `{"withheld":{"a":-1}}`, `{"room":-9223372036854775808}`,
		`{"mark":{"e":9223372036854775807,"n":9223372036854775807}}`,
		`{"mark":{"e":1,"n":1},"withheld":{"a":500,"l":true,"n":100,"s":[{"t":5,"a":300},{"t":9,"a":200}],"c":3}}`,
		`{"withheld":{"a":500,"l":true,"t":7,"s":[{"t":9223372036854775807,"a":300}]}}`, `{"withheld":{"a":5,"s":[{"t":9,"a":1},{"t":5,"a":1}]}}`,
		`{"replaced":{"a":9,"w":1,"s":{"a":-1}}}`,
	} {
		f.Add([]byte(raw))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		ledger, err := DecodeLedger(raw)
		if err != nil {
			return
		}
		const prepaid = core.Tokens(1000)
		now := time.Unix(1000, 0)
		holder := NewHolder(Process{Host: "own", Start: "1"})
		holder.SetBalance(prepaid, 1, true)
		holder.SetLedger(ledger, core.Revision{Era: 1, Number: 1}, 0, now)
		holder.AddWaiting(10 * prepaid)
		if proposal, wanted := holder.Propose(now); wanted && proposal.Delta > prepaid {
			t.Fatalf("%d of %d tokens are taken with the ledger %q", proposal.Delta, prepaid, raw)
		}
	})
}

// FuzzDecodePledgeRecord checks that no record of pledges ends a process, or bounds what
// a process has spent by less than nothing.
func FuzzDecodePledgeRecord(f *testing.F) {
	for _, raw := range []string{`{"process":"h/1","clock":5,"pledges":{"t":{"c":1,"b":2,"o":3,"r":4,"d":5}}}`, `{"pledges":{"t":{"c":-1}}}`, `{"pledges":{"t":{"r":1e308}}}`, `{"clock":-9e18}`, ``} {
		f.Add([]byte(raw))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		record, err := DecodePledgeRecord(raw)
		if err != nil {
			return
		}
		for team := range record.Pledges {
			if bound, certain := record.MaxSpent(team, time.Minute, 1); certain && bound < 0 {
				t.Fatalf("the bound is %d with the record %q", bound, raw)
			}
		}
	})
}
