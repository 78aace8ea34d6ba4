// Package peers is the task that finds the fleet's other hosts and exchanges
// with them the configuration, the list of upstreams and the load of upstreams.
// It thereby updates hosts that can't read the store.
package peers

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/allowance"
	"github.com/peridotreel/peridotreel/internal/decide/brittle"
	"github.com/peridotreel/peridotreel/internal/decide/connshare"
	"github.com/peridotreel/peridotreel/internal/decide/evacuation"
	"github.com/peridotreel/peridotreel/internal/decide/hosttable"
	"github.com/peridotreel/peridotreel/internal/decide/placement"
	"github.com/peridotreel/peridotreel/internal/decide/quarantine"
	"github.com/peridotreel/peridotreel/internal/decide/requestlimit"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/peerrpc"
	"github.com/peridotreel/peridotreel/internal/rowstore"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/tasks/director"
	"github.com/peridotreel/peridotreel/internal/tasks/follower"
)

const (
	// Table holds one row for each host, with the address of its latest process.
	Table = "hosts"
	// receiverName is the name under which peers call the receiver.
	receiverName   = "Beliefs"
	exchangeMethod = receiverName + ".Exchange"
	recallMethod   = receiverName + ".Recall"
	// roundInterval is the mean time between rounds of exchanges. With fanout
	// peers a round, a change reaches all hosts of a site in about two rounds.
	roundInterval = 400 * time.Millisecond
	// fanout bounds the peers called in a round.
	fanout = 3
	// callTimeout bounds one call. A configuration of 1,300 routes takes a third
	// of a second on a link of 10 Mbit/s.
	callTimeout = time.Second
	// failureBackoff is how long a peer is not called after a second failed call.
	failureBackoff = 1500 * time.Millisecond
	inboxCapacity  = 256
)

// Director is the part of the director's interface that this task uses.
type Director interface {
	Exchange(ctx context.Context, peer *director.PeerState) (director.LocalState, error)
	Receive(peer director.PeerState)
	OfferEvacuations(report evacuation.Report, host core.HostID)
	OfferConfig(version int64, config *gateway.Config, age time.Duration, source string)
	OfferUpstreams(rows []rowstore.Row, revision core.Revision, settled bool)
}

// Config describes the task.
type Config struct {
	Host    core.HostID
	Address string
	Zone    core.ZoneName
	// Seeds are addresses of peers to call while no host's row is known, as when
	// the store is unreachable.
	Seeds  []string
	Store  rowstore.Store
	Caller peerrpc.Caller
	// Director holds the data that is exchanged.
	Director     Director
	DecodeConfig func(raw []byte) (*gateway.Config, error)
	// ReturnTokens releases tokens that this host holds, for a peer that lacks them.
	ReturnTokens func(ctx context.Context, team core.TeamName, amount core.Tokens) (core.Tokens, error)
	// HostsChanged is called after changes of the table of hosts with the number of
	// hosts and those of them that may own balances.
	HostsChanged func(hosts int, owners []allowance.Member)
	Log          *zap.Logger
	Now          func() time.Time
}

// Peers is the task.
type Peers struct {
	config Config
	inbox  *task.Inbox[any]
	hosts  *hosttable.Table
	// registration is the state of this host's row.
	registration registration
	// confirmation fires when the hosts have had the time to write their rows again
	// after a return of the store.
	confirmation *time.Timer
	// backoffUntil is, by address, until when a peer is not called after a failure.
	backoffUntil map[string]time.Time
	// unreachableSince is, by address, when a call failed first since the latest that was
	// answered.
	unreachableSince map[string]time.Time
	// malformed is the latest version of each row that could not be used.
	malformed map[string]core.Revision
}

type callFailed struct {
	address string
	began   time.Time
	err     error
}
type callSucceeded struct{ address string }
type recallRequest struct {
	host core.HostID
	args RecallArgs
	done func(returned core.Tokens, answered bool)
}

// RecallArgs asks a peer to return a team's tokens.
type RecallArgs struct {
	Team   core.TeamName
	Amount core.Tokens
}

