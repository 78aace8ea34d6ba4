package evacuation

import (
	"flag"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/peridotreel/peridotreel/internal/core"
)

// TestMain fixes the seed, so that each run has the same result. -rapid.seed and
// -rapid.checks override it and the number of runs.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261206", "rapid.checks": "2000"} {
		if known := flag.Lookup(name); known.Value.String() == known.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

const (
	modelHosts = 3
	// maxDelay is the longest time that a report takes to a peer, as a call does.
	maxDelay = time.Second
)

// zoneSet is the zones that the store names.
type zoneSet map[core.ZoneName]bool

// model is a store, hosts that read it and tell each other, and what an oracle knows: the
// store's zones at each revision.
type model struct {
	now    time.Time
	store  core.Revision
	truth  map[core.Revision]zoneSet
	writes []Row
	hosts  [modelHosts]*modelHost
	// reports are under way to peers.
	reports []sentReport
	// noticed is when a host last noticed a return, and lost the zones that were evacuated
	// at any host then.
	noticed time.Time
	lost    map[int64]zoneSet
}

// modelHost is a host, with what the oracle derives for it.
type modelHost struct {
	table *Table
	// reached is how far its reads have come, and heard the highest revision that it or a
	// peer that it heard has read.
	reached, heard core.Revision
	pending        *Read
	// keeps are the zones that were evacuated when it noticed the latest return, at keptFrom.
	keeps    zoneSet
	keptFrom time.Time
}

type sentReport struct {
	to       int
	report   Report
	at       time.Time
	revision core.Revision
}

func newModel() *model {
	m := &model{now: start, store: rev(1, 1), lost: make(map[int64]zoneSet)}
	m.truth = map[core.Revision]zoneSet{m.store: {}}
	for i := range m.hosts {
		m.hosts[i] = &modelHost{table: New()}
	}
	return m
}

// write evacuates or restores a zone in the store.
func (m *model) write(t *rapid.T) {
	zone := rapid.SampledFrom([]core.ZoneName{"a", "b", "c"}).Draw(t, "zone")
	zones := maps.Clone(m.truth[m.store])
	deleted := zones[zone]
	m.store.Number++
	if deleted {
		delete(zones, zone)
	} else {
		zones[zone] = true
	}
	m.truth[m.store] = zones
	m.writes = append(m.writes, Row{Zone: zone, Revision: m.store, Deleted: deleted})
}

// comeBack replaces the store by an older copy.
func (m *model) comeBack(t *rapid.T) {
	from := m.store
	to := rev(from.Era+1, max(from.Number-rapid.Int64Range(0, 4).Draw(t, "lost"), 1))
	// The copy has rows at all of its earlier revisions.
	for number := int64(1); number <= to.Number; number++ {
		m.truth[rev(to.Era, number)] = m.truth[rev(from.Era, number)]
	}
	var kept []Row
	for _, row := range m.writes {
		if row.Revision.Era == from.Era && row.Revision.Number <= to.Number {
			row.Revision.Era = to.Era
			kept = append(kept, row)
		}
	}
	m.writes = append(m.writes, kept...)
	m.store = to
}

// beginRead lets a host read the store; the answer comes with endRead.
func (m *model) beginRead(t *rapid.T) {
	host := m.pick(t)
	read := Read{Revision: m.store, Full: host.reached.Era != m.store.Era || rapid.Bool().Draw(t, "full")}
	if read.Full {
		for zone := range m.truth[m.store] {
			read.Rows = append(read.Rows, Row{Zone: zone, Revision: m.store})
		}
	}
	for _, row := range m.writes {
		if !read.Full && row.Revision.Era == m.store.Era && row.Revision.Newer(host.reached) {
			read.Rows = append(read.Rows, row)
		}
	}
	host.pending = &read
}

