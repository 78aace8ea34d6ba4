package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		cleanup()
		os.Exit(2)
	}
}

var (
	cleanups  []func()
	cleanupMu sync.Mutex
)

func onCleanup(f func()) {
	cleanupMu.Lock()
	cleanups = append(cleanups, f)
	cleanupMu.Unlock()
}

func cleanup() {
	cleanupMu.Lock()
	defer cleanupMu.Unlock()
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	cleanups = nil
}

// world is what a case plays with.
type world struct {
	store    *store
	gateways []*gateway
	servers  []*server
	trouble  bool
	dir      string
	began    time.Time
	record   *bufio.Writer
	mu       sync.Mutex
	arrivals []arrival
	ids      atomic.Int64
}

func newWorld(record string) *world {
	// No case goes on for longer than the limit, and none leaves a process behind.
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stopped:
		case <-time.After(115 * time.Second):
		}
		check(errors.New("stopped before the end"))
	}()
	dir, err := os.MkdirTemp("", "review")
	check(err)
	file, err := os.Create(record)
	check(err)
	w := &world{store: newStore(), trouble: os.Getenv("TROUBLE") != "0", dir: dir, began: time.Now(), record: bufio.NewWriter(file)}
	onCleanup(func() {
		w.mu.Lock()
		_ = w.record.Flush()
		w.mu.Unlock()
		_ = os.RemoveAll(dir)
	})
	return w
}

// log writes a line to the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) arrived(e *exchange, ran bool) {
	w.mu.Lock()
	w.arrivals = append(w.arrivals, arrival{At: e.arrived, Server: e.server.id, From: e.conn.RemoteAddr().String(), Request: e.request, Body: e.body, Ran: ran})
	w.mu.Unlock()
	verb := "runs"
	if !ran {
		verb = "turns away"
	}
	w.log("server %s (%s) %s %s %s %s, %d bytes", e.server.id, e.software, verb, e.id, e.request.Method, e.request.RequestURI, len(e.body))
}

func (w *world) seen() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]arrival(nil), w.arrivals...)
}

// gatewayProgram is the program of the deploy file, from a case's folder.
const gatewayProgram = "../../target/peridotreel"

// gateway is a process of the deploy file.
type gateway struct {
	w                           *world
	name, zone                  string
	front, ready, peers, metric string
	process                     *exec.Cmd
	done                        chan struct{}
}

// nextPort is the next port that this run gives out, below those that the system gives to
// outgoing connections. Runs beside each other have different ones.
var nextPort = 12000 + os.Getpid()%180*100

// freeAddress returns a loopback address that this run has not given out before.
func freeAddress() string {
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		nextPort++
		if listener, err := net.Listen("tcp", address); err == nil {
			listener.Close()
			return address
		}
	}
	check(errors.New("no free port"))
	return ""
}

func (w *world) addGateway(name, zone string) *gateway {
	g := &gateway{w: w, name: name, zone: zone, front: freeAddress(), ready: freeAddress(), peers: freeAddress(), metric: freeAddress()}
	w.gateways = append(w.gateways, g)
	return g
}

// startAgain starts a gateway whose process has ended at once with other addresses, as
// another process may have taken a port in the meantime.
func (g *gateway) startAgain() {
	g.front, g.ready, g.peers, g.metric = freeAddress(), freeAddress(), freeAddress(), freeAddress()
	g.start()
}

