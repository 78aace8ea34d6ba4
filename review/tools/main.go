// Command tools has the stand-ins of the review's cases: a store, servers, clients and an
// operator, and plays one case against processes of the gateway.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"time"
)

func main() {
	cases := map[string]func(){"prepaid-drill": prepaidDrill, "silent-server": silentServer, "restarted-server": restartedServer, "take-ups": takeUps, "long-bodies": longBodies}
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "give one of the cases")
		os.Exit(unable)
	}
	cases[os.Args[1]]()
}

// prepaidDrill: tenants are created and use their balances for some seconds. One gateway of
// six is killed, and the store comes back from a copy of before as it starts again. That is
// played three times, each with new tenants.
func prepaidDrill() {
	w := newWorld()
	const rounds, tenants, prepaid, in, out = 3, 8, 300_000, 6610, 385
	lima := sheet{memoryMB: 134, slack: 58}
	zones := []string{"lima-a", "lima-b", "lima-c"}
	for i, zone := range zones {
		w.addServer(fmt.Sprintf("i-%d", i+1), "models", zone, "v1").eventTime = 8 * time.Millisecond
	}
	routes := []any{route("binder", "/binder/", "streaming", "models", 12000, 1000, 500, 1, false)}
	list := []any{tenant("old", "key-old", 2_000_000)}
	w.store.put("op", "config", config(1, 7, 64, 402228, routes, list...))
	w.addGateways(lima, append(zones, zones...)...)
	time.Sleep(3 * time.Second)

	var names []string
	for round := range rounds {
		backup := w.store.copy()
		w.log.line("operator: version %d adds %d tenants, prepaid %d each", round+2, tenants, prepaid)
		for i := range tenants {
			name := fmt.Sprintf("new%d-%d", round+1, i+1)
			names = append(names, name)
			list = append(list, tenant(name, "key-"+name, prepaid))
		}
		withNew := config(round+2, 7, 64, 402228, routes, list...)
		w.store.put("op", "config", withNew)
		time.Sleep(500 * time.Millisecond)
		for i := range 4 * tenants {
			w.startClient(request{method: "POST", host: "shop.example", path: "/binder/1", key: "key-" + names[round*tenants+i%tenants], in: in, out: out,
				part: "5c1e07a2", budget: 12 * time.Second}, 100*time.Millisecond, w.anyGateway)
		}
		time.Sleep(5500 * time.Millisecond)
		if trouble() {
			w.drill(w.gateways[0], &backup, withNew)
		}
		time.Sleep(12 * time.Second)
		w.stopClients()
		w.stop = make(chan struct{})
	}

	consumed := map[string]int{}
	for _, c := range w.calls.all {
		if w.ranAnywhere(c.id) {
			consumed[c.key] += in + min(7*c.events, out)
		}
	}
	overspent, most := 0, 0
	for _, name := range names {
		got := consumed["key-"+name]
		w.log.line("tenant %s: got %d of %d prepaid tokens", name, got, prepaid)
		most = max(most, got)
		if got > prepaid {
			overspent++
		}
	}
	w.store.logLedgers()
	if overspent > 0 {
		w.finish(1, "%d of %d tenants got more than the %d tokens that they prepaid, at most %d", overspent, len(names), prepaid, most)
	}
	w.finish(0, "no tenant got more than %d tokens, of %d prepaid", most, prepaid)
}

// drill lets the store be away for a second and come back from a copy. A gateway is killed
// at its beginning, and starts again at its end. The operator and the servers write again.
func (w *world) drill(killed *gateway, from *copyOf, configuration map[string]any) {
	w.store.leave()
	killed.signal(syscall.SIGKILL)
	killed.wait()
	time.Sleep(time.Second)
	w.store.back(from)
	w.log.line("operator: writes its configuration again; the servers write their rows again")
	w.store.put("op", "config", configuration)
	for _, s := range w.servers {
		w.list(s, "ready")
	}
	killed.start()
}