func (m *model) endRead(t *rapid.T) {
	host := m.pick(t)
	if host.pending == nil {
		t.Skip("no read is under way")
	}
	read := *host.pending
	host.pending = nil
	if host.reached.Newer(read.Revision) {
		t.Skip("the follower drops a read from before its latest")
	}
	host.reached = read.Revision
	m.hear(host, read.Revision)
	host.table.Apply(read, m.now)
}

// tell sends a host's report to a peer; it arrives with deliver.
func (m *model) tell(t *rapid.T) {
	host := m.pick(t)
	m.reports = append(m.reports, sentReport{to: rapid.IntRange(0, modelHosts-1).Draw(t, "to"), report: host.table.Report(m.now), at: m.now, revision: host.heard})
}

func (m *model) deliver(t *rapid.T) {
	m.reports = slices.DeleteFunc(m.reports, func(r sentReport) bool { return m.now.Sub(r.at) > maxDelay })
	if len(m.reports) == 0 {
		t.Skip("no report is under way")
	}
	i := rapid.IntRange(0, len(m.reports)-1).Draw(t, "report")
	sent := m.reports[i]
	m.reports = slices.Delete(m.reports, i, i+1)
	m.hear(m.hosts[sent.to], sent.revision)
	m.hosts[sent.to].table.Merge(sent.report, m.now)
}

// hear derives what a host must know once it has heard of a revision.
func (m *model) hear(host *modelHost, revision core.Revision) {
	if !revision.Newer(host.heard) {
		return
	}
	if revision.Era > host.heard.Era && host.heard.Number > 0 {
		host.keeps, host.keptFrom, m.noticed = zoneSet{}, m.now, m.now
		for _, zone := range host.table.Zones() {
			host.keeps[zone] = true
		}
		if m.lost[revision.Era] == nil {
			m.lost[revision.Era] = zoneSet{}
		}
		maps.Copy(m.lost[revision.Era], host.keeps)
	}
	host.heard = revision
}

func (m *model) restart(t *rapid.T) {
	host := m.pick(t)
	*host = modelHost{table: New()}
}

func (m *model) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
	for _, host := range m.hosts {
		host.table.Expire(m.now)
	}
}

func (m *model) pick(t *rapid.T) *modelHost {
	return m.hosts[rapid.IntRange(0, modelHosts-1).Draw(t, "host")]
}

// named reports whether the store has named a zone in the era of a revision, up to it.
func (m *model) named(zone core.ZoneName, upTo core.Revision) bool {
	for number := int64(1); number <= upTo.Number; number++ {
		if m.truth[rev(upTo.Era, number)][zone] {
			return true
		}
	}
	return false
}

// check compares each host with the oracle: the zones that the store named at the highest
// revision heard are evacuated, and beyond these only what is kept after a return.
func (m *model) check(t *rapid.T) {
	for i, host := range m.hosts {
		truth := m.truth[host.heard]
		for _, zone := range []core.ZoneName{"a", "b", "c"} {
			evacuated := host.table.Evacuated(zone)
			mustKeep := host.keeps[zone] && m.now.Before(host.keptFrom.Add(ReturnGrace)) && !m.named(zone, host.heard)
			mayKeep := m.lost[host.heard.Era][zone] && m.now.Before(m.noticed.Add(ReturnGrace+modelHosts*maxDelay))
			if (truth[zone] || mustKeep) && !evacuated || evacuated && !truth[zone] && !mayKeep {
				t.Fatalf("host %d, zone %s at %s: evacuated %t, the store names it: %t, must be kept: %t, may be kept: %t", i, zone, host.heard, evacuated, truth[zone], mustKeep, mayKeep)
			}
		}
	}
}

// Guards against each way in which reads that are late, peers that are behind, restarts and
// returns of the store end an evacuation too soon, or let one go on for ever.
func TestHostsFollowTheOracleThroughLateReadsAndReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"write": m.write, "write more": m.write, "come back": m.comeBack, "begin read": m.beginRead, "end read": m.endRead,
			"tell": m.tell, "deliver": m.deliver, "restart": m.restart, "wait": m.wait, "": m.check,
		})
	})
}
