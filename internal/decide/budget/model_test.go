package budget_test

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/budget"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/rows"
	standin "github.com/peridotreel/peridotreel/internal/standin/platform"
)

// mutation is a deliberate fault that disables one mechanism.
type mutation string

const (
	noMutation       mutation = ""
	topUpNoToken     mutation = "top-up without its token row"
	grantRepeated    mutation = "a repeated draw is granted again"
	reclaimByTimeout mutation = "a share is reclaimed by timeout"
	refundTwice      mutation = "a reservation is refunded twice"
	blindWrite       mutation = "commits without conditions"
	transferUndone   mutation = "a transfer is undone when its reply is lost"
	returnIncrement  mutation = "returned amounts are increments"
)

const (
	modelBudget core.BudgetID = "b/1"
	payment     core.Tokens   = 60
)

type modelReservation struct {
	serial uint64
	amount core.Tokens
}

type modelHost struct {
	id           core.ShareID
	holder       *budget.Holder
	alive        bool
	reservations []modelReservation
}

// queuedRequest is a request in transit to an owner.
type queuedRequest struct {
	request budget.Request
}

// pendingCommit is a commit that its process may apply late or repeatedly.
type pendingCommit struct {
	commit platform.Commit
	done   func()
	lost   func()
}

// model simulates a fleet without sockets or clocks. Every choice of the
// network, the scheduler and the operator is made by choose.
type model struct {
	choose         func(n int) int
	broken         mutation
	store          *standin.Store
	now            time.Time
	hosts          []*modelHost
	requests       []queuedRequest
	pendingCommits []pendingCommit
	replies        []func()
	serial         uint64
	tokens         int
	topUps         map[string]core.Tokens
	// payments counts the distinct payments that were sent.
	payments int
	grants   map[core.ShareID]map[uint64]int
}

func newModel(choose func(n int) int, broken mutation) *model {
	m := &model{
		choose: choose, broken: broken, store: standin.NewStore(), now: time.Unix(1_700_000_000, 0),
		topUps: make(map[string]core.Tokens), grants: make(map[core.ShareID]map[uint64]int),
	}
	for range 3 {
		m.addHost()
	}
	m.topUp()
	return m
}

func (m *model) addHost() {
	ref := core.HostRef{Host: core.HostID(fmt.Sprint("h", len(m.hosts)%3)), Incarnation: core.Incarnation(len(m.hosts) + 1)}
	id := core.ShareID{Budget: modelBudget, Holder: ref}
	m.hosts = append(m.hosts, &modelHost{id: id, holder: budget.NewHolder(id, m.now), alive: true})
}

// host returns one of the latest host processes, which may have terminated.
func (m *model) host() *modelHost {
	return m.hosts[len(m.hosts)-1-m.choose(min(4, len(m.hosts)))]
}

func (m *model) ledger() *budget.Ledger {
	read, err := rows.DecodeBudgetRows(m.store.List(""))
	if err != nil {
		panic(err)
	}
	return budget.NewLedger(m.now, read.Budgets, read.Shares, read.TopUps...)
}

// deferCommit queues a change to be committed when choose selects it.
func (m *model) deferCommit(change budget.Change, done, lost func()) {
	if change.Empty() {
		done()
		return
	}
	m.tokens++
	commit, err := rows.BudgetCommit(fmt.Sprint("t", m.tokens), change)
	if err != nil {
		panic(err)
	}
	if m.broken == blindWrite {
		commit.Conditions = nil
	}
	m.pendingCommits = append(m.pendingCommits, pendingCommit{commit, done, lost})
}

func (m *model) reserve() {
	host := m.host()
	if !host.alive {
		return
	}
	m.serial++
	amount := core.Tokens(m.choose(30) + 1)
	host.holder.RecordDemand(amount, m.now)
	if host.holder.Reserve(m.serial, amount) {
		host.reservations = append(host.reservations, modelReservation{m.serial, amount})
		return
	}
	if host.holder.Closed() {
		return
	}
	m.requests = append(m.requests, queuedRequest{host.holder.Draw(amount-host.holder.Available(), m.now)})
	if m.choose(4) > 0 {
		m.exchange()
	}
}

// exchange serves the latest request and delivers its reply without a fault.
func (m *model) exchange() {
	requests, commits, replies := m.requests, m.pendingCommits, m.replies
	m.requests, m.pendingCommits, m.replies = requests[len(requests)-1:], nil, nil
	m.serveMessage(0)
	if len(m.pendingCommits) == 1 {
		if _, err := m.store.Commit(m.pendingCommits[0].commit); err == nil {
			m.pendingCommits[0].done()
		}
	}
	for _, reply := range m.replies {
		reply()
	}
	m.requests, m.pendingCommits, m.replies = requests, commits, replies
}

