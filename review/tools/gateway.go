package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// gateway is a process of the deploy file, "target/peridotreel gateway".
type gateway struct {
	name, zone     string
	callers, ready string
	settings       string
	log            *record
	output         *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
	// done is closed when the process has ended.
	done chan struct{}
}

// sheet has the figures of a site's settings.
type sheet struct {
	memoryMB, slack int
}

// freeAddress returns an address below the ports that the system gives to outgoing
// connections, which could take it before the gateway listens there.
func freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", 20_000+rand.IntN(12_000))
		listener, err := net.Listen("tcp", address)
		if err == nil {
			check(listener.Close())
			return address
		}
	}
}

// newGateway writes the settings of a gateway in the form of deploy/settings.yaml.tmpl.
func newGateway(log *record, folder, name, zone, store string, s sheet) *gateway {
	g := &gateway{name: name, zone: zone, callers: freeAddress(), ready: freeAddress(), settings: filepath.Join(folder, name+".yaml"), log: log}
	text := fmt.Sprintf(`host: %q
zone: %q
listen:
  callers: %q
  ready: %q
  peers: %q
  metrics: %q
store: %q
memory_mb: %d
descriptors: 4100
grace: "8s"
retry:
  ratio: 0.2
  slack: %d
  window: "10s"
log:
  level: info
`, name, zone, g.callers, g.ready, freeAddress(), freeAddress(), store, s.memoryMB, s.slack)
	check(os.WriteFile(g.settings, []byte(text), 0o600))
	var err error
	g.output, err = os.Create(filepath.Join(folder, name+".log"))
	check(err)
	return g
}

func (g *gateway) start() {
	g.mu.Lock()
	defer g.mu.Unlock()
	cmd := exec.Command(os.Getenv("GATEWAY"), "gateway")
	cmd.Env = append(os.Environ(), "PERIDOTREEL_SETTINGS="+g.settings)
	cmd.Stdout, cmd.Stderr = g.output, g.output
	check(cmd.Start())
	done := make(chan struct{})
	g.cmd, g.done = cmd, done
	g.log.line("gateway %s: started", g.name)
	go func() {
		_ = cmd.Wait()
		g.log.line("gateway %s: ended, %s", g.name, cmd.ProcessState)
		close(done)
	}()
}

// signal sends a signal to the process.
func (g *gateway) signal(signal syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.log.line("gateway %s: %s", g.name, signal)
	_ = g.cmd.Process.Signal(signal)
}

// wait waits until the process has ended.
func (g *gateway) wait() {
	g.mu.Lock()
	done := g.done
	g.mu.Unlock()
	<-done
}

// end kills the process if it still runs.
func (g *gateway) end() {
	g.mu.Lock()
	cmd := g.cmd
	g.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		g.wait()
	}
}

func (g *gateway) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + g.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all gateways are ready; it reports false after a time.
func awaitReady(gateways []*gateway, limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, g := range gateways {
			ready = ready && g.isReady()
		}
		if ready {
			return true
		}
	}
	return false
}

// record is record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	check(err)
	return &record{file: file, start: time.Now()}
}

func (r *record) line(format string, args ...any) {
	var out bytes.Buffer
	fmt.Fprintf(&out, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(&out, format, args...)
	out.WriteByte('\n')
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.Write(out.Bytes())
}

// unable is the exit status of a case that could not run.
const unable = 2

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unable)
	}
}
