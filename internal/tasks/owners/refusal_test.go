package owners

import (
	"bytes"
	"context"
	"encoding/gob"
	"testing"
	"testing/synctest"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/allowance"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/tasks/balances"
)

func (p *fakeBalance) setShortage(shortage *allowance.Shortage) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.shortage = shortage
}

// Guards against refusals whose cause names holders as reachable that gave no answer, or
// that the list of hosts no longer has, and against a cause of a request that was granted.
func TestARefusalNamesTheHoldersThatWereNotReached(t *testing.T) {
	shortage := &allowance.Shortage{
		Parts:   allowance.Parts{Spent: 500, Available: 10},
		Holders: []allowance.HostTokens{{Host: "b", Tokens: 90}, {Host: "c", Tokens: 200}, {Host: "gone", Tokens: 30}},
	}
	refused := func(answer *allowance.Shortage, change func(w *fakeNetwork, hosts []host)) *Refusal {
		w, hosts, stop := startHosts(0, 0, 0)
		defer stop()
		hosts[0].balance.setShortage(answer)
		change(w, hosts)
		r := reserve(hosts[0], 300)
		So(r.Grant.Outcome, ShouldEqual, balances.Away)
		So(r.Refusal, ShouldNotBeNil)
		return r.Refusal
	}
	synctest.Test(t, func(t *testing.T) {
		Convey("Given an owner that answers, one that does not and a holder that has left", t, func() {
			r := refused(shortage, func(w *fakeNetwork, hosts []host) {
				w.down["b"] = true
				held := &allowance.Shortage{Parts: allowance.Parts{Available: 50, Reserved: 100}}
				hosts[2].balance.setShortage(held)
			})
			So(r.Parts, ShouldResemble, allowance.Parts{Spent: 550, Available: 10, HeldReachable: 50, Reserved: 100, HeldUnreachable: 120})
			So(r.Cause, ShouldEqual, allowance.CauseSpent)
		})
	})
	synctest.Test(t, func(t *testing.T) {
		Convey("Given owners whose answers have no parts", t, func() {
			So(refused(nil, func(*fakeNetwork, []host) {}).Cause, ShouldEqual, allowance.CauseNoOwner)
		})
	})
	synctest.Test(t, func(t *testing.T) {
		Convey("Given an owner of another zone that grants the amount", t, func() {
			_, hosts, stop := startHosts(0, 400)
			defer stop()
			So(reserve(hosts[0], 300).Refusal, ShouldBeNil)
		})
	})
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a holder that is not asked because it gave no answer before", t, func() {
			w, hosts, stop := startHosts(0, 400)
			defer stop()
			w.down["b"] = true
			So(reserve(hosts[0], 300).Refusal, ShouldNotBeNil)
			found, err := task.Ask(context.Background(), hosts[0].inbox, func(reply chan<- []core.HostID) any { return findUnreachable{shortage.Holders, reply} })
			So(err, ShouldBeNil)
			So(found, ShouldResemble, []core.HostID{"b", "c", "gone"})
		})
	})
}

// Guards against answers that hosts of the builds before and after the parts cannot read.
func TestAnswersWithAndWithoutPartsAreReadByBothBuilds(t *testing.T) {
	type earlierGrant struct {
		Outcome balances.Outcome
		Prepaid core.Tokens
	}
	type earlierReply struct{ Grant earlierGrant }
	Convey("Given the answer of a refusal", t, func() {
		now := ReserveReply{Grant: balances.Grant{
			Outcome: balances.Away, Prepaid: 7, Shortage: &allowance.Shortage{Holders: []allowance.HostTokens{{Host: "b", Tokens: 1}}},
		}}
		var earlier earlierReply
		So(recode(now, &earlier), ShouldBeNil)
		So(earlier, ShouldResemble, earlierReply{earlierGrant{balances.Away, 7}})
		var read ReserveReply
		So(recode(earlier, &read), ShouldBeNil)
		So(read, ShouldResemble, ReserveReply{Grant: balances.Grant{Outcome: balances.Away, Prepaid: 7}})
	})
}

func recode(from, to any) error {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(from); err != nil {
		return err
	}
	return gob.NewDecoder(&buffer).Decode(to)
}