func (m *model) settle() {
	host := m.host()
	if !host.alive || len(host.reservations) == 0 {
		return
	}
	i := m.choose(len(host.reservations))
	reservation := host.reservations[i]
	host.reservations = slices.Delete(host.reservations, i, i+1)
	cost := reservation.amount - core.Tokens(m.choose(int(reservation.amount)/2+1))
	host.holder.Settle(reservation.serial, cost, m.now)
	if m.choose(8) == 0 {
		host.holder.Credit(cost)
	}
	if m.choose(3) == 0 {
		host.holder.Settle(reservation.serial, 0, m.now)
		if m.broken == refundTwice {
			host.holder.RefundAgain(reservation.amount)
		}
	}
}

func (m *model) report() {
	if host := m.host(); host.alive {
		if m.choose(3) == 0 {
			m.now = m.now.Add(budget.IdleAfter)
			host.holder.ReturnIdle(m.now)
		}
		m.requests = append(m.requests, queuedRequest{host.holder.Report()})
	}
}

// serve handles some request, which may arrive again later.
func (m *model) serve() {
	if len(m.requests) == 0 {
		return
	}
	i := m.choose(len(m.requests))
	m.serveMessage(i)
	if m.choose(3) > 0 {
		m.requests = slices.Delete(m.requests, i, i+1)
	}
}

func (m *model) serveMessage(i int) {
	request := m.requests[i].request
	number := request.Sequence
	read, _ := rows.DecodeBudgetRows(m.store.List(""))
	for _, share := range read.Shares {
		if share.ID != request.Share {
			continue
		}
		if m.broken == grantRepeated && request.Need > 0 {
			request.Sequence = share.Sequence + 1
		}
		if m.broken == returnIncrement {
			request.Returned += share.Returned
		}
	}
	ledger := m.ledger()
	answer := ledger.Serve(request, budget.FleetSize{Zones: 1, Hosts: 2})
	m.deferCommit(ledger.Change(), func() {
		if answer.Drawn > 0 {
			if m.grants[request.Share] == nil {
				m.grants[request.Share] = make(map[uint64]int)
			}
			m.grants[request.Share][number]++
		}
		m.replies = append(m.replies, func() { m.find(request.Share).holder.ApplyRow(answer.Share) })
	}, func() {})
}

func (m *model) find(id core.ShareID) *modelHost {
	return m.hosts[slices.IndexFunc(m.hosts, func(host *modelHost) bool { return host.id == id })]
}

// recall starts a transfer, or retries one whose outcome is unknown.
func (m *model) recall() {
	giver, receiver := m.host(), m.host()
	if !giver.alive {
		return
	}
	transfer, pending := giver.holder.PendingTransfer()
	if !pending {
		if transfer, pending = giver.holder.StartTransfer(receiver.id, core.Tokens(m.choose(60)+1)); !pending {
			return
		}
	}
	ledger := m.ledger()
	outcome := ledger.Transfer(transfer.From, transfer.To, transfer.Moved)
	m.deferCommit(ledger.Change(),
		func() { giver.holder.FinishTransfer(transfer, outcome) },
		func() {
			if m.broken == transferUndone {
				giver.holder.FinishTransfer(transfer, budget.TransferImpossible)
			}
		})
}

func (m *model) topUp() {
	number := m.choose(6)
	m.payments = max(m.payments, min(number, m.payments)+1)
	token := fmt.Sprint("payment", min(number, m.payments-1))
	sent := budget.TopUp{Budget: modelBudget, Token: token, Amount: payment}
	ledger := m.ledger()
	if m.broken == topUpNoToken {
		sent.Token = fmt.Sprint("other", m.tokens)
	}
	if err := ledger.TopUp(sent); err != nil {
		panic(err)
	}
	m.deferCommit(ledger.Change(), func() { m.topUps[token] = payment }, func() {})
}

// apply applies a pending commit, whose reply may be lost.
func (m *model) apply() {
	if len(m.pendingCommits) == 0 {
		return
	}
	i := m.choose(len(m.pendingCommits))
	pending := m.pendingCommits[i]
	fault := m.choose(6)
	if fault == 0 {
		// The platform is down, or the process crashed before the commit.
		pending.lost()
		return
	}
	_, err := m.store.Commit(pending.commit)
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		m.pendingCommits = slices.Delete(m.pendingCommits, i, i+1)
	case fault == 1:
		// The reply is lost; the commit is retried with the same token.
		pending.lost()
	default:
		m.pendingCommits = slices.Delete(m.pendingCommits, i, i+1)
		pending.done()
	}
}

