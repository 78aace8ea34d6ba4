// Package peers is the task that finds the fleet's other hosts and exchanges
// with them what each believes: the configuration, the list of upstreams and
// the work under way. It keeps hosts informed that the store turns away.
package peers

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/allowance"
	"github.com/peridotreel/peridotreel/internal/decide/placement"
	"github.com/peridotreel/peridotreel/internal/fleet"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/rowstore"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/tasks/director"
	"github.com/peridotreel/peridotreel/internal/tasks/follower"
)

const (
	// Table holds one row for each host, with the address of its last process.
	Table = "hosts"
	// method is the name under which peers call Exchange.
	serviceName = "Beliefs"
	method      = serviceName + ".Exchange"
	recall      = serviceName + ".Recall"
	// interval is the time between rounds of exchanges. With fanout peers a
	// round, a change reaches all hosts of a site within about two rounds.
	interval = 400 * time.Millisecond
	// fanout bounds the peers asked in a round.
	fanout = 3
	// callTimeout bounds one exchange. A configuration of 1,300 routes takes a
	// third of a second on a link of 10 Mbit/s.
	callTimeout = time.Second
	// avoidAfterFailure is how long a peer that did not answer is left out.
	avoidAfterFailure = 1500 * time.Millisecond
	// registerTimeout and registerRetry bound the writing of the host's row.
	registerTimeout = 1500 * time.Millisecond
	registerRetry   = 500 * time.Millisecond
	inboxSize       = 256
)

// Beliefs is the director as peers see it.
type Beliefs interface {
	Exchange(ctx context.Context, host core.HostID, loads []placement.PeerLoad) (director.LocalState, error)
	Offer(version int64, config *gateway.Config, age time.Duration, source string)
	OfferServers(rows []rowstore.Row, version int64)
}

// Config describes the task.
type Config struct {
	Host    core.HostID
	Address string
	Zone    core.ZoneName
	// Seeds are addresses of peers to start from while the store is away.
	Seeds  []string
	Store  rowstore.Store
	Caller fleet.Caller
	// Director holds the beliefs that are exchanged.
	Director     Beliefs
	DecodeConfig func(raw []byte) (*gateway.Config, error)
	// Return gives tokens of this host back for a peer.
	Return func(ctx context.Context, team core.TeamName, amount core.Tokens) (core.Tokens, error)
	// Members is called when the hosts change, with their number and those of
	// them that may own balances.
	Members func(hosts int, owners []allowance.Member)
	Log     *zap.Logger
	Now     func() time.Time
}

// Peers is the task.
type Peers struct {
	config Config
	inbox  *task.Inbox[any]
	known  map[core.HostID]peer
	// avoided holds addresses that did not answer, and until when.
	avoided map[string]time.Time
	lost    map[string]bool
}

type peer struct {
	Address string        `json:"address"`
	Zone    core.ZoneName `json:"zone"`
	// Leaving is true once the host has been told to stop. It still counts as a
	// host, since it serves what it has taken.
	Leaving bool `json:"leaving,omitempty"`
}

type failed struct {
	address string
	err     error
}
type answered struct{ address string }
type recalling struct {
	host core.HostID
	args RecallArgs
	done func(core.Tokens)
}

// RecallArgs asks a peer to return tokens of a team.
type RecallArgs struct {
	Team   core.TeamName
	Amount core.Tokens
}

// Args is a call of a peer.
type Args struct {
	Host          core.HostID
	ConfigVersion int64
	ServerVersion int64
	Loads         []placement.PeerLoad
	// WantsConfig and WantsServers ask for what is newer than the versions.
	WantsConfig  bool
	WantsServers bool
}

// Reply is the answer to a call. Config and Rows are set if they are newer than
// what the caller has.
type Reply struct {
	Host          core.HostID
	ConfigVersion int64
	ConfigAge     time.Duration
	Config        []byte
	ServerVersion int64
	Rows          []rowstore.Row
	Loads         []placement.PeerLoad
}

// New returns the task.
func New(config Config) *Peers {
	return &Peers{
		config: config, inbox: task.NewInbox[any](inboxSize), known: make(map[core.HostID]peer),
		avoided: make(map[string]time.Time), lost: make(map[string]bool),
	}
}

