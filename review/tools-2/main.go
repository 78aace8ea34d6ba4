// Command tools-2 plays the scripted cases of the second review: it starts gateways as
// separate processes, with stand-ins for the platform's store, servers and clients.
package main

import (
	"fmt"
	"math/rand"
	"os"
	"sync"
	"time"
)

const host = "app.example"

var cases = map[string]func(*world) []string{
	"part": deadlyPart, "versions": versions, "public": publicRequest, "events": deadlyPartWithEvents, "limit": namedLimit, "recovery": recovery,
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: tools-2 CASE, in the folder of the case")
		os.Exit(2)
	}
	play, found := cases[os.Args[1]]
	if !found {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(2)
	}
	w := newWorld("record.txt")
	w.log("disruption: %v", w.trouble)
	broken := play(w)
	for _, line := range broken {
		w.log("BROKEN: %s", line)
		fmt.Println("broken:", line)
	}
	w.log("end, %d rules broken", len(broken))
	cleanup()
	if len(broken) > 0 {
		os.Exit(1)
	}
	fmt.Println("held")
}

// route returns a route of the configuration.
func route(name, service, kind string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "path_prefix": "/" + name + "/", "service": service, "route_type": kind,
		"max_attempts": 2, "timeout_ms": 12000, "target_latency_ms": 500, "priority": 1,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// engine is the service of the model servers.
var engine = map[string]any{
	"name": "llm", "max_connections": 370,
	"engine": map[string]any{"slots": 64, "kv_capacity_tokens": 402228, "stride": 7},
}

func (w *world) configure(routes []map[string]any, services []map[string]any) {
	w.configureTenants(routes, services, []map[string]any{{"name": "tenant-1", "api_keys": []string{key}}})
}

func (w *world) configureTenants(routes, services, tenants []map[string]any) {
	w.store.put("op", "config", map[string]any{
		"version": 1, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	})
	w.log("the configuration is acknowledged")
}

const key = "n2ctnfzs989anu6wsjnb"

func (w *world) addServer(id, service, zone string, slots int, work func(*exchange) bool) *server {
	s := &server{id: id, service: service, software: "v1", zone: zone, slots: slots, store: w.store, w: w, work: work}
	s.start()
	s.register()
	w.servers = append(w.servers, s)
	return s
}

// zoneOf spreads things over three zones.
func zoneOf(i int) string { return string(rune('a' + i%3)) }

// startGateways starts gateways in three zones at the same time.
func (w *world) startGateways(count int) {
	for i := range count {
		w.addGateway(fmt.Sprintf("edge-%s-%d", zoneOf(i), i/3+1), zoneOf(i)).start()
	}
	for _, g := range w.gateways {
		g.awaitReady()
	}
	time.Sleep(2 * time.Second)
}

// traffic sends requests at random times, perSecond on average, until stop is called,
// which waits for their ends.
func (w *world) traffic(perSecond float64, send func(g *gateway, r *rand.Rand)) (stop func()) {
	end := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		r := rand.New(rand.NewSource(time.Now().UnixNano()))
		for {
			select {
			case <-end:
				return
			case <-time.After(time.Duration(float64(time.Second) / perSecond * r.ExpFloat64())):
			}
			g, seed := w.gateways[r.Intn(len(w.gateways))], r.Int63()
			clients.Go(func() { send(g, rand.New(rand.NewSource(seed))) })
		}
	})
	return func() {
		close(end)
		clients.Wait()
	}
}

// generation returns the header of a request for a model server.
func (w *world) generation(prefix, counts string) map[string]string {
	return map[string]string{
		"Model": "m", "Token-Counts": counts, "Prompt-Prefix": prefix, "Time-Budget": "12000", "Authorization": "Bearer " + key,
	}
}

// tally counts outcomes.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

func (t *tally) add(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = map[string]int{}
	}
	t.counts[fmt.Sprintf(format, args...)]++
}

func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprint(t.counts)
}
