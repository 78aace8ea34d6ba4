package owners

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/allowance"
	"github.com/peridotreel/peridotreel/internal/peerrpc"
	"github.com/peridotreel/peridotreel/internal/tasks/balances"
)

// fakeBalance is a balance that counts the reserved tokens.
type fakeBalance struct {
	mutex    sync.Mutex
	left     core.Tokens
	reserved core.Tokens
	members  []allowance.Member
	retired  bool
	// shortage is the one in refusals.
	shortage *allowance.Shortage
}

func (p *fakeBalance) Reserve(_ context.Context, request balances.Request) (balances.Grant, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if request.Amount > p.left {
		return balances.Grant{Outcome: balances.Away, Shortage: p.shortage}, nil
	}
	p.left -= request.Amount
	p.reserved += request.Amount
	return balances.Grant{Outcome: balances.Granted, Available: p.left}, nil
}

func (p *fakeBalance) Settle(_ core.TeamName, reserved, spent core.Tokens) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.reserved -= reserved
	p.left += reserved - spent
}

func (p *fakeBalance) SetMembers(members []allowance.Member) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.members = members
}

func (p *fakeBalance) Retire() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.retired = true
}

func (p *fakeBalance) state() (left, reserved core.Tokens) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.left, p.reserved
}

// fakeNetwork carries calls between tasks in one process. It can lose answers.
type fakeNetwork struct {
	mutex    sync.Mutex
	hosts    map[string]*Owners
	down     map[string]bool
	loseNext map[string]bool
}

var errAnswerLost = errors.New("answer lost")

func (w *fakeNetwork) Call(ctx context.Context, peer core.Peer, method string, args, reply any) error {
	w.mutex.Lock()
	target, down, lose := w.hosts[peer.Address], w.down[peer.Address], w.loseNext[method]
	delete(w.loseNext, method)
	w.mutex.Unlock()
	if down {
		<-ctx.Done()
		return errors.Join(peerrpc.ErrUnreachable, ctx.Err())
	}
	handler := &Handler{target}
	var err error
	switch method {
	case reserveMethod:
		err = handler.Reserve(args.(ReserveArgs), reply.(*ReserveReply))
	case settleMethod:
		err = handler.Settle(args.([]Settlement), reply.(*int))
	}
	if lose {
		return errors.Join(peerrpc.ErrUnreachable, errAnswerLost)
	}
	return err
}

type host struct {
	*Owners
	balance *fakeBalance
}

// startHosts starts one host per amount, each the owner of the team's balance in
// its own zone: a, b and so on.
func startHosts(amounts ...core.Tokens) (*fakeNetwork, []host, func()) {
	w := &fakeNetwork{hosts: make(map[string]*Owners), down: make(map[string]bool), loseNext: make(map[string]bool)}
	var hosts []host
	var members []allowance.Member
	ctx, cancel := context.WithCancel(context.Background())
	for i, amount := range amounts {
		name := string(rune('a' + i))
		p := &fakeBalance{left: amount}
		o := New(Config{
			Process: allowance.Process{Host: core.HostID(name), Start: "1"}, Zone: core.ZoneName(name),
			Balances: p, Caller: w, Log: zap.NewNop(), Now: time.Now,
		})
		w.hosts[name] = o
		go o.Run(ctx)
		hosts = append(hosts, host{o, p})
		members = append(members, allowance.Member{Host: core.HostID(name), Zone: core.ZoneName(name), Address: name})
	}
	for _, h := range hosts {
		h.SetMembers(members)
	}
	return w, hosts, cancel
}

func reserve(from host, amount core.Tokens) Reservation {
	r, err := from.Reserve(context.Background(), "team", amount, time.Now().Add(200*time.Millisecond))
	So(err, ShouldBeNil)
	return r
}

// Guards against refusals while the owner of another zone holds tokens, and
// against unspent tokens not being released there.
func TestAnotherZonesOwnerGivesTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given an owner without tokens", t, func() {
			_, hosts, stop := startHosts(0, 0, 500)
			r := reserve(hosts[0], 300)
			So(r.Grant.Outcome, ShouldEqual, balances.Granted)
			So(r.Owner.Host, ShouldEqual, core.HostID("c"))
			hosts[0].Settle(r, 100)
			So(hosts[0].Flush(context.Background()), ShouldBeNil)
			synctest.Wait()
			left, reserved := hosts[2].balance.state()
			So(left, ShouldEqual, core.Tokens(400))
			So(reserved, ShouldEqual, core.Tokens(0))
			stop()
			synctest.Wait()
		})
	})
}