// Handler is the receiver of peers' calls.
type Handler struct{ peers *Peers }

// Register makes the task's handler available to peers.
func (p *Peers) Register(registrar fleet.Registrar) error {
	return registrar.RegisterName(serviceName, &Handler{p})
}

// Exchange answers a call of a peer.
func (h *Handler) Exchange(args Args, reply *Reply) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	known, err := h.peers.config.Director.Exchange(ctx, args.Host, args.Loads)
	if err != nil {
		return err
	}
	*reply = Reply{Host: h.peers.config.Host, ServerVersion: known.ListVersion, Loads: known.Loads, ConfigAge: known.ConfigAge}
	if known.Config != nil {
		reply.ConfigVersion = known.Config.Version
		if args.WantsConfig && known.Config.Version > args.ConfigVersion {
			reply.Config = known.Config.Raw
		}
	}
	if args.WantsServers && known.ListVersion > args.ServerVersion {
		reply.Rows = known.UpstreamRows
	}
	return nil
}

// Recall answers a peer that lacks tokens.
func (h *Handler) Recall(args RecallArgs, returned *core.Tokens) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var err error
	*returned, err = h.peers.config.Return(ctx, args.Team, args.Amount)
	return err
}

// Recall asks a host to return tokens and calls done with what it returned.
func (p *Peers) Recall(host core.HostID, team core.TeamName, amount core.Tokens, done func(core.Tokens)) {
	if !p.inbox.TrySend(recalling{host, RecallArgs{team, amount}, done}) {
		go done(0)
	}
}

// Update takes changes of the table of hosts.
func (p *Peers) Update(update follower.Update) { _ = p.inbox.Send(context.Background(), update) }

// Run finds and calls peers until ctx ends, then removes the host's row.
func (p *Peers) Run(ctx context.Context) {
	defer p.inbox.Close()
	go p.register(ctx)
	round := time.NewTimer(rand.N(interval))
	defer round.Stop()
	for {
		select {
		case message := <-p.inbox.Messages():
			p.handle(ctx, message)
		case <-round.C:
			for i, address := range p.choose() {
				// One peer is enough for lists, which fill a slow link.
				go p.exchange(ctx, address, i == 0)
			}
			round.Reset(interval/2 + rand.N(interval))
		case <-ctx.Done():
			return
		}
	}
}

func (p *Peers) handle(ctx context.Context, message any) {
	switch m := message.(type) {
	case follower.Update:
		for _, row := range m.Rows {
			p.learn(row)
		}
		if len(m.Rows) > 0 {
			p.config.Members(max(len(p.known), 1), p.owners())
		}
	case failed:
		p.avoided[m.address] = p.config.Now().Add(avoidAfterFailure)
		if !p.lost[m.address] {
			p.lost[m.address] = true
			p.config.Log.Warn("peer lost", zap.String("event", "peer_lost"), zap.String("address", m.address), zap.Error(m.err))
		}
	case recalling:
		known, found := p.known[m.host]
		if !found || p.config.Now().Before(p.avoided[known.Address]) {
			go m.done(0)
			return
		}
		go p.callRecall(ctx, known.Address, m)
	case answered:
		delete(p.avoided, m.address)
		if p.lost[m.address] {
			delete(p.lost, m.address)
			p.config.Log.Info("peer regained", zap.String("event", "peer_regained"), zap.String("address", m.address))
		}
	}
}

// owners returns the hosts that do not leave.
func (p *Peers) owners() []allowance.Member {
	members := make([]allowance.Member, 0, len(p.known))
	for host, known := range p.known {
		if known.Leaving {
			continue
		}
		members = append(members, allowance.Member{Host: host, Zone: known.Zone, Address: known.Address})
	}
	return members
}

func (p *Peers) learn(row rowstore.Row) {
	host := core.HostID(row.Key)
	if row.Deleted {
		delete(p.known, host)
		return
	}
	var decoded peer
	if err := json.Unmarshal(row.Value, &decoded); err != nil {
		p.config.Log.Warn("host entry skipped", zap.String("event", "host_malformed"), zap.String("host", row.Key), zap.Error(err))
		return
	}
	p.known[host] = decoded
}

