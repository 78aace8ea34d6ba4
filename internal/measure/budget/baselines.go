package budget

import "github.com/peridotreel/peridotreel/internal/core"

// staticSplit gives each host an equal part of every top-up. A host learns of
// top-ups within a second if it reaches the platform.
type staticSplit struct {
	simulation      *simulation
	prepaid         core.Tokens
	allotted        [hostCount]core.Tokens
	spent           [hostCount]core.Tokens
	reserved        [hostCount]core.Tokens
	reservations    map[uint64]core.Tokens
	lastReservation uint64
}

func (s *staticSplit) topUp(amount core.Tokens) {
	s.prepaid += amount
	s.everySecond()
}

func (s *staticSplit) everySecond() {
	for i := range s.allotted {
		if s.simulation.platformReachable(i) {
			s.allotted[i] = s.prepaid / hostCount
		}
	}
}

func (s *staticSplit) reserve(host int, amount core.Tokens) (uint64, bool) {
	if s.spent[host]+s.reserved[host]+amount > s.allotted[host] {
		return 0, false
	}
	if s.reservations == nil {
		s.reservations = make(map[uint64]core.Tokens)
	}
	s.lastReservation++
	s.reservations[s.lastReservation] = amount
	s.reserved[host] += amount
	return s.lastReservation, true
}

func (s *staticSplit) settle(host int, reservation uint64, cost core.Tokens) {
	s.reserved[host] -= s.reservations[reservation]
	s.spent[host] += cost
	delete(s.reservations, reservation)
}

// kill drops the host's reservations. Its spend is kept, as known from the bills.
func (s *staticSplit) kill(host int) {
	s.reserved[host] = 0
}

func (s *staticSplit) start(int) {}

func (s *staticSplit) releaseDead() {}

// softLimit accepts a request while the spend known to the host is below the
// prepaid amount known to it. Hosts that reach the platform synchronize both
// once a second.
type softLimit struct {
	simulation *simulation
	prepaid    core.Tokens
	spent      [hostCount]core.Tokens
	// reported is each host's spend as last reported to the platform.
	reported     [hostCount]core.Tokens
	knownSpent   [hostCount]core.Tokens
	knownPrepaid [hostCount]core.Tokens
}

func (s *softLimit) topUp(amount core.Tokens) {
	s.prepaid += amount
	s.everySecond()
}

func (s *softLimit) everySecond() {
	var total core.Tokens
	for i := range s.spent {
		if s.simulation.platformReachable(i) {
			s.reported[i] = s.spent[i]
		}
		total += s.reported[i]
	}
	for i := range s.knownSpent {
		if s.simulation.platformReachable(i) {
			s.knownSpent[i], s.knownPrepaid[i] = total, s.prepaid
		}
	}
}

func (s *softLimit) reserve(host int, _ core.Tokens) (uint64, bool) {
	return 0, s.knownSpent[host] < s.knownPrepaid[host]
}

func (s *softLimit) settle(host int, _ uint64, cost core.Tokens) {
	s.spent[host] += cost
	s.knownSpent[host] += cost
}

func (s *softLimit) kill(int) {}

func (s *softLimit) start(int) {}

func (s *softLimit) releaseDead() {}
