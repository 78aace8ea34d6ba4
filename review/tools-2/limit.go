package main

import (
	"fmt"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"
)

// namedLimit plays a server in need whose entry expires while it is cut off from the
// store, and comes back.
func namedLimit(w *world) []string {
	const perSecond = 0.5
	var slow, inNeed atomic.Bool
	w.configure([]map[string]any{route("tag", "llm", "streaming", map[string]any{"gap_target_ms": 500, "max_attempts": 1})}, []map[string]any{engine})
	for i := range 5 {
		w.addServer(fmt.Sprintf("i-%d", i), "llm", zoneOf(i), 64, func(e *exchange) bool {
			e.ran()
			if i == 0 && slow.Load() {
				time.Sleep(time.Second)
				if inNeed.Load() {
					return e.stream(10, 30*time.Millisecond, fmt.Sprintf("Server-Limit: %v\r\n", perSecond))
				}
				return e.stream(10, 30*time.Millisecond)
			}
			time.Sleep(50 * time.Millisecond)
			return e.stream(30, 50*time.Millisecond)
		})
	}
	started := time.Now()
	w.startGateways(9)
	var mu sync.Mutex
	sentTo, passed := map[string]*gateway{}, map[*gateway]time.Time{}
	stop := w.traffic(60, func(g *gateway, r *rand.Rand) {
		header := w.generation(fmt.Sprintf("aa%d:568,%s:1800", r.Intn(40), w.newID()), "2368,210")
		header["Attempt-Id"] = w.newID()
		mu.Lock()
		sentTo[header["Attempt-Id"]] = g
		mu.Unlock()
		a := w.call(g, "POST", host, "/tag/2f", []byte("hello"), header)
		mu.Lock()
		defer mu.Unlock()
		if _, found := passed[g]; !found && a.header.Get("Server-Limit") != "" {
			passed[g] = time.Now()
		}
	})
	time.Sleep(3 * time.Second)
	slow.Store(true)
	time.Sleep(2 * time.Second)
	inNeed.Store(true)
	named, s := time.Now(), w.servers[0]
	w.log("server %s names a limit of %v requests a second from now on", s.id, perSecond)
	time.Sleep(time.Until(started.Add(15200 * time.Millisecond)))
	if w.trouble {
		s.cutOff()
		w.log("server %s is cut off from the store", s.id)
		time.Sleep(5 * time.Second)
		time.Sleep(heartbeat) // its next heartbeat comes at most so much later
		s.register()
		w.log("the entry of %s is back", s.id)
	}
	time.Sleep(8 * time.Second)
	stop()
	var counted []time.Time
	for _, a := range w.seen() {
		at, found := passed[sentTo[a.Request.Header.Get("Attempt-Id")]]
		if a.Server == s.id && found && a.At.Sub(at) >= 500*time.Millisecond && a.At.Sub(named) >= contact {
			counted = append(counted, a.At)
		}
	}
	most := 0
	for i, first := range counted {
		in := 0
		for _, at := range counted[i:] {
			if at.Sub(first) <= 4*time.Second {
				in++
			}
		}
		most = max(most, in)
	}
	allowed := 1.5*4*perSecond + 5
	fmt.Printf("%d machines had passed on the limit; at most %d requests in 4 s, %v are allowed\n", len(passed), most, allowed)
	if float64(most) > allowed {
		return []string{fmt.Sprintf("LIMIT: %d requests in 4 s, %v are allowed", most, allowed)}
	}
	return nil
}
