package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// world is a small deployment: a store, servers, gateways and an operator.
type world struct {
	log      *record
	folder   string
	store    *store
	servers  []*server
	gateways []*gateway
	calls    calls
	clients  sync.WaitGroup
	stop     chan struct{}
	ending   sync.Mutex
}

func newWorld() *world {
	folder, err := os.MkdirTemp("", "review")
	check(err)
	log := newRecord(filepath.Join(os.Getenv("CASE"), "record.txt"))
	log.line("trouble: %v", trouble())
	w := &world{log: log, folder: folder, store: newStore(log), stop: make(chan struct{})}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		w.finish(unable, "stopped from outside")
	}()
	return w
}

// trouble reports whether the disruption is to be played.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

func (w *world) addServer(id, service, zone, version string) *server {
	s := newServer(w.log, id, service, zone, version)
	s.start()
	w.servers = append(w.servers, s)
	w.list(s, "ready")
	return s
}

// list writes a server's row in the server list.
func (w *world) list(s *server, state string) { w.store.put("servers", s.id, s.entry(state)) }

// addGateways starts one gateway in each zone and waits until all are ready.
func (w *world) addGateways(s sheet, zones ...string) {
	for i, zone := range zones {
		g := newGateway(w.log, w.folder, fmt.Sprintf("edge-%s-%d", zone, i+1), zone, w.store.address, s)
		w.gateways = append(w.gateways, g)
		g.start()
	}
	if !awaitReady(w.gateways, 15*time.Second) {
		w.finish(unable, "the gateways did not get ready")
	}
}

// startClient runs a client until the world stops: it sends requests one after the other,
// each to a gateway drawn at random, and returns as a refusal says.
func (w *world) startClient(q request, pause time.Duration, pick func() *gateway) {
	w.clients.Go(func() {
		c := newClient(w.log)
		for {
			select {
			case <-w.stop:
				return
			default:
			}
			result := c.send(pick(), q)
			w.calls.add(result)
			wait := pause
			if result.status == 503 || result.status == 429 {
				wait = max(result.retryAfter, 50*time.Millisecond)
			} else if result.status == 0 || result.status == 402 {
				wait = 200 * time.Millisecond
			}
			select {
			case <-w.stop:
				return
			case <-time.After(wait):
			}
		}
	})
}

func (w *world) anyGateway() *gateway { return w.gateways[rand.IntN(len(w.gateways))] }

// stopClients lets all clients end after their request.
func (w *world) stopClients() {
	close(w.stop)
	w.clients.Wait()
}

// finish ends all processes, tells the result and exits.
func (w *world) finish(status int, format string, args ...any) {
	w.ending.Lock() // the first call ends the program
	for _, g := range w.gateways {
		g.end()
	}
	w.log.line("result %d: %s", status, fmt.Sprintf(format, args...))
	fmt.Printf("%d: %s\n", status, fmt.Sprintf(format, args...))
	if keep := os.Getenv("KEEP"); keep != "" {
		check(os.CopyFS(keep, os.DirFS(w.folder)))
	}
	_ = os.RemoveAll(w.folder)
	os.Exit(status)
}

// route is a route of the configuration.
func route(name, path, kind, service string, timeout, target, gap, attempts int, resume bool) map[string]any {
	return map[string]any{
		"name": name, "host": "shop.example", "path_prefix": path, "route_type": kind, "service": service, "timeout_ms": timeout,
		"target_latency_ms": target, "gap_target_ms": gap, "max_attempts": attempts, "stream_resume": resume, "priority": 1,
		"public": false, "session_affinity": true,
	}
}

// tenant is a tenant of the configuration, with one key.
func tenant(name, key string, prepaid int) map[string]any {
	return map[string]any{"name": name, "api_keys": []string{key}, "priority": 1, "prepaid": prepaid}
}

// config is a configuration with a model service and a ledger.
func config(version, stride, slots, capacity int, routes []any, tenants ...any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": "models", "health_path": "/health", "max_connections": 370, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": slots, "kv_capacity_tokens": capacity, "kv_token_bytes": 18432, "stride": stride, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": "ledger", "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	}
}

// ranAnywhere reports whether a server has run a request.
func (w *world) ranAnywhere(id string) bool {
	for _, s := range w.servers {
		s.mu.Lock()
		ran := s.ran[id] > 0
		s.mu.Unlock()
		if ran {
			return true
		}
	}
	return false
}
