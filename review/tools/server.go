package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in for a server of a service. Requests with Token-Counts are
// answered with a stream of events, the others with a short body.
type server struct {
	id, service, zone string
	// stride is the number of tokens in an event, eventTime the time for each.
	stride    int
	eventTime time.Duration
	// promptTime is how long the server reads a prompt before it works on the answer.
	promptTime time.Duration
	workTime   time.Duration
	slots      int
	log        *record

	mu      sync.Mutex
	address string
	version string
	born    int64
	http    *http.Server
	running atomic.Int64
	// silentUntil is until when the server writes nothing.
	silentUntil time.Time
	// ran counts the runs of each request, by its id.
	ran map[string]int
	// dropped counts the requests whose connection the caller closed during the work.
	dropped map[string]bool
	// limit is what the server names in Server-Limit, "" for nothing.
	limit string
}

func newServer(log *record, id, service, zone, version string) *server {
	return &server{id: id, service: service, zone: zone, version: version, stride: 7, eventTime: 30 * time.Millisecond,
		workTime: 30 * time.Millisecond, slots: 64, log: log, ran: map[string]int{}, dropped: map[string]bool{}}
}

// start starts the server, at the address that it had if it was started before.
func (s *server) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	address := s.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	check(err)
	s.address, s.born = listener.Addr().String(), time.Now().UnixMilli()
	s.http = &http.Server{Handler: s}
	s.log.line("server %s: starts at version %s", s.id, s.version)
	go func(h *http.Server) { _ = h.Serve(listener) }(s.http)
}

// crash ends the server: all its connections end and new ones are refused.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.line("server %s: ends", s.id)
	_ = s.http.Close()
}

// silence makes the server write nothing for a time; it goes on afterwards.
func (s *server) silence(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.line("server %s: silent for %s", s.id, d)
	s.silentUntil = time.Now().Add(d)
}

func (s *server) silentFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Until(s.silentUntil)
}

// entry is the server's row in the server list.
func (s *server) entry(state string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": s.version, "slots": s.slots, "state": state,
		"cold_left_ms": 0, "sequence": 1, "born": s.born, "stage": "unified",
		"models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
	}
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h := w.Header()
	h.Set("Instance-Id", s.id)
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d,100", s.running.Load(), s.slots))
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("Attempt-Id")
	h.Set("Attempt-Id", id)
	if s.limit != "" {
		h.Set("Server-Limit", s.limit)
	}
	if target := r.Header.Get("Target-Instance"); target != "" && target != s.id {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if int(s.running.Load()) >= s.slots {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.running.Add(1)
	defer s.running.Add(-1)
	s.mu.Lock()
	s.ran[id]++
	version := s.version
	s.mu.Unlock()
	s.log.line("server %s (version %s): runs %s, %s %s, tenant %s, tokens %s, last event %q", s.id, version, id, r.Method, r.URL.Path,
		r.Header.Get("Tenant"), r.Header.Get("Token-Counts"), r.Header.Get("Last-Event-Id"))
	h.Set("Server-Stamp", "stamp."+s.id+"."+id)
	if counts := r.Header.Get("Token-Counts"); counts != "" {
		s.stream(w, r, id, version, counts)
		return
	}
	time.Sleep(s.workTime)
	_, _ = fmt.Fprintf(w, "answer to %s, %d bytes in", id, len(body))
}

// stream sends the events after Last-Event-Id. All names the version and the request.
func (s *server) stream(w http.ResponseWriter, r *http.Request, id, version, counts string) {
	_, out, _ := strings.Cut(counts, ",")
	tokens, _ := strconv.Atoi(out)
	events := (tokens + s.stride - 1) / s.stride
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	time.Sleep(s.promptTime)
	for i := last + 1; i <= events; i++ {
		time.Sleep(s.eventTime)
		for rest := s.silentFor(); rest > 0; rest = s.silentFor() {
			time.Sleep(min(rest, 5*time.Millisecond))
		}
		if r.Context().Err() != nil {
			s.mu.Lock()
			s.dropped[id] = true
			s.mu.Unlock()
			s.log.line("server %s: the caller closed the connection of %s before event %d of %d", s.id, id, i, events)
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s %s\n\n", i, s.id, version, id); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}
