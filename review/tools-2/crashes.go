package main

import (
	"fmt"
	"io"
	"math/rand"
	"strings"
	"sync"
	"time"
)

const (
	// contact is contact_ms of the site.
	contact = 3 * time.Second
	// downTime is how long a server is down after a crash ("some seconds").
	downTime = 2 * time.Second
	// deadly requests are sent so far apart that the server is back before the next.
	deadlyInterval = 4 * time.Second
	deadlyCount    = 14
)

// crashLog has the times at which deadly requests reached servers and crashed them.
type crashLog struct {
	mu               sync.Mutex
	crashed, reached []time.Time
	by               map[string]int
}

func (c *crashLog) reach() {
	c.mu.Lock()
	c.reached = append(c.reached, time.Now())
	c.mu.Unlock()
}

// crash ends a server, which starts again under its id.
func (c *crashLog) crash(s *server) {
	c.mu.Lock()
	c.crashed = append(c.crashed, time.Now())
	if c.by == nil {
		c.by = map[string]int{}
	}
	c.by[s.id]++
	c.mu.Unlock()
	s.w.log("server %s crashes", s.id)
	s.crash()
	time.AfterFunc(downTime, func() {
		s.start()
		s.register()
		s.w.log("server %s is back", s.id)
	})
}

// lateAfter returns how many deadly requests reached servers later than contact after
// crash number n.
func (c *crashLog) lateAfter(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashed) < n {
		return 0
	}
	late := 0
	for _, at := range c.reached {
		if at.Sub(c.crashed[n-1]) > contact {
			late++
		}
	}
	return late
}

// deadlyID is the part of prompts that crashes servers.
const deadlyID = "5c1e07a2"

func deadlyPart(w *world) []string { return partCase(w, 0) }

func deadlyPartWithEvents(w *world) []string { return partCase(w, 2) }

// partCase plays requests with a part that crashes each server which begins to write an
// answer on it, after some events.
func partCase(w *world, events int) []string {
	var crashes crashLog
	w.configure([]map[string]any{route("appraisal", "llm", "streaming", map[string]any{"gap_target_ms": 500, "max_attempts": 1, "target_latency_ms": 1000})},
		[]map[string]any{engine})
	for i := range 9 {
		w.addServer(fmt.Sprintf("i-%d", i), "llm", zoneOf(i), 64, func(e *exchange) bool {
			e.ran()
			time.Sleep(120 * time.Millisecond)
			if !strings.Contains(e.request.Header.Get("Prompt-Prefix"), deadlyID) {
				return e.stream(20, 50*time.Millisecond)
			}
			crashes.reach()
			_, _ = io.WriteString(e.conn, e.head("200 OK")+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
			for n := 1; n <= events; n++ {
				event := fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, e.server.id, n)
				_, _ = fmt.Fprintf(e.conn, "%x\r\n%s\r\n", len(event), event)
				time.Sleep(10 * time.Millisecond)
			}
			crashes.crash(e.server)
			return false
		})
	}
	w.startGateways(6)
	var outcomes tally
	send := func(g *gateway, part, kind string) {
		id := w.newID()
		a := w.call(g, "POST", host, "/appraisal/2f", []byte("binder "+id), w.generation(fmt.Sprintf("91bd3f06:512,%s:4870,%s:6610", part, id), "11992,380"))
		outcomes.add("%s %d whole=%v", kind, a.status, a.ended)
	}
	stop := w.traffic(20, func(g *gateway, r *rand.Rand) { send(g, fmt.Sprintf("e44%05x", r.Intn(72)), "sound") })
	time.Sleep(3 * time.Second)
	for range deadlyCount {
		if w.trouble {
			go send(w.gateways[rand.Intn(len(w.gateways))], deadlyID, "deadly")
		}
		time.Sleep(deadlyInterval)
	}
	stop()
	return crashes.verdict(w, &outcomes, 5)
}

func (c *crashLog) verdict(w *world, outcomes *tally, n int) []string {
	late := c.lateAfter(n)
	w.log("crashes by server: %v; outcomes: %v", c.by, outcomes)
	fmt.Printf("%d crashes by server %v; outcomes %v\n", len(c.crashed), c.by, outcomes)
	if late > 3 {
		return []string{fmt.Sprintf("BUDGET: %d such requests reached servers later than contact_ms after crash %d; three are allowed", late, n)}
	}
	return nil
}

// publicRequest plays a request without a key, sent again and again from one zone, that
// crashes each server which runs it.
func publicRequest(w *world) []string {
	var crashes crashLog
	w.configure([]map[string]any{route("offer", "ledger", "non_idempotent", map[string]any{"public": true, "timeout_ms": 1500, "target_latency_ms": 150, "max_attempts": 1})},
		[]map[string]any{{"name": "ledger", "max_connections": 110}})
	for i := range 3 {
		w.addServer(fmt.Sprintf("i-%d", i), "ledger", zoneOf(i), 6, func(e *exchange) bool {
			e.ran()
			if string(e.body) == "deadly offer" {
				crashes.reach()
				time.Sleep(20 * time.Millisecond)
				crashes.crash(e.server)
				return false
			}
			time.Sleep(30 * time.Millisecond)
			return e.complete("recorded")
		})
	}
	w.startGateways(6)
	var outcomes tally
	send := func(g *gateway, body, kind string) {
		a := w.call(g, "POST", host, "/offer/2f", []byte(body), map[string]string{"Time-Budget": "1500"})
		outcomes.add("%s %d", kind, a.status)
	}
	stop := w.traffic(16, func(g *gateway, r *rand.Rand) { send(g, fmt.Sprintf("offer %x", r.Int63()), "sound") })
	time.Sleep(3 * time.Second)
	for range deadlyCount {
		if w.trouble {
			// The platform sends the caller to any machine of its zone.
			g := w.gateways[3*rand.Intn(2)]
			go send(g, "deadly offer", "deadly")
		}
		time.Sleep(deadlyInterval)
	}
	stop()
	return crashes.verdict(w, &outcomes, 3)
}
