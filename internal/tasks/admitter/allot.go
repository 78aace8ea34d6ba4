package admitter

import (
	"context"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/admission"
	"github.com/peridotreel/peridotreel/internal/decide/rendezvous"
	"github.com/peridotreel/peridotreel/internal/peerrpc"
	"github.com/peridotreel/peridotreel/internal/task"
)

const (
	// exchangeInterval renews leases of 2 s in time even if one call fails.
	exchangeInterval = time.Second
	// exchangeTimeout ends a call before the next exchange begins.
	exchangeTimeout = 700 * time.Millisecond
	// maxOwners bounds the peers called in one exchange at each level; teams
	// with the largest demand come first.
	maxOwners = 8
	// Service is the name of the receiver for fleet.Registrar.
	Service        = "Allotments"
	exchangeMethod = Service + ".Exchange"
)

// Exchange is what a host tells the owner in its zone, or a zone's owner tells
// the owner in the fleet.
type Exchange struct {
	From string
	// Zones is true if From is a zone.
	Zones   bool
	Demands []admission.Demand
}

// Grants answers an exchange with a lease for each demand.
type Grants struct {
	Parts []admission.Demand
}

// allotter is the part of the task that divides teams' limits. Hosts report to
// an owner in their zone, and those to an owner in the fleet, so that no host
// hears from more peers than a zone has hosts or the fleet has zones.
type allotter struct {
	peers  core.PeerSource
	caller peerrpc.Caller
	hosts  *admission.Ledger
	zones  *admission.Ledger
	// leases are the parts that the fleet's owners gave to this zone.
	leases map[core.TeamName]zoneLease
}

type zoneLease struct {
	part  float64
	until time.Time
}

func newAllotter(peers core.PeerSource, caller peerrpc.Caller) allotter {
	return allotter{
		peers: peers, caller: caller, hosts: admission.NewLedger(), zones: admission.NewLedger(),
		leases: make(map[core.TeamName]zoneLease),
	}
}

// members returns the usable hosts of the fleet and of the own zone, and the
// zones, each in order of name.
func members(view *core.PeerView) (all, zone, zones []string) {
	add := func(peer *core.Peer) {
		name := string(peer.Ref.Host)
		all = append(all, name)
		if peer.Zone == view.Self.Zone {
			zone = append(zone, name)
		}
		if !slices.Contains(zones, string(peer.Zone)) {
			zones = append(zones, string(peer.Zone))
		}
	}
	add(&view.Self)
	for i := range view.Peers {
		if peer := &view.Peers[i]; peer.Usable() && peer.Ref.Host != view.Self.Ref.Host {
			add(peer)
		}
	}
	slices.Sort(all)
	slices.Sort(zone)
	slices.Sort(zones)
	return all, zone, zones
}

// ownerOf returns the first of the hosts in rendezvous order.
func ownerOf(team core.TeamName, hosts []string) string {
	return slices.MaxFunc(hosts, func(a, b string) int {
		key := "allotment/" + string(team)
		first, second := rendezvous.Weight(key, a), rendezvous.Weight(key, b)
		switch {
		case first < second:
			return -1
		case first > second:
			return 1
		}
		return 0
	})
}

// exchange reports demand to the owners and drops what is out of date.
func (t *Task) exchange(ctx context.Context, now time.Time) {
	if t.allot.peers == nil || t.allot.caller == nil {
		return
	}
	view := t.allot.peers.Peers()
	all, zone, _ := members(view)
	t.allot.hosts.Forget(now)
	t.allot.zones.Forget(now)
	for team, lease := range t.allot.leases {
		if !now.Before(lease.until) {
			delete(t.allot.leases, team)
		}
	}
	// The zone's totals go first: they stand for reports of the last second.
	t.send(ctx, now, view, all, Exchange{From: string(view.Self.Zone), Zones: true, Demands: t.allot.hosts.Total()})
	t.send(ctx, now, view, zone, Exchange{From: string(view.Self.Ref.Host), Demands: t.machine.Demands(now)})
}

