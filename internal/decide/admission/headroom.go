package admission

import (
	"math"
	"time"

	"github.com/peridotreel/peridotreel/internal/decide/upstreams"
)

const (
	// headroomDeviations is how many standard deviations of the short work in
	// flight are kept free beyond its mean. Three cover 99.9% if all slots
	// belonged to one batch; the fourth allows for each upstream having a batch
	// of its own and for loads that are known only as of the last answer.
	headroomDeviations = 4
	// headroomTimeConstant is the time constant of the moving averages. It is well
	// above the time for which short work holds a slot and below that of long work.
	headroomTimeConstant = 2 * time.Second
)

// headroom determines how many upstream slots long work leaves free for short
// work. It follows the square-root staffing rule (Halfin and Whitt,
// "Heavy-Traffic Limits for Queues with Many Exponential Servers", Operations
// Research 1981).
type headroom struct {
	known   bool
	at      time.Time
	sharers float64
	// meanNonShort is the moving average of this host's slots that short work
	// leaves free, and meanShort that of the short requests in flight.
	meanNonShort float64
	meanShort    float64
}

func (h *headroom) update(now time.Time, free float64, sharers int, running [kindCount]int) {
	weight := 1.0
	if h.known {
		weight = 1 - math.Exp(-float64(max(0, now.Sub(h.at)))/float64(headroomTimeConstant))
	}
	h.known, h.at, h.sharers = true, now, float64(max(1, sharers))
	h.meanNonShort += (float64(running[long]) + free - h.meanNonShort) * weight
	h.meanShort += (float64(running[short]) - h.meanShort) * weight
}

// maxLong returns how many slots long work may take. The standard deviation is
// divided by the square root of the number of sharers, as the short work of all
// of them together varies less, relative to its mean, than that of one host.
func (h *headroom) maxLong() float64 {
	return h.meanNonShort - headroomDeviations*math.Sqrt(h.meanShort/h.sharers)
}

// SetFreeSlots sets this host's even portion of the free slots at the upstreams
// of a pool, and the number of hosts that share them. A pool for which they are
// not known keeps a fixed fraction of its slots from long work.
func (c *Controller) SetFreeSlots(now time.Time, name upstreams.Pool, free float64, sharers int) {
	pool := c.pool(name)
	pool.headroom.update(now, free, sharers, pool.running)
}
