package balancer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/upstreams"
	"github.com/peridotreel/peridotreel/internal/platform"
)

// startListRead reads the platform's list in a goroutine, one read at a time.
func (t *Task) startListRead(ctx context.Context) {
	if t.listReading {
		return
	}
	t.listReading = true
	directory, inbox := t.config.Directory, t.inbox
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		members, err := directory.Members(callCtx)
		// Send fails only if the task is stopping.
		_ = inbox.Send(ctx, listMessage{members: members, err: err})
	}()
}

type listMessage struct {
	members []platform.Member
	err     error
}

func (m listMessage) handle(t *Task, now time.Time) {
	t.listReading = false
	if m.err != nil {
		if !t.listFailed {
			t.config.Log.Warn("failed to read the platform's list of upstreams; keeping the last one read", zap.Error(m.err))
		}
		t.listFailed = true
		return
	}
	if t.listFailed {
		t.config.Log.Info("read the platform's list of upstreams again after a failure")
	}
	t.listFailed, t.listed = false, true
	entries, hosts := entriesOf(m.members)
	t.hosts = max(1, hosts)
	t.view.SetHostCount(t.hosts)
	t.view.ApplyList(now, entries)
	t.polls.removeGone(t.view)
	t.retainReach(t.config.Now())
	t.publishModels()
	t.loaded.Store(t.loaded.Load() || len(entries) > 0)
	t.publishCapacities(now)
}

// publishModels replaces the snapshot that Serves, Models and HedgeAfter read.
func (t *Task) publishModels() {
	set := make(modelSet)
	t.view.Models(func(model core.ModelName, stats upstreams.ModelStats) { set[model] = stats })
	t.models.Store(&set)
}

// entriesOf returns the listed upstreams and the number of live hosts.
func entriesOf(members []platform.Member) ([]upstreams.Entry, int) {
	var entries []upstreams.Entry
	hosts := 0
	for i := range members {
		member := &members[i]
		entry := upstreams.Entry{Leaving: member.Leaving, Target: core.Target{
			Upstream: core.UpstreamID(member.ID), Incarnation: member.Incarnation,
			Zone: member.Zone, Address: member.Address,
		}}
		switch member.Role {
		case platform.RoleHost:
			if !member.Leaving {
				hosts++
			}
			continue
		case platform.RoleEngine:
			for _, model := range member.Models {
				entry.Pools = append(entry.Pools, upstreams.Pool{Model: model})
			}
		case platform.RoleService:
			entry.Pools = []upstreams.Pool{{Service: member.Service}}
		}
		entries = append(entries, entry)
	}
	return entries, hosts
}