// send groups demands by owner and calls each owner in a worker.
func (t *Task) send(ctx context.Context, now time.Time, view *core.PeerView, hosts []string, whole Exchange) {
	var owners []string
	parts := make(map[string][]admission.Demand)
	for _, demand := range whole.Demands {
		owner := ownerOf(demand.Team, hosts)
		if parts[owner] == nil {
			if len(owners) == maxOwners {
				continue
			}
			owners = append(owners, owner)
		}
		parts[owner] = append(parts[owner], demand)
	}
	for _, owner := range owners {
		message := Exchange{From: whole.From, Zones: whole.Zones, Demands: parts[owner]}
		if owner == string(view.Self.Ref.Host) {
			t.apply(now, message.Zones, t.grant(now, &message))
			continue
		}
		for i := range view.Peers {
			if string(view.Peers[i].Ref.Host) == owner {
				t.callOwner(ctx, view.Peers[i], message)
			}
		}
	}
}

func (t *Task) callOwner(ctx context.Context, owner core.Peer, message Exchange) {
	caller, inbox, sent := t.allot.caller, t.inbox, t.now()
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
		var grants Grants
		if err := caller.Call(callCtx, owner, exchangeMethod, &message, &grants); err != nil {
			// Without a lease an even part applies; the next exchange asks again.
			return
		}
		// Fails only when the task is stopping.
		_ = inbox.Send(ctx, grantsMessage{zones: message.Zones, sent: sent, grants: grants})
	}()
}

type grantsMessage struct {
	zones  bool
	sent   time.Time
	grants Grants
}

func (m grantsMessage) handle(t *Task, _ time.Time) {
	// The lease counts from when it was asked for, as the owner's clock and
	// the time of the call are not known.
	t.apply(m.sent, m.zones, m.grants)
}

func (t *Task) apply(now time.Time, zones bool, grants Grants) {
	until := now.Add(admission.LeaseTime)
	for _, part := range grants.Parts {
		if zones {
			t.allot.leases[part.Team] = zoneLease{part: part.Part, until: until}
		} else {
			t.machine.SetAllotment(t.now(), part.Team, part.Part, until)
		}
	}
}

// grant answers an exchange as the owner.
func (t *Task) grant(now time.Time, message *Exchange) Grants {
	all, zone, zones := members(t.allot.peers.Peers())
	var grants Grants
	if message.Zones {
		t.allot.zones.Report(now, message.From, message.Demands)
	} else {
		t.allot.hosts.Report(now, message.From, message.Demands)
	}
	for _, demand := range message.Demands {
		part := 0.0
		if message.Zones {
			part = t.allot.zones.Part(demand.Team, message.From, zones, 1)
		} else {
			base := float64(len(zone)) / float64(len(all))
			if lease, found := t.allot.leases[demand.Team]; found {
				base = lease.part
			}
			part = t.allot.hosts.Part(demand.Team, message.From, zone, base)
		}
		if part > 0 {
			grants.Parts = append(grants.Parts, admission.Demand{Team: demand.Team, Part: part})
		}
	}
	return grants
}

type exchangeMessage struct {
	exchange Exchange
	reply    chan<- Grants
}

func (m exchangeMessage) handle(t *Task, now time.Time) {
	if t.allot.peers == nil {
		m.reply <- Grants{}
		return
	}
	m.reply <- t.grant(now, &m.exchange)
}

// Receiver handles exchanges of peers; register it under Service.
type Receiver struct {
	task *Task
}

// Receiver returns the receiver for fleet.Registrar.
func (t *Task) Receiver() *Receiver {
	return &Receiver{task: t}
}

// Exchange hands a peer's demand to the task and returns its leases.
func (r *Receiver) Exchange(args *Exchange, grants *Grants) error {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	answer, err := task.Ask(ctx, r.task.inbox, func(reply chan<- Grants) message {
		return exchangeMessage{exchange: *args, reply: reply}
	})
	if err != nil {
		return err
	}
	*grants = answer
	return nil
}
