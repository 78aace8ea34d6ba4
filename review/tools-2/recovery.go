package main

import (
	"fmt"
	"math/rand"
	"sync"
	"time"
)

// recovery plays a kill of all machines at the moment at which the store goes away, to come
// back from a copy.
func recovery(w *world) []string {
	const (
		tenants  = 6
		prepaid  = 60_000
		in, out  = 100, 70
		copyAge  = 5 * time.Second
		downTime = 700 * time.Millisecond
		recover  = 12 * time.Second // recovery_s
	)
	var list []map[string]any
	for i := range tenants {
		list = append(list, map[string]any{"name": fmt.Sprintf("tenant-%d", i), "api_keys": []string{fmt.Sprintf("key-%d", i)}, "prepaid": prepaid})
	}
	w.configureTenants([]map[string]any{route("quote", "llm", "streaming", map[string]any{"stream_resume": true, "gap_target_ms": 500})}, []map[string]any{engine}, list)
	for i := range 6 {
		w.addServer(fmt.Sprintf("i-%d", i), "llm", zoneOf(i), 64, func(e *exchange) bool {
			e.ran()
			return e.stream(out/7, 20*time.Millisecond)
		})
	}
	w.startGateways(6)
	type result struct {
		sent   time.Time
		tenant int
		served bool
		spent  int
	}
	var mu sync.Mutex
	var results []result
	stop := w.traffic(30, func(g *gateway, r *rand.Rand) {
		tenant, sent := r.Intn(tenants), time.Now()
		header := w.generation(fmt.Sprintf("aa%d:20,%s:80", r.Intn(20), w.newID()), fmt.Sprintf("%d,%d", in, out))
		header["Authorization"] = fmt.Sprintf("Bearer key-%d", tenant)
		a := w.call(g, "POST", host, "/quote/2f", []byte("hello"), header)
		one := result{sent: sent, tenant: tenant, served: a.status == 200 && a.ended}
		if a.status == 200 {
			_, events := lastEvent(a.body)
			one.spent = in + 7*events
		}
		mu.Lock()
		results = append(results, one)
		mu.Unlock()
	})
	time.Sleep(20 * time.Second)
	backup := w.store.copy()
	time.Sleep(copyAge)
	fault, back := time.Now(), time.Now()
	if w.trouble {
		w.store.setDown(true)
		w.log("the store is away")
		for _, g := range w.gateways {
			g.kill()
		}
		time.Sleep(downTime)
		for _, g := range w.gateways {
			g.start()
		}
		time.Sleep(1200*time.Millisecond - downTime)
		w.store.returnTo(backup)
		w.store.setDown(false)
		w.log("the store is back from a copy that was made %v before it went away", copyAge)
		for _, s := range w.servers {
			w.store.put("servers", s.id, s.entry())
		}
		for _, g := range w.gateways {
			g.awaitReady()
		}
		back = time.Now()
	}
	time.Sleep(recover + 15*time.Second)
	stop()
	before, servedBefore, after, servedAfter, spent := 0, 0, 0, 0, [tenants]int{}
	for _, one := range results {
		spent[one.tenant] += one.spent
		switch {
		case one.sent.Before(fault) && fault.Sub(one.sent) < 10*time.Second:
			before++
			if one.served {
				servedBefore++
			}
		case one.sent.Sub(back) > recover:
			after++
			if one.served {
				servedAfter++
			}
		}
	}
	fmt.Printf("served in the 10 s before: %d of %d; later than recovery_s after the machines were back: %d of %d; spent by tenant %v of %d\n",
		servedBefore, before, servedAfter, after, spent, prepaid)
	if 4*servedBefore >= before && 4*servedAfter < after {
		return []string{fmt.Sprintf("RECOVER: %d of %d requests were served later than recovery_s after the machines were back; a quarter is the least", servedAfter, after)}
	}
	return nil
}