// Args are the arguments of Exchange.
type Args struct {
	Host          core.HostID
	ConfigVersion int64
	ListRevision  core.Revision
	Loads         []placement.PeerLoad
	Quarantine    quarantine.Report
	Limits        []requestlimit.Entry
	Brittle       []brittle.Entry
	// Connections are the upstreams to which the calling host lacks connections.
	Connections []connshare.Want
	// Evacuations are zero from hosts of earlier versions.
	Evacuations evacuation.Report
	// Hosts is the number of hosts that the calling host has read, 0 if it has not, or is of
	// an earlier version.
	Hosts int
	// WantsConfig and WantsServers ask for the configuration and the rows of
	// upstreams if they are newer than the versions above.
	WantsConfig  bool
	WantsServers bool
}

// Reply is the reply of Exchange. Config and Rows are set if they were asked for
// and are newer than the calling host's.
type Reply struct {
	Host          core.HostID
	ConfigVersion int64
	ConfigAge     time.Duration
	Config        []byte
	ListRevision  core.Revision
	Rows          []rowstore.Row
	// ListSettled is true if the rows lack no upstream because of an outage. Hosts of
	// earlier versions never say so.
	ListSettled bool
	Loads       []placement.PeerLoad
	Quarantine  quarantine.Report
	Limits      []requestlimit.Entry
	Brittle     []brittle.Entry
	// Connections are lent to the calling host. Hosts of earlier versions lend none.
	Connections []connshare.Grant
	Evacuations evacuation.Report
	// Hosts is the number of hosts that the answering host has read, 0 if it has not, or is
	// of an earlier version.
	Hosts int
}

// New returns the task.
func New(config Config) *Peers {
	return &Peers{
		config: config, inbox: task.NewInbox[any](inboxCapacity), hosts: hosttable.New(),
		backoffUntil: make(map[string]time.Time), unreachableSince: make(map[string]time.Time),
		malformed: make(map[string]core.Revision),
	}
}

// Handler has the methods that peers call.
type Handler struct{ peers *Peers }

// Register makes the task's methods callable by peers.
func (p *Peers) Register(registrar peerrpc.Registrar) error {
	return registrar.RegisterName(receiverName, &Handler{p})
}

// Exchange passes a peer's loads to the director and answers with what the
// director knows.
func (h *Handler) Exchange(args Args, reply *Reply) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	known, err := h.peers.config.Director.Exchange(ctx, &director.PeerState{Host: args.Host, Loads: args.Loads, Quarantine: args.Quarantine, Limits: args.Limits, Brittle: args.Brittle, ConnectionWants: args.Connections, Evacuations: args.Evacuations, Hosts: args.Hosts})
	if err != nil {
		return err
	}
	*reply = Reply{
		Host: h.peers.config.Host, ListRevision: known.ListRevision, Loads: known.Loads, Quarantine: known.Quarantine, Limits: known.Limits, Brittle: known.Brittle, ConfigAge: known.ConfigAge, Evacuations: known.Evacuations, Connections: known.ConnectionGrants, Hosts: known.Hosts,
	}
	if known.Config != nil {
		reply.ConfigVersion = known.Config.Version
		if args.WantsConfig && known.Config.Version > args.ConfigVersion {
			reply.Config = known.Config.Raw
		}
	}
	if args.WantsServers && known.ListRevision.Newer(args.ListRevision) {
		reply.Rows, reply.ListSettled = known.UpstreamRows, known.ListSettled
	}
	return nil
}

// Recall returns tokens that this host holds to a peer that lacks them.
func (h *Handler) Recall(args RecallArgs, returned *core.Tokens) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var err error
	*returned, err = h.peers.config.ReturnTokens(ctx, args.Team, args.Amount)
	return err
}

// Recall asks a host to return tokens. It calls done with the amount returned, and with
// whether the host answered.
func (p *Peers) Recall(host core.HostID, team core.TeamName, amount core.Tokens, done func(returned core.Tokens, answered bool)) {
	if !p.inbox.TrySend(recallRequest{host, RecallArgs{team, amount}, done}) {
		go done(0, false)
	}
}