// Guards against tokens that stay reserved forever after the answer was lost, and
// against requests that wait for an unreachable owner.
func TestALostAnswerReservesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given an owner whose answer is lost", t, func() {
			w, hosts, stop := startHosts(0, 400, 0)
			w.loseNext[reserveMethod] = true
			first := reserve(hosts[0], 300)
			So(hosts[0].Flush(context.Background()), ShouldBeNil)
			synctest.Wait()
			_, reserved := hosts[1].balance.state()
			if first.Grant.Outcome == balances.Granted {
				reserved -= first.Amount
			}
			So(reserved, ShouldEqual, core.Tokens(0))
			stop()
			synctest.Wait()
		})
	})
	synctest.Test(t, func(t *testing.T) {
		Convey("Given an owner that is away", t, func() {
			w, hosts, stop := startHosts(0, 0, 400)
			w.down["b"] = true
			So(reserve(hosts[0], 100).Grant.Outcome, ShouldEqual, balances.Granted)
			began := time.Now()
			So(reserve(hosts[0], 100).Grant.Outcome, ShouldEqual, balances.Granted)
			So(time.Since(began), ShouldBeLessThan, answerTimeout)
			stop()
			synctest.Wait()
		})
	})
}

// Guards against reservations at a host that is leaving, which would be counted as
// spent in full when it has ended.
func TestALeavingOwnerTakesNoReservations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given an owner that leaves", t, func() {
			_, hosts, stop := startHosts(0, 400, 400)
			hosts[1].Leave()
			synctest.Wait()
			r := reserve(hosts[0], 100)
			So(r.Grant.Outcome, ShouldEqual, balances.Granted)
			So(r.Owner.Host, ShouldEqual, core.HostID("c"))
			hosts[1].balance.mutex.Lock()
			So(hosts[1].balance.retired, ShouldBeTrue)
			So(len(hosts[1].balance.members), ShouldEqual, 2)
			hosts[1].balance.mutex.Unlock()
			stop()
			synctest.Wait()
		})
	})
}

// Guards against a host whose link is full and which takes one owner after the other for
// lost, until none is left and its requests are refused.
func TestAFullLinkLosesNoOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given an owner whose answers do not arrive as the link is full", t, func() {
			w, hosts, stop := startHosts(0, 0, 400)
			var full atomic.Bool
			full.Store(true)
			hosts[0].config.LinkFull = full.Load
			w.down["b"] = true
			owners := func() int { return len(hosts[0].choose("team", time.Now()).owners) }
			// No owner has so many tokens, so that all are asked.
			reserve(hosts[0], 1000)
			synctest.Wait()
			So(owners(), ShouldEqual, 3)
			full.Store(false)
			// The team counts as short for a moment, in which the owners are not asked.
			time.Sleep(time.Second)
			reserve(hosts[0], 1000)
			synctest.Wait()
			So(owners(), ShouldEqual, 2)
			stop()
			synctest.Wait()
		})
	})
}

// Guards against requests that ask one owner after the other although the one before was
// refused for want of tokens a moment ago, and against tokens that are not found again.
func TestAShortTeamIsRefusedWithoutAsking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given owners without tokens, one of which does not answer", t, func() {
			w, hosts, stop := startHosts(0, 0, 0)
			w.down["b"] = true
			first := reserve(hosts[0], 300)
			So(first.Grant.Outcome, ShouldEqual, balances.Away)
			synctest.Wait()
			began := time.Now()
			next := reserve(hosts[0], 300)
			So(next.Grant.Outcome, ShouldEqual, balances.Away)
			So(next.Refusal.Cause, ShouldEqual, first.Refusal.Cause)
			So(time.Since(began), ShouldEqual, time.Duration(0))
			hosts[2].balance.mutex.Lock()
			hosts[2].balance.left = 500
			hosts[2].balance.mutex.Unlock()
			time.Sleep(100 * time.Millisecond)
			So(reserve(hosts[0], 300).Grant.Outcome, ShouldEqual, balances.Granted)
			stop()
			synctest.Wait()
		})
	})
}