func (g *gateway) start() {
	path := filepath.Join(g.w.dir, g.name+".yaml")
	text := fmt.Sprintf("host: %q\nzone: %q\nlisten:\n  callers: %q\n  ready: %q\n  peers: %q\n  metrics: %q\nstore: %q\nmemory_mb: 134\ndescriptors: 4100\nlink_mbps: 1000\ngrace: \"8s\"\nretry:\n  ratio: 0.2\n  slack: 58\n  window: \"10s\"\nlog:\n  level: info\n",
		g.name, g.zone, g.front, g.ready, g.peers, g.metric, g.w.store.address)
	check(os.WriteFile(path, []byte(text), 0o600))
	cmd := exec.Command(gatewayProgram, "gateway")
	cmd.Env = append(os.Environ(), "PERIDOTREEL_SETTINGS="+path)
	out, err := os.OpenFile(filepath.Join(g.w.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	cmd.Stdout, cmd.Stderr = out, out
	check(cmd.Start())
	done := make(chan struct{})
	g.process, g.done = cmd, done
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(done)
	}()
	onCleanup(func() {
		select {
		case <-done:
		default:
			_ = cmd.Process.Signal(syscall.SIGCONT)
			_ = cmd.Process.Kill()
			<-done
		}
	})
	g.w.log("gateway %s starts, process %d", g.name, cmd.Process.Pid)
}

func (g *gateway) signal(sig syscall.Signal) {
	g.w.log("gateway %s gets %v", g.name, sig)
	_ = g.process.Process.Signal(sig)
}

func (g *gateway) kill() {
	g.signal(syscall.SIGKILL)
	<-g.done
}

// running reports whether the process has not ended.
func (g *gateway) running() bool {
	select {
	case <-g.done:
		return false
	default:
		return true
	}
}

func (g *gateway) awaitReady() {
	client, restarts := http.Client{Timeout: 500 * time.Millisecond}, 0
	for range 200 {
		response, err := client.Get("http://" + g.ready + "/api/ready")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				g.w.log("gateway %s is ready", g.name)
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
		if !g.running() && restarts < 3 {
			restarts++
			g.startAgain()
		}
	}
	output, _ := os.ReadFile(filepath.Join(g.w.dir, g.name+".log"))
	g.w.log("output of gateway %s: %s", g.name, output[:min(len(output), 3000)])
	check(fmt.Errorf("gateway %s does not become ready", g.name))
}

// answer is what a client got.
type answer struct {
	status  int
	header  http.Header
	body    string
	err     error
	ended   bool
	took    time.Duration
	attempt string
}

func (w *world) newID() string {
	return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, w.ids.Add(1))
}

// call sends one client attempt over a new connection.
func (w *world) call(g *gateway, method, host, path string, body []byte, header map[string]string) answer {
	a := answer{attempt: header["Attempt-Id"]}
	if a.attempt == "" {
		a.attempt = w.newID()
	}
	began := time.Now()
	conn, err := net.DialTimeout("tcp", g.front, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(began.Add(20 * time.Second))
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\n", method, path, host, a.attempt)
	names := make([]string, 0, len(header))
	for name := range header {
		if name != "Attempt-Id" {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(&out, "%s: %s\r\n", name, header[name])
	}
	if len(body) > 0 || method == "POST" {
		fmt.Fprintf(&out, "Content-Length: %d\r\n", len(body))
	}
	out.WriteString("\r\n")
	out.Write(body)
	if _, err = conn.Write(out.Bytes()); err != nil {
		a.err = err
		return a
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		a.err, a.took = err, time.Since(began)
		w.log("client: %s at %s gets no answer: %v", a.attempt, g.name, err)
		return a
	}
	content, err := io.ReadAll(response.Body)
	a.status, a.header, a.body, a.err, a.ended, a.took = response.StatusCode, response.Header, string(content), err, err == nil, time.Since(began)
	w.log("client: %s %s at %s gets %d after %d ms, %d bytes, error %v, retry after %s", a.attempt, path, g.name, a.status, a.took.Milliseconds(), len(content), err, response.Header.Get("Retry-After"))
	return a
}

func lastEvent(body string) (id string, count int) {
	for _, event := range strings.Split(body, "\n\n") {
		if text, found := strings.CutPrefix(event, "id: "); found && strings.Contains(event, "data:") {
			line, _, _ := strings.Cut(text, "\n")
			if _, err := strconv.Atoi(line); err == nil {
				id = line
				count++
			}
		}
	}
	return id, count
}