// choose returns the addresses of a round, in random order.
func (p *Peers) choose() []string {
	now := p.config.Now()
	var addresses []string
	consider := func(address string) {
		if address != p.config.Address && !now.Before(p.avoided[address]) {
			addresses = append(addresses, address)
		}
	}
	for host, known := range p.known {
		if host != p.config.Host {
			consider(known.Address)
		}
	}
	if len(p.known) == 0 {
		for _, address := range p.config.Seeds {
			consider(address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), fanout)]
}

// exchange calls one peer and passes on what it knows, with newer lists if they
// are wanted.
func (p *Peers) exchange(ctx context.Context, address string, lists bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	own, err := p.config.Director.Exchange(ctx, "", nil)
	if err != nil {
		return
	}
	if !lists {
		own.LacksConfig, own.LacksUpstreams = false, false
	}
	args := Args{
		Host: p.config.Host, ServerVersion: own.ListVersion, Loads: own.Loads,
		WantsConfig: own.LacksConfig, WantsServers: own.LacksUpstreams,
	}
	if own.Config != nil {
		args.ConfigVersion = own.Config.Version
	}
	var reply Reply
	called := core.Peer{Address: address}
	if err := p.config.Caller.Call(ctx, called, method, args, &reply); err != nil {
		p.inbox.TrySend(failed{address, err})
		return
	}
	p.inbox.TrySend(answered{address})
	var newer *gateway.Config
	if len(reply.Config) > 0 {
		if newer, err = p.config.DecodeConfig(reply.Config); err != nil {
			p.config.Log.Error("a peer's configuration can't be read", zap.String("event", "config_malformed"),
				zap.String("peer", string(reply.Host)), zap.Error(err))
		}
	}
	p.config.Director.Offer(reply.ConfigVersion, newer, reply.ConfigAge, "peer "+string(reply.Host))
	if len(reply.Rows) > 0 {
		p.config.Director.OfferServers(reply.Rows, reply.ServerVersion)
	}
	_, _ = p.config.Director.Exchange(ctx, reply.Host, reply.Loads)
}

func (p *Peers) callRecall(ctx context.Context, address string, m recalling) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var returned core.Tokens
	if err := p.config.Caller.Call(ctx, core.Peer{Address: address}, recall, m.args, &returned); err != nil {
		p.config.Log.Warn("a peer did not return tokens", zap.String("event", "recall_failed"), zap.String("peer", string(m.host)),
			zap.String("team", string(m.args.Team)), zap.Error(err))
	}
	m.done(returned)
}

// row returns the host's row.
func (p *Peers) row(leaving bool) (rowstore.Row, error) {
	value, err := json.Marshal(peer{Address: p.config.Address, Zone: p.config.Zone, Leaving: leaving})
	if err != nil {
		return rowstore.Row{}, fmt.Errorf("encode the host's row: %w", err)
	}
	return rowstore.Row{Table: Table, Key: string(p.config.Host), Value: value}, nil
}

// register writes the host's row until it is acknowledged.
func (p *Peers) register(ctx context.Context) {
	row, err := p.row(false)
	if err != nil {
		p.config.Log.Error("host entry not encoded", zap.String("event", "register_failed"), zap.Error(err))
		return
	}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
		_, err := p.config.Store.Commit(callCtx, rowstore.Commit{Puts: []rowstore.Row{row}})
		cancel()
		if err == nil {
			return
		}
		p.config.Log.Debug("host entry not written; trying again", zap.String("event", "register_failed"), zap.Error(err))
		// A wait that ctx ends is noticed by the loop.
		_ = task.Sleep(ctx, registerRetry)
	}
}

// Leave says in the host's row that it leaves.
func (p *Peers) Leave(ctx context.Context) error {
	row, err := p.row(true)
	if err != nil {
		return err
	}
	_, err = p.config.Store.Commit(ctx, rowstore.Commit{Puts: []rowstore.Row{row}})
	return err
}

// Withdraw removes the host's row, so that the others do not count it.
func (p *Peers) Withdraw(ctx context.Context) error {
	row := rowstore.Row{Table: Table, Key: string(p.config.Host)}
	_, err := p.config.Store.Commit(ctx, rowstore.Commit{Removes: []rowstore.Row{row}})
	return err
}
