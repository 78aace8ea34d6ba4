package main

import (
	"fmt"
	"math/rand"
	"strings"
	"time"
)

// versions plays two of ten servers that are cut off from the store, and are started again
// behind the cut with another version of their software.
func versions(w *world) []string {
	w.configure([]map[string]any{route("quote", "llm", "streaming", map[string]any{"stream_resume": true, "gap_target_ms": 500})}, []map[string]any{engine})
	for i := range 10 {
		w.addServer(fmt.Sprintf("i-%d", i), "llm", zoneOf(i), 64, func(e *exchange) bool {
			e.ran()
			time.Sleep(100 * time.Millisecond)
			return e.stream(30, 100*time.Millisecond)
		})
	}
	w.startGateways(6)
	var outcomes tally
	stop := w.traffic(16, func(g *gateway, r *rand.Rand) {
		part := r.Intn(81)
		a := w.call(g, "POST", host, "/quote/2f", []byte("hello"), w.generation(fmt.Sprintf("aa%d:119,bb%d:79,%s:630", part%8, part, w.newID()), "828,210"))
		switch {
		case strings.Contains(a.body, " v1 ") && strings.Contains(a.body, " v2 "):
			outcomes.add("mixed")
			w.log("answer of two versions, attempt %s: %q", a.attempt, a.body)
		case a.status == 200 && a.ended:
			outcomes.add("whole")
		default:
			outcomes.add("other")
		}
	})
	time.Sleep(5 * time.Second)
	if w.trouble {
		w.restartBehindCut(w.servers[:2])
	}
	time.Sleep(6 * time.Second)
	stop()
	fmt.Println("outcomes", &outcomes)
	if mixed := outcomes.counts["mixed"]; mixed > 2 {
		return []string{fmt.Sprintf("ORDER: %d streams hold events of servers of two software versions, in one answer; two are allowed", mixed)}
	}
	return nil
}

// restartBehindCut cuts servers off from the store for 5 s. They crash, start again with
// version v2, crash once more, and are up again when the cut ends.
func (w *world) restartBehindCut(cut []*server) {
	began := time.Now()
	at := func(offset time.Duration, what string, do func(s *server)) {
		time.Sleep(time.Until(began.Add(offset)))
		for _, s := range cut {
			do(s)
			w.log("server %s %s", s.id, what)
		}
	}
	at(0, "is cut off from the store", (*server).cutOff)
	at(100*time.Millisecond, "crashes", (*server).crash)
	at(600*time.Millisecond, "starts again with version v2", func(s *server) {
		s.software = "v2"
		s.start()
	})
	at(3000*time.Millisecond, "crashes", (*server).crash)
	at(5000*time.Millisecond, "starts again and reaches the store", func(s *server) {
		s.start()
		s.register()
	})
}
