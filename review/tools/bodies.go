package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// watchMemory does what DEPLOY.md says of the platform: a process that exceeds memory_mb is
// killed, and started again after a short delay.
func (w *world) watchMemory(g *gateway, limitMB int, kills *atomic.Int64) {
	peak := 0
	for {
		select {
		case <-w.stop:
			w.log.line("gateway %s: at most %d kB", g.name, peak)
			return
		case <-time.After(10 * time.Millisecond):
		}
		g.mu.Lock()
		pid := g.cmd.Process.Pid
		g.mu.Unlock()
		used := residentKB(pid)
		peak = max(peak, used)
		if used <= limitMB*1024 {
			continue
		}
		w.log.line("platform: %s uses %d kB, more than %d MB, and is killed", g.name, used, limitMB)
		kills.Add(1)
		g.signal(syscall.SIGKILL)
		g.wait()
		time.Sleep(300 * time.Millisecond)
		g.start()
	}
}

// residentKB returns the memory of a process that this program started.
func residentKB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb
		}
	}
	return 0
}

// upload sends one request with a long body at a bounded rate on a connection that has
// served a request before. It reports whether the connection ended without any answer.
func (w *world) upload(g *gateway, size, perSecond int, path, key string) (id string, unanswered bool) {
	id = newID()
	conn, err := net.Dial("tcp", g.callers)
	if err != nil {
		return id, false
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	head := func(id string, length int) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\nAuthorization: Bearer %s\r\nTime-Budget: 12000\r\nModel: m\r\n"+
			"Token-Counts: 660,70\r\nPrompt-Prefix: 5c1e07a2:160,%s:500\r\nContent-Length: %d\r\n\r\n", path, id, key, id[1:], length)
	}
	read := func() error {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
	_ = conn.SetDeadline(time.Now().Add(14 * time.Second))
	if _, err := io.WriteString(conn, head(newID(), 0)); err != nil || read() != nil {
		return id, false
	}
	_, err = io.WriteString(conn, head(id, size))
	part := make([]byte, perSecond/100)
	for sent := 0; err == nil && sent < size; sent += len(part) {
		_, err = conn.Write(part[:min(len(part), size-sent)])
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		w.log.line("client: %s, %d bytes: the connection ended during the upload: %v", id, size, err)
		return id, false
	}
	_, err = reader.Peek(1)
	w.log.line("client: %s, %d bytes sent whole, answer begins: %v", id, size, err == nil)
	if err != nil {
		return id, true
	}
	_ = read()
	return id, false
}

// longBodies: clients send bodies that the configuration allows, at the usual rate.
func longBodies() {
	w := newWorld()
	const memoryMB, perSecond = 134, 6
	size := 72_000
	if trouble() {
		size = 4_000_000
	}
	for i, zone := range []string{"lima-a", "lima-b", "lima-c"} {
		s := w.addServer(fmt.Sprintf("i-%d", i+1), "models", zone, "v1")
		s.promptTime, s.eventTime = 300*time.Millisecond, 100*time.Millisecond
	}
	routes := []any{route("binder", "/binder/", "streaming", "models", 12000, 1000, 500, 1, false)}
	w.store.put("op", "config", config(1, 7, 64, 402228, routes, tenant("shop", "key-shop", 20_000_000)))
	w.addGateways(sheet{memoryMB: memoryMB, slack: 58}, "lima-a", "lima-b", "lima-c")
	time.Sleep(3 * time.Second)
	var kills atomic.Int64
	for _, g := range w.gateways {
		go w.watchMemory(g, memoryMB, &kills)
	}
	var mu sync.Mutex
	var uploads sync.WaitGroup
	lost, all := 0, 0
	// Two of the three gateways get what a burst of 1.7 times the usual may bring them.
	for i := range 2 * perSecond * 30 {
		g := w.gateways[i%2]
		uploads.Go(func() {
			id, unanswered := w.upload(g, size, 1_000_000, "/binder/1", "key-shop")
			mu.Lock()
			defer mu.Unlock()
			all++
			if unanswered && w.ranAnywhere(id) {
				lost++
			}
		})
		time.Sleep(time.Second / (2 * perSecond))
	}
	uploads.Wait()
	w.stopClients()
	time.Sleep(50 * time.Millisecond)
	w.log.line("%d kills for memory; of %d requests, %d were passed on and their connection ended without an answer", kills.Load(), all, lost)
	if lost > 3 {
		w.finish(1, "%d kills for memory, %d of %d requests were passed on and got no answer", kills.Load(), lost, all)
	}
	w.finish(0, "%d kills for memory, %d of %d requests were passed on and got no answer", kills.Load(), lost, all)
}
