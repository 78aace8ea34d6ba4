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
	// exchangeInterval is short enough to renew leases of 2 s even if one call
	// fails.
	exchangeInterval = time.Second
	// exchangeTimeout ends a call before the next exchange starts.
	exchangeTimeout = 700 * time.Millisecond
	// maxOwners bounds the owners contacted in one exchange at each level, zone
	// and fleet. The teams listed first take precedence: on the zone level those
	// with the largest demand.
	maxOwners = 8
	// ReceiverName is the name under which peers call the Receiver.
	ReceiverName   = "Allotments"
	exchangeMethod = ReceiverName + ".Exchange"
)

// Exchange reports demand: a host sends it to the owner in its zone, and the owner
// in a zone to the owner in the fleet.
type Exchange struct {
	From string
	// Zones is true if From names a zone, and false if it names a host.
	Zones   bool
	Demands []admission.Demand
}

// Grants is the reply to an Exchange: the allotment of each demand, leased for
// admission.LeaseTime.
type Grants struct {
	Parts []admission.Demand
}

// allotter divides the limits of teams over the fleet in two levels: hosts report
// demand to an owner in their zone, and the owners in the zones to an owner in the
// fleet. So no host hears from more peers than a zone has hosts or the fleet has
// zones.
type allotter struct {
	peers      core.PeerSource
	caller     peerrpc.Caller
	hostDemand *admission.DemandReports
	zoneDemand *admission.DemandReports
	// zoneLeases are the allotments that the owners in the fleet leased to this
	// zone.
	zoneLeases map[core.TeamName]zoneLease
}

type zoneLease struct {
	fraction float64
	until    time.Time
}

func newAllotter(peers core.PeerSource, caller peerrpc.Caller) allotter {
	return allotter{
		peers: peers, caller: caller, hostDemand: admission.NewDemandReports(), zoneDemand: admission.NewDemandReports(),
		zoneLeases: make(map[core.TeamName]zoneLease),
	}
}

// usableMembers returns the usable hosts of the fleet, those of this host's zone,
// and the zones of the fleet, each sorted by name.
func usableMembers(view *core.PeerView) (allHosts, zoneHosts, zones []string) {
	add := func(peer *core.Peer) {
		name := string(peer.Ref.Host)
		allHosts = append(allHosts, name)
		if peer.Zone == view.Self.Zone {
			zoneHosts = append(zoneHosts, name)
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
	slices.Sort(allHosts)
	slices.Sort(zoneHosts)
	slices.Sort(zones)
	return allHosts, zoneHosts, zones
}

// ownerOf returns the owner of a team's limits by rendezvous hashing: the host
// with the highest weight.
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

// exchangeDemand drops expired reports and leases, and reports demand to the
// owners.
func (t *Task) exchangeDemand(ctx context.Context, now time.Time) {
	if t.allot.peers == nil || t.allot.caller == nil {
		return
	}
	view := t.allot.peers.Peers()
	allHosts, zoneHosts, _ := usableMembers(view)
	t.allot.hostDemand.Expire(now)
	t.allot.zoneDemand.Expire(now)
	for team, lease := range t.allot.zoneLeases {
		if !now.Before(lease.until) {
			delete(t.allot.zoneLeases, team)
		}
	}
	// Send the totals of the zone first: they sum up the reports of the previous
	// interval.
	t.sendDemands(ctx, now, view, allHosts, Exchange{From: string(view.Self.Zone), Zones: true, Demands: t.allot.hostDemand.Totals()})
	t.sendDemands(ctx, now, view, zoneHosts, Exchange{From: string(view.Self.Ref.Host), Demands: t.controller.Demands(now)})
}

// sendDemands groups demands by owner and calls each remote owner in its own goroutine.
func (t *Task) sendDemands(ctx context.Context, now time.Time, view *core.PeerView, hosts []string, report Exchange) {
	var owners []string
	byOwner := make(map[string][]admission.Demand)
	for _, demand := range report.Demands {
		owner := ownerOf(demand.Team, hosts)
		if byOwner[owner] == nil {
			if len(owners) == maxOwners {
				continue
			}
			owners = append(owners, owner)
		}
		byOwner[owner] = append(byOwner[owner], demand)
	}
	for _, owner := range owners {
		args := Exchange{From: report.From, Zones: report.Zones, Demands: byOwner[owner]}
		if owner == string(view.Self.Ref.Host) {
			t.applyGrants(now, args.Zones, t.grantLeases(now, &args))
			continue
		}
		for i := range view.Peers {
			if string(view.Peers[i].Ref.Host) == owner {
				t.callOwner(ctx, view.Peers[i], args)
			}
		}
	}
}

func (t *Task) callOwner(ctx context.Context, owner core.Peer, args Exchange) {
	caller, inbox, sentAt := t.allot.caller, t.inbox, t.now()
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
		var grants Grants
		if err := caller.Call(callCtx, owner, exchangeMethod, &args, &grants); err != nil {
			// Without a lease an even fraction applies; the next exchange retries.
			return
		}
		// Send fails only if the task is stopping.
		_ = inbox.Send(ctx, grantsMessage{zones: args.Zones, sentAt: sentAt, grants: grants})
	}()
}

type grantsMessage struct {
	zones  bool
	sentAt time.Time
	grants Grants
}

func (m grantsMessage) handle(t *Task, _ time.Time) {
	// The lease starts when it was requested, as neither the owner's clock nor
	// the delay of the call is known.
	t.applyGrants(m.sentAt, m.zones, m.grants)
}

func (t *Task) applyGrants(now time.Time, zones bool, grants Grants) {
	until := now.Add(admission.LeaseTime)
	for _, granted := range grants.Parts {
		if zones {
			t.allot.zoneLeases[granted.Team] = zoneLease{fraction: granted.Part, until: until}
		} else {
			t.controller.SetAllotment(t.now(), granted.Team, granted.Part, until)
		}
	}
}

// grantLeases records the reported demand as its owner and returns the allotments.
func (t *Task) grantLeases(now time.Time, args *Exchange) Grants {
	allHosts, zoneHosts, zones := usableMembers(t.allot.peers.Peers())
	var grants Grants
	if args.Zones {
		t.allot.zoneDemand.Record(now, args.From, args.Demands)
	} else {
		t.allot.hostDemand.Record(now, args.From, args.Demands)
	}
	for _, demand := range args.Demands {
		fraction := 0.0
		if args.Zones {
			fraction = t.allot.zoneDemand.Allotment(demand.Team, args.From, zones, 1)
		} else {
			base := float64(len(zoneHosts)) / float64(len(allHosts))
			if lease, found := t.allot.zoneLeases[demand.Team]; found {
				base = lease.fraction
			}
			fraction = t.allot.hostDemand.Allotment(demand.Team, args.From, zoneHosts, base)
		}
		if fraction > 0 {
			grants.Parts = append(grants.Parts, admission.Demand{Team: demand.Team, Part: fraction})
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
	m.reply <- t.grantLeases(now, &m.exchange)
}

// Receiver handles the RPCs of peers; register it under ReceiverName.
type Receiver struct {
	task *Task
}

// Receiver returns the RPC receiver to register with a peerrpc.Registrar.
func (t *Task) Receiver() *Receiver {
	return &Receiver{task: t}
}

// Exchange passes a peer's demand to the task and returns the leases.
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
