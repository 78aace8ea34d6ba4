package director

import (
	"context"

	"github.com/peridotreel/peridotreel/internal/decide/requestlimit"
)

type hostList struct {
	count   int
	members []requestlimit.Member
}

// SetHosts sets the number of hosts that share the retry budgets and connections,
// and those of them that are not leaving.
func (d *Director) SetHosts(count int, members []requestlimit.Member) {
	_ = d.inbox.Send(context.Background(), hostList{count, members})
}

// setHostCount sets the number of hosts that share retry budgets, connections and what
// upstreams hold of requests.
func (d *Director) setHostCount(count int) {
	d.hosts = count
	d.retryShare.SetHosts(count, d.config.Now())
	d.unanswered.SetHosts(count)
}

// hearHostCount takes the number of hosts from a peer, 0 if the peer does not know it, until
// this host has read the table of hosts. The largest number of several peers counts.
func (d *Director) hearHostCount(count int) {
	if !d.hostsListed && count > d.hostsHeard {
		d.hostsHeard = count
		d.setHostCount(count)
	}
}

// knownHostCount returns the number of hosts in the table of hosts, 0 if it was not read.
func (d *Director) knownHostCount() int {
	if !d.hostsListed {
		return 0
	}
	return d.hosts
}

func (d *Director) setHosts(list hostList) {
	d.hostsListed = true
	d.setHostCount(max(list.count, 1))
	d.members = d.members[:0]
	for _, member := range list.members {
		d.members = append(d.members, string(member.Host))
	}
	d.limits.SetMembers(list.members)
	d.brittle.SetHosts(d.members)
	d.setColdMembers(list.members)
}
