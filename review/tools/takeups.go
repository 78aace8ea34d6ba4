package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// takeUps: streams begin at two software versions while the store is away, and all
// gateways are killed as it comes back. Clients take their streams up again.
func takeUps() {
	w := newWorld()
	lima := sheet{memoryMB: 134, slack: 58}
	zones := []string{"lima-a", "lima-b", "lima-c"}
	for i := range 6 {
		w.addServer(fmt.Sprintf("i-%d", i+1), "models", zones[i%3], []string{"v1", "v2"}[i/3]).eventTime = 90 * time.Millisecond
	}
	routes := []any{route("quote", "/quote/", "streaming", "models", 12000, 500, 500, 2, true)}
	w.store.put("op", "config", config(1, 7, 64, 402228, routes, tenant("shop", "key-shop", 20_000_000)))
	w.addGateways(lima, zones...)
	time.Sleep(3 * time.Second)
	fresh := request{method: "POST", host: "shop.example", path: "/quote/1", key: "key-shop", in: 826, out: 770, part: "91bd3f06", budget: 12 * time.Second}
	// A few requests before, as a team without any has little to spend in an outage.
	for range 6 {
		w.startClient(request{method: "POST", host: "shop.example", path: "/quote/1", key: "key-shop", in: 826, out: 70, part: "91bd3f06", budget: 12 * time.Second},
			200*time.Millisecond, w.anyGateway)
	}
	time.Sleep(8 * time.Second)

	if trouble() {
		w.store.leave()
	}
	time.Sleep(500 * time.Millisecond)
	var mu sync.Mutex
	var inTouch time.Time // when the gateways have run for contact_ms
	tried, wentOn := 0, 0
	var clients sync.WaitGroup
	for range 24 {
		time.Sleep(80 * time.Millisecond)
		clients.Go(func() {
			c := newClient(w.log)
			first := c.send(w.anyGateway(), fresh)
			if first.whole || first.events == 0 {
				return
			}
			// The first try comes at once; the others follow as the gateways are back.
			for _, wait := range []time.Duration{200 * time.Millisecond, 2 * time.Second, 2500 * time.Millisecond} {
				time.Sleep(wait)
				again := fresh
				again.lastEvent, again.resumes, again.budget = first.lastID, first.id, 12*time.Second-time.Since(first.sent)
				next := c.send(w.anyGateway(), again)
				mu.Lock()
				counted := !inTouch.IsZero() && next.sent.After(inTouch)
				if counted {
					tried++
				}
				if next.events > 0 {
					if counted {
						wentOn++
					}
					mu.Unlock()
					return
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(time.Second)
	for _, g := range w.gateways {
		g.signal(syscall.SIGKILL)
	}
	for _, g := range w.gateways {
		g.wait()
	}
	if trouble() {
		w.store.back(nil)
	}
	time.Sleep(500 * time.Millisecond)
	for _, g := range w.gateways {
		g.start()
	}
	if !awaitReady(w.gateways, 10*time.Second) {
		w.finish(unable, "the gateways did not get ready again")
	}
	mu.Lock()
	inTouch = time.Now().Add(3 * time.Second)
	mu.Unlock()
	clients.Wait()
	time.Sleep(4 * time.Second)
	w.stopClients()
	begun, asked := 0, 0
	for _, c := range w.calls.all {
		if c.sent.After(inTouch) {
			asked++
			if c.events > 0 {
				begun++
			}
		}
	}
	w.log.line("in touch: %d of %d streams that were taken up went on, %d of %d new streams began", wentOn, tried, begun, asked)
	if tried >= 12 && asked > 0 && 2*wentOn*asked < begun*tried {
		w.finish(1, "%d of %d streams that were taken up went on, %d of %d new streams began", wentOn, tried, begun, asked)
	}
	w.finish(0, "%d of %d streams that were taken up went on, %d of %d new streams began", wentOn, tried, begun, asked)
}
