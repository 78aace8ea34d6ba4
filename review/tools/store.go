package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the platform's store, as PROTOCOL.md spells it.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowID struct{ table, part, key string }

// copyOf is a copy of the store from which it can come back.
type copyOf struct {
	rows    map[rowID]row
	history []row
	version int64
	at      time.Time
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rows    map[rowID]row
	history []row
	version int64
	era     int64
	changed chan struct{}
	// away is closed when the store is back; nil while it answers. It answers 503 while
	// it is away.
	away    chan struct{}
	born    time.Time
	address string
	log     *record
}

// callTime is how long an answer takes (SYSTEM.md: 4 ms).
const callTime = 4 * time.Millisecond

func newStore(log *record) *store {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s := &store{rows: map[rowID]row{}, era: 1, changed: make(chan struct{}), born: time.Now(), address: listener.Addr().String(), log: log}
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(listener) }()
	return s
}

func (s *store) apply(puts, removes []row) {
	s.version++
	for _, r := range puts {
		r.Version = s.version
		s.rows[rowID{r.Table, r.Part, r.Key}] = r
		s.history = append(s.history, r)
	}
	for _, r := range removes {
		delete(s.rows, rowID{r.Table, r.Part, r.Key})
		r.Version, r.Deleted, r.Value = s.version, true, nil
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as the operator or a server does. It waits while the store is away.
func (s *store) put(table, key string, value any) {
	raw, err := json.Marshal(value)
	check(err)
	for {
		s.mu.Lock()
		away := s.away
		if away == nil {
			s.apply([]row{{Table: table, Key: key, Value: raw}}, nil)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		<-away
	}
}

// copy takes a copy of the store.
func (s *store) copy() copyOf {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.line("store: a copy is taken at version %d", s.version)
	return copyOf{maps.Clone(s.rows), slices.Clone(s.history), s.version, time.Now()}
}

// leave makes the store answer 503 until back is called.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.line("store: away, answers 503")
	s.away = make(chan struct{})
	close(s.changed)
	s.changed = make(chan struct{})
}

// back ends the time away. With a copy, the store has lost what it acknowledged since.
func (s *store) back(from *copyOf) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from != nil {
		s.rows, s.history, s.version = maps.Clone(from.rows), slices.Clone(from.history), from.version
		s.era++
		s.log.line("store: back from a copy that is %.1f s old, era %d", time.Since(from.at).Seconds(), s.era)
	} else {
		s.log.line("store: back")
	}
	close(s.away)
	s.away = nil
	close(s.changed)
	s.changed = make(chan struct{})
}

// refused answers 503 and reports true if the store is away.
func (s *store) refused(w http.ResponseWriter) bool {
	s.mu.Lock()
	away := s.away != nil
	s.mu.Unlock()
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return away
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.refused(w) {
		return
	}
	time.Sleep(callTime)
	switch {
	case r.URL.Path == "/api/rows-tx":
		s.transaction(w, r)
	case r.URL.Path == "/api/rows-get":
		s.get(w, r)
	case r.URL.Path == "/api/rows-feed":
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// answer writes an answer; s.mu must be held.
func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	w.WriteHeader(status)
	body["row_version"], body["now_ms"] = s.version, time.Since(s.born).Milliseconds()
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) transaction(w http.ResponseWriter, r *http.Request) {
	var body struct{ Expect, Puts, Remove []row }
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, written := range append(slices.Clone(body.Puts), body.Remove...) {
		if written.Table == "op" || written.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	if s.refused(w) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if current, ok := s.perform(body.Expect, body.Puts, body.Remove); !ok {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current})
		return
	}
	s.answer(w, http.StatusOK, map[string]any{})
}

func (s *store) perform(expect, puts, removes []row) ([]row, bool) {
	current, ok := []row{}, true
	for _, e := range expect {
		stored, found := s.rows[rowID{e.Table, e.Part, e.Key}]
		ok = ok && stored.Version == e.Version
		if found {
			current = append(current, stored)
		}
	}
	if ok {
		s.apply(puts, removes)
	}
	return current, ok
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []row{}
	for id, r := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to")) {
			found = append(found, r)
		}
	}
	sort.Slice(found, func(i, j int) bool { return strings.Compare(found[i].Key, found[j].Key) < 0 })
	s.answer(w, http.StatusOK, map[string]any{"rows": found[:min(limit, len(found))], "has_more": len(found) > limit})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for ended := false; ; {
		if s.refused(w) {
			return
		}
		s.mu.Lock()
		if after > s.version {
			s.answer(w, http.StatusGone, map[string]any{})
			s.mu.Unlock()
			return
		}
		found := []row{}
		for _, r := range s.history {
			if r.Table == q.Get("table") && r.Version > after {
				found = append(found, r)
			}
		}
		if len(found) > 0 || ended {
			s.answer(w, http.StatusOK, map[string]any{"rows": found})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

// logLedgers records which rows of the gateways' table of balances the store has.
func (s *store) logLedgers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, r := range s.rows {
		if id.table == "balances" {
			s.log.line("store: balances/%s/%s, written %s", id.part, id.key, r.Value[:min(len(r.Value), 300)])
		}
	}
}
