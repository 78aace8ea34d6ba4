package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the platform's store, as it is encoded in calls and answers.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowID struct{ table, part, key string }

type copied struct {
	rows    map[rowID]row
	history []row
	version int64
}

// store is a stand-in for the platform's store.
type store struct {
	mu      sync.Mutex
	rows    map[rowID]row
	history []row
	version int64
	era     int64
	changed chan struct{}
	delay   time.Duration
	down    bool
	began   time.Time
	address string
}

func newStore() *store {
	s := &store{rows: map[rowID]row{}, era: 1, changed: make(chan struct{}), began: time.Now()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, s) }()
	return s
}

// setDelay sets the time of each call; a call takes 4 ms otherwise.
func (s *store) setDelay(delay time.Duration) {
	s.mu.Lock()
	s.delay = delay
	s.mu.Unlock()
}

// setDown lets the store answer 503 to all calls.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	s.down = down
	s.mu.Unlock()
}

// copy takes a copy to which the store may return.
func (s *store) copy() copied {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := copied{map[rowID]row{}, append([]row(nil), s.history...), s.version}
	for id, r := range s.rows {
		c.rows[id] = r
	}
	return c
}

// returnTo lets the store come back from a copy, in a new era.
func (s *store) returnTo(c copied) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows = map[rowID]row{}
	for id, r := range c.rows {
		s.rows[id] = r
	}
	s.history, s.version = append([]row(nil), c.history...), c.version
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(table, key string, value any) {
	raw, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	s.apply([]row{{Table: table, Key: key, Value: raw}}, nil)
	s.mu.Unlock()
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	s.apply(nil, []row{{Table: table, Key: key}})
	s.mu.Unlock()
}

func (s *store) apply(puts, removes []row) {
	s.version++
	for _, r := range puts {
		r.Version = s.version
		s.rows[rowID{r.Table, r.Part, r.Key}] = r
		s.history = append(s.history, r)
	}
	for _, r := range removes {
		id := rowID{r.Table, r.Part, r.Key}
		if _, found := s.rows[id]; !found {
			continue
		}
		delete(s.rows, id)
		r.Version, r.Deleted, r.Value = s.version, true, nil
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	delay, down := s.delay, s.down
	s.mu.Unlock()
	time.Sleep(max(delay, 4*time.Millisecond))
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	status, answer, era := http.StatusNotFound, map[string]any{}, int64(0)
	switch {
	case strings.HasSuffix(r.URL.Path, "/rows-tx"):
		status, answer, era = s.transaction(body)
	case strings.HasSuffix(r.URL.Path, "/rows-get"):
		status, answer, era = s.get(r)
	case strings.HasSuffix(r.URL.Path, "/rows-feed"):
		status, answer, era = s.feed(r)
	case strings.HasSuffix(r.URL.Path, "/rows-parts"):
		status, answer, era = s.parts(r)
	}
	answer["now_ms"] = time.Since(s.began).Milliseconds() + 1000
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *store) transaction(body []byte) (int, map[string]any, int64) {
	var call struct{ Expect, Puts, Remove []row }
	if json.Unmarshal(body, &call) != nil {
		return http.StatusBadRequest, map[string]any{}, s.era
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, failed := []row{}, false
	for _, r := range call.Expect {
		stored := s.rows[rowID{r.Table, r.Part, r.Key}]
		failed = failed || stored.Version != r.Version
		if stored.Version != 0 {
			current = append(current, stored)
		}
	}
	if failed {
		return http.StatusPreconditionFailed, map[string]any{"rows": current, "row_version": s.version}, s.era
	}
	s.apply(call.Puts, call.Remove)
	return http.StatusOK, map[string]any{"row_version": s.version}, s.era
}

func (s *store) get(r *http.Request) (int, map[string]any, int64) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for id, r := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to")) {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return http.StatusOK, map[string]any{"rows": rows[:min(limit, len(rows))], "has_more": len(rows) > limit, "row_version": s.version}, s.era
}

func (s *store) parts(r *http.Request) (int, map[string]any, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[string]bool{}
	for id := range s.rows {
		if id.table == r.URL.Query().Get("table") && id.part > r.URL.Query().Get("after") {
			seen[id.part] = true
		}
	}
	parts := []string{}
	for part := range seen {
		parts = append(parts, part)
	}
	sort.Strings(parts)
	return http.StatusOK, map[string]any{"parts": parts, "has_more": false, "row_version": s.version}, s.era
}

func (s *store) feed(r *http.Request) (int, map[string]any, int64) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		rows, version, era, changed := []row{}, s.version, s.era, s.changed
		if after > version {
			s.mu.Unlock()
			return http.StatusGone, map[string]any{}, era
		}
		for _, r := range s.history {
			if r.Table == q.Get("table") && r.Version > after {
				rows = append(rows, r)
			}
		}
		s.mu.Unlock()
		answer := map[string]any{"rows": rows, "row_version": version}
		if len(rows) > 0 {
			return http.StatusOK, answer, era
		}
		select {
		case <-changed:
		case <-deadline:
			return http.StatusOK, answer, era
		case <-r.Context().Done():
			return http.StatusOK, answer, era
		}
	}
}