// silentServer: a sound server falls silent for 1.2 s while its streams run, after a
// SIGHUP of a gateway. Only the clients of that gateway are judged.
func silentServer() {
	w := newWorld()
	lima := sheet{memoryMB: 134, slack: 58}
	zones := []string{"lima-a", "lima-b", "lima-c"}
	for i, zone := range zones {
		w.addServer(fmt.Sprintf("i-%d", i+1), "models", zone, "v1")
	}
	newer := w.addServer("i-4", "models", "lima-a", "v2")
	for _, s := range w.servers {
		s.eventTime = 60 * time.Millisecond
	}
	routes := []any{route("quote", "/quote/", "streaming", "models", 12000, 500, 500, 2, true)}
	w.store.put("op", "config", config(1, 7, 64, 402228, routes, tenant("shop", "key-shop", 20_000_000)))
	w.addGateways(lima, append(zones, "lima-a")...)
	time.Sleep(3 * time.Second)
	signalled := w.gateways[0]
	for i := range 30 {
		at := signalled
		if i%3 == 2 {
			at = w.gateways[1+i/3%3]
		}
		w.startClient(request{method: "POST", host: "shop.example", path: "/quote/1", key: "key-shop", in: 826, out: 292, part: "91bd3f06", budget: 12 * time.Second},
			100*time.Millisecond, func() *gateway { return at })
	}
	time.Sleep(8 * time.Second)
	signalled.signal(syscall.SIGHUP)
	hup := time.Now()
	time.Sleep(500 * time.Millisecond)
	if trouble() {
		newer.silence(1200 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	w.stopClients()

	cut, whole := 0, 0
	for _, c := range w.calls.all {
		switch {
		case c.whole:
			whole++
		case c.gateway == signalled && c.status == 200 && c.err != nil && c.ended.After(hup) && c.sent.Before(hup.Add(2*time.Second)) && w.droppedByGateway(c.id):
			cut++
		}
	}
	w.log.line("%d streams whole; %d cut by %s while their server was at work", whole, cut, signalled.name)
	if cut > 0 {
		w.finish(1, "%d streams were cut by a gateway while their server was at work, %d whole", cut, whole)
	}
	w.finish(0, "no stream was cut, %d whole", whole)
}

// droppedByGateway reports whether a server saw its caller close the connection of a
// request that it was working on.
func (w *world) droppedByGateway(id string) bool {
	for _, s := range w.servers {
		s.mu.Lock()
		dropped := s.dropped[id]
		s.mu.Unlock()
		if dropped {
			return true
		}
	}
	return false
}

// restartedServer: while the store is away, a server that works on nothing ends and starts
// again under its id, with newer software. It then falls silent for a second.
func restartedServer() {
	w := newWorld()
	lima := sheet{memoryMB: 134, slack: 58}
	zones := []string{"lima-a", "lima-b", "lima-c"}
	for i := range 6 {
		w.addServer(fmt.Sprintf("i-%d", i+1), "models", zones[i%3], "v1")
	}
	routes := []any{route("quote", "/quote/", "streaming", "models", 12000, 500, 500, 2, true)}
	for _, s := range w.servers {
		s.eventTime = 50 * time.Millisecond
	}
	w.store.put("op", "config", config(1, 7, 64, 402228, routes, tenant("shop", "key-shop", 20_000_000)))
	w.addGateways(lima, zones...)
	time.Sleep(3 * time.Second)
	startClients := func(count int) {
		for range count {
			part := fmt.Sprintf("%08x", rand.Uint32())
			w.startClient(request{method: "POST", host: "shop.example", path: "/quote/1", key: "key-shop", in: 826, out: 292, part: part, budget: 12 * time.Second},
				100*time.Millisecond, w.anyGateway)
		}
	}
	startClients(4)
	time.Sleep(5 * time.Second)
	restarted := w.servers[0]
	if trouble() {
		w.store.leave()
		time.Sleep(300 * time.Millisecond)
		restarted = w.idleServer()
		restarted.crash()
		time.Sleep(300 * time.Millisecond)
		restarted.mu.Lock()
		restarted.version = "v2"
		restarted.mu.Unlock()
		restarted.start()
		go w.list(restarted, "ready")
	}
	startClients(20)
	time.Sleep(2 * time.Second)
	restarted.silence(1200 * time.Millisecond)
	time.Sleep(1400 * time.Millisecond)
	if trouble() {
		w.store.back(nil)
	}
	time.Sleep(5 * time.Second)
	w.stopClients()

	mixed, whole := 0, 0
	for _, c := range w.calls.all {
		if c.whole {
			whole++
		}
		if len(c.versions) > 1 {
			mixed++
		}
	}
	w.log.line("%d streams whole, %d with events of two versions", whole, mixed)
	if mixed > 2 {
		w.finish(1, "%d streams hold events of two software versions, %d whole", mixed, whole)
	}
	w.finish(0, "%d streams hold events of two software versions, %d whole", mixed, whole)
}

// idleServer waits for a server that works on nothing and returns it.
func (w *world) idleServer() *server {
	for deadline := time.Now().Add(300 * time.Millisecond); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		for _, s := range w.servers {
			if s.running.Load() == 0 {
				return s
			}
		}
	}
	w.finish(unable, "no server is idle")
	return nil
}