// Update passes changes of the table of hosts to the task.
func (p *Peers) Update(update follower.Update) { _ = p.inbox.Send(context.Background(), update) }

// Run registers the host and exchanges data with peers until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	defer p.inbox.Close()
	p.confirmation = time.NewTimer(time.Hour)
	defer p.confirmation.Stop()
	round := time.NewTimer(rand.N(roundInterval))
	defer round.Stop()
	for {
		select {
		case message := <-p.inbox.Messages():
			p.handle(ctx, message)
		case <-round.C:
			for i, address := range p.choosePeers() {
				// The lists would fill a slow link, so only one peer is asked for them.
				go p.exchange(ctx, address, i == 0)
			}
			round.Reset(roundInterval/2 + rand.N(roundInterval))
		case <-p.confirmation.C:
			p.reportHosts()
		case <-ctx.Done():
			return
		}
	}
}

func (p *Peers) handle(ctx context.Context, message any) {
	switch m := message.(type) {
	case follower.Update:
		p.applyUpdate(ctx, m)
	case callFailed:
		since, lost := p.unreachableSince[m.address]
		// The first failure may be that of a connection which has gone silent for good, and
		// which is replaced then; a call that began before has used it too.
		if lost && m.began.After(since) {
			p.backoffUntil[m.address] = p.config.Now().Add(failureBackoff)
		}
		if !lost {
			p.unreachableSince[m.address] = p.config.Now()
			p.config.Log.Warn("peer is unreachable", zap.String("event", "peer_lost"), zap.String("address", m.address), zap.Error(m.err))
		}
	case recallRequest:
		entry, found := p.hosts.Entry(m.host)
		if !found || p.config.Now().Before(p.backoffUntil[entry.Address]) {
			go m.done(0, false)
			return
		}
		go p.callRecall(ctx, entry.Address, m)
	case leave:
		p.startLeaving(ctx, m)
	case rowWritten:
		p.handleRowWritten(ctx, m)
	case writeDue:
		p.writeRow(ctx)
	case callSucceeded:
		delete(p.backoffUntil, m.address)
		if _, lost := p.unreachableSince[m.address]; lost {
			delete(p.unreachableSince, m.address)
			p.config.Log.Info("peer is reachable again", zap.String("event", "peer_regained"), zap.String("address", m.address))
		}
	}
}

// applyUpdate applies changes of the table of hosts. The first update and each
// return of the store make this host write its row.
func (p *Peers) applyUpdate(ctx context.Context, update follower.Update) {
	_, known := p.hosts.Era()
	returned := p.hosts.Apply(p.decodeRows(update.Rows), update.Full, update.Revision.Era, p.config.Now())
	switch {
	case !known:
		p.writeRow(ctx)
	case returned:
		p.rewriteRow(ctx)
		p.confirmation.Reset(hosttable.ConfirmationGrace)
	}
	if len(update.Rows) > 0 {
		p.reportHosts()
	}
}

// decodeHostRow decodes the row of a host.
func decodeHostRow(raw []byte) (hostRow, error) {
	var value hostRow
	if err := json.Unmarshal(raw, &value); err != nil {
		return hostRow{}, err
	}
	if address, err := netip.ParseAddrPort(value.Address); err != nil || address.Port() == 0 {
		return hostRow{}, fmt.Errorf("address %q names no host", value.Address)
	}
	if value.Zone == "" {
		return hostRow{}, errors.New("the zone is empty")
	}
	return value, nil
}

func (p *Peers) decodeRows(rows []rowstore.Row) []hosttable.Row {
	decoded := make([]hosttable.Row, 0, len(rows))
	for _, row := range rows {
		change := hosttable.Row{Host: core.HostID(row.Key), Deleted: row.Deleted}
		if !row.Deleted {
			value, err := decodeHostRow(row.Value)
			if err != nil {
				if p.malformed[row.Key] != row.Revision {
					p.malformed[row.Key] = row.Revision
					p.config.Log.Warn("ignored a malformed row of the hosts table", zap.String("event", "host_malformed"), zap.String("host", row.Key), zap.Error(err))
				}
				continue
			}
			change.Entry = hosttable.Entry{Address: value.Address, Zone: core.ZoneName(value.Zone), Leaving: value.Leaving, Era: value.Era}
		}
		decoded = append(decoded, change)
	}
	return decoded
}