func (m *model) deliver() {
	if len(m.replies) == 0 {
		return
	}
	i := m.choose(len(m.replies))
	m.replies[i]()
	if m.choose(3) > 0 {
		m.replies = slices.Delete(m.replies, i, i+1)
	}
}

// stop ends a host process by a crash or, if nothing is in flight, gracefully.
func (m *model) stop() {
	host := m.host()
	if !host.alive || m.choose(8) > 0 {
		return
	}
	_, pending := host.holder.PendingTransfer()
	if len(host.reservations) == 0 && !pending && m.choose(2) == 0 {
		m.requests = append(m.requests, queuedRequest{host.holder.Release()})
	}
	host.alive = false
	m.addHost()
}

// settleOrRelease applies the bills of a terminated host, as a peer does, or
// releases its share, as an operator does.
func (m *model) settleOrRelease() {
	host := m.hosts[m.choose(len(m.hosts))]
	if host.alive && m.broken != reclaimByTimeout {
		return
	}
	ledger := m.ledger()
	if m.choose(2) == 0 {
		ledger.SettleShare(host.id, host.holder.Billed())
	} else {
		ledger.Release(host.id)
	}
	m.deferCommit(ledger.Change(), func() {}, func() {})
}

// The names of the checks.
const (
	checkSpend  = "spend never exceeds prepaid"
	checkAmount = "amounts are conserved"
	checkTopUp  = "a top-up counts once"
	checkGrant  = "a grant is not doubled"
)

// violations maps a failed check to what was seen.
type violations map[string]string

func (m *model) step() violations {
	actions := []func(){
		m.reserve, m.reserve, m.reserve, m.settle, m.settle, m.report, m.serve, m.serve, m.serve,
		m.apply, m.apply, m.apply, m.apply, m.deliver, m.deliver, m.recall, m.topUp, m.stop, m.settleOrRelease,
	}
	m.now = m.now.Add(time.Second)
	actions[m.choose(len(actions))]()
	return m.check()
}

// check compares the table with the state of the holders and the payments.
func (m *model) check() violations {
	read, err := rows.DecodeBudgetRows(m.store.List(""))
	if err != nil {
		return violations{checkSpend: err.Error(), checkAmount: err.Error()}
	}
	failed := violations{}
	var prepaid, paid, drawn, net, spent core.Tokens
	for _, amount := range m.topUps {
		paid += amount
	}
	for _, row := range read.Budgets {
		prepaid, drawn = row.Prepaid, row.Drawn
	}
	// A payment whose reply is pending may already be in the table.
	if prepaid < paid || prepaid > core.Tokens(m.payments)*payment {
		failed[checkTopUp] = fmt.Sprintf("prepaid is %d, the confirmed payments are %d", prepaid, paid)
	}
	for _, row := range read.Shares {
		net += row.NetGranted()
		host := m.find(row.ID)
		if row.Billed+row.WrittenOff > host.holder.Billed() {
			failed[checkAmount] = fmt.Sprintf("%v has %d billed of %d spent", row.ID, row.Billed, host.holder.Billed())
		}
		// What a running host may still spend must be deducted in the table.
		accounted := host.holder.Billed() - host.holder.Credited() + host.holder.Reserved() + host.holder.Available()
		if host.alive && !host.holder.Closed() && accounted > row.NetGranted() {
			failed[checkAmount] = fmt.Sprintf("%v accounts for %d, its row has %d", row.ID, accounted, row.NetGranted())
		}
		// Costs that a terminated host had not billed are not charged.
		if row.State == budget.Released && !host.alive {
			spent += row.Billed - row.Credited
		} else {
			spent += host.holder.Billed() - host.holder.Credited()
		}
	}
	if net != drawn {
		failed[checkAmount] = fmt.Sprintf("shares hold %d, the budget shows %d drawn", net, drawn)
	}
	if spent > prepaid {
		failed[checkSpend] = fmt.Sprintf("%d of %d", spent, prepaid)
	}
	for id, sequences := range m.grants {
		for sequence, count := range sequences {
			if count > 1 {
				failed[checkGrant] = fmt.Sprintf("draw %d of %v was granted %d times", sequence, id, count)
			}
		}
	}
	return failed
}
