package coldstart

import (
	"math"
)

const (
	// bucketSize is the number of requests that a user may send at once. With less, it
	// could send none.
	bucketSize = 1.0
	// disagreement is the number of hosts beyond the users that may also take themselves
	// for users, as their lists of hosts lack members. Hosts restart one after the other,
	// and lists lag by seconds.
	disagreement = 3
	// span is the time in seconds whose requests may reach an upstream within one second:
	// connections are set up meanwhile, and links and processors delay some.
	span = 1.2
)

// The bound if a deployment states none: a cold upstream gets what it bears, and one
// request more, without which it would get none below one request per second.
const (
	DefaultOverage = 1.0
	DefaultSlack   = 1.0
)

// Bound is what a cold upstream gets at most in any second from all hosts together:
// Overage times the requests per second that it bears, and Slack requests more.
type Bound struct {
	Overage, Slack float64
}

// share is how the hosts divide what a cold upstream bears: the first users in the order
// of hosts send rate requests per second each, with a bucket of bucketSize.
type share struct {
	users int
	rate  float64
}

// divide returns the share at a number of hosts. All users, and the hosts that take
// themselves for users, together send no more than the bound within a second, if each of
// them has a full bucket; the users alone send no more than perSecond in the long run.
// There are none if the bound allows less than one request.
func (b Bound) divide(perSecond float64, hosts int) share {
	total := min(b.Overage*perSecond+b.Slack, math.MaxInt32)
	if !(total >= bucketSize) || hosts < 1 { // also false for a total that is no number
		return share{}
	}
	// A low bound leaves no room for hosts that disagree, beyond whole requests.
	extra := min(disagreement, float64(hosts), math.Floor(total/bucketSize)-1)
	// Of n users each sends (total/(n+extra) - bucketSize) / span; n times that is largest
	// at sqrt(total x extra) - extra.
	users := math.Floor(math.Sqrt(total*extra/bucketSize) - extra)
	users = max(min(users, float64(hosts), math.Floor(total/bucketSize)-extra), 1)
	rate := min((total/(users+extra)-bucketSize)/span, perSecond/users)
	if rate <= 0 {
		return share{}
	}
	return share{users: int(users), rate: rate}
}
