package budget

import "github.com/peridotreel/peridotreel/internal/core"

// staticSplit gives each host a ninth of every payment. A host learns of
// payments within a second when it reaches the platform.
type staticSplit struct {
	world  *world
	paid   core.Tokens
	parts  [hostCount]core.Tokens
	spent  [hostCount]core.Tokens
	held   [hostCount]core.Tokens
	holds  map[uint64]core.Tokens
	serial uint64
}

func (s *staticSplit) topUp(amount core.Tokens) {
	s.paid += amount
	s.second()
}

func (s *staticSplit) second() {
	for i := range s.parts {
		if s.world.platformReachable(i) {
			s.parts[i] = s.paid / hostCount
		}
	}
}

func (s *staticSplit) reserve(host int, amount core.Tokens) (uint64, bool) {
	if s.spent[host]+s.held[host]+amount > s.parts[host] {
		return 0, false
	}
	if s.holds == nil {
		s.holds = make(map[uint64]core.Tokens)
	}
	s.serial++
	s.holds[s.serial] = amount
	s.held[host] += amount
	return s.serial, true
}

func (s *staticSplit) settle(host int, ticket uint64, cost core.Tokens) {
	s.held[host] -= s.holds[ticket]
	s.spent[host] += cost
	delete(s.holds, ticket)
}

// die drops the reservations; what was spent is known from the bills.
func (s *staticSplit) die(host int) {
	s.held[host] = 0
}

func (s *staticSplit) start(int) {}

func (s *staticSplit) release() {}

// softLimit accepts a request while the spend that the host knows of is
// below the prepaid sum that it knows of. Hosts that reach the platform
// exchange both once a second.
type softLimit struct {
	world *world
	paid  core.Tokens
	spent [hostCount]core.Tokens
	// written is what the platform knows of each host's spend.
	written    [hostCount]core.Tokens
	knownSpent [hostCount]core.Tokens
	knownPaid  [hostCount]core.Tokens
}

func (s *softLimit) topUp(amount core.Tokens) {
	s.paid += amount
	s.second()
}

func (s *softLimit) second() {
	var total core.Tokens
	for i := range s.spent {
		if s.world.platformReachable(i) {
			s.written[i] = s.spent[i]
		}
		total += s.written[i]
	}
	for i := range s.knownSpent {
		if s.world.platformReachable(i) {
			s.knownSpent[i], s.knownPaid[i] = total, s.paid
		}
	}
}

func (s *softLimit) reserve(host int, _ core.Tokens) (uint64, bool) {
	return 0, s.knownSpent[host] < s.knownPaid[host]
}

func (s *softLimit) settle(host int, _ uint64, cost core.Tokens) {
	s.spent[host] += cost
	s.knownSpent[host] += cost
}

func (s *softLimit) die(int) {}

func (s *softLimit) start(int) {}

func (s *softLimit) release() {}