// reportHosts passes on the number of hosts and those that may own balances.
func (p *Peers) reportHosts() {
	active := p.hosts.Active(p.config.Now())
	members := make([]allowance.Member, 0, len(active))
	for host, entry := range active {
		members = append(members, allowance.Member{Host: host, Zone: entry.Zone, Address: entry.Address})
	}
	p.config.HostsChanged(max(p.hosts.Count(), 1), members)
}

// choosePeers returns the addresses to call in a round, chosen at random.
func (p *Peers) choosePeers() []string {
	now := p.config.Now()
	var addresses []string
	addCandidate := func(address string) {
		if address != p.config.Address && !now.Before(p.backoffUntil[address]) {
			addresses = append(addresses, address)
		}
	}
	for _, address := range p.hosts.Others(p.config.Host) {
		addCandidate(address)
	}
	if p.hosts.Count() == 0 {
		for _, address := range p.config.Seeds {
			addCandidate(address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), fanout)]
}

// exchange calls one peer and passes its reply to the director. With withLists,
// it asks for a newer configuration and newer rows if the director lacks them.
func (p *Peers) exchange(ctx context.Context, address string, withLists bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	askedAt := p.config.Now()
	local, err := p.config.Director.Exchange(ctx, nil)
	if err != nil {
		return
	}
	if !withLists {
		local.LacksConfig, local.LacksUpstreams = false, false
	}
	args := Args{
		Host: p.config.Host, ListRevision: local.ListRevision, Loads: local.Loads, Quarantine: local.Quarantine, Limits: local.Limits, Brittle: local.Brittle, Evacuations: local.Evacuations,
		Connections: local.ConnectionWants, Hosts: local.Hosts, WantsConfig: local.LacksConfig, WantsServers: local.LacksUpstreams,
	}
	if local.Config != nil {
		args.ConfigVersion = local.Config.Version
	}
	var reply Reply
	called := core.Peer{Address: address}
	if err := p.config.Caller.Call(ctx, called, exchangeMethod, args, &reply); err != nil {
		p.inbox.TrySend(callFailed{address, askedAt, err})
		return
	}
	p.inbox.TrySend(callSucceeded{address})
	var newer *gateway.Config
	if len(reply.Config) > 0 {
		if newer, err = p.config.DecodeConfig(reply.Config); err != nil {
			p.config.Log.Error("could not decode a peer's configuration", zap.String("event", "config_malformed"),
				zap.String("peer", string(reply.Host)), zap.Error(err))
		}
	}
	p.config.Director.OfferEvacuations(reply.Evacuations, reply.Host)
	p.config.Director.OfferConfig(reply.ConfigVersion, newer, reply.ConfigAge, "peer "+string(reply.Host))
	if len(reply.Rows) > 0 {
		p.config.Director.OfferUpstreams(reply.Rows, reply.ListRevision, reply.ListSettled)
	}
	p.config.Director.Receive(director.PeerState{
		Host: reply.Host, Loads: reply.Loads, Quarantine: reply.Quarantine, Limits: reply.Limits, Brittle: reply.Brittle,
		ConnectionGrants: reply.Connections, AskedAt: askedAt, Hosts: reply.Hosts,
	})
}

func (p *Peers) callRecall(ctx context.Context, address string, m recallRequest) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var returned core.Tokens
	err := p.config.Caller.Call(ctx, core.Peer{Address: address}, recallMethod, m.args, &returned)
	if err != nil {
		p.config.Log.Warn("could not recall tokens from a peer", zap.String("event", "recall_failed"), zap.String("peer", string(m.host)),
			zap.String("team", string(m.args.Team)), zap.Error(err))
	}
	m.done(returned, err == nil)
}
