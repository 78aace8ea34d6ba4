package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request as it reached a server.
type arrival struct {
	At      time.Time
	Server  string
	From    string
	Request *http.Request
	Body    []byte
	Ran     bool
}

// server is a stand-in for one of the platform's servers.
type server struct {
	id, service, software, address string
	zone                           string
	born                           int64
	slots                          int
	state                          string
	store                          *store
	w                              *world
	// work answers a request that names this server. It returns false to close the
	// connection.
	work func(c *exchange) bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	sequence atomic.Int64
	beat     chan struct{}
	// beatAt is the time of the latest heartbeat.
	beatAt time.Time
}

// exchange is one request at a server.
type exchange struct {
	*server
	conn    net.Conn
	request *http.Request
	body    []byte
	id      string
	arrived time.Time
}

func (s *server) entry() map[string]any {
	return map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": s.software, "slots": s.slots,
		"state": s.state, "cold_left_ms": 0, "sequence": s.sequence.Add(1), "born": s.born,
	}
}

// start listens; the address is kept from an earlier start.
func (s *server) start() {
	address := s.address
	if address == "" {
		address = freeAddress()
	}
	var listener net.Listener
	var err error
	for range 200 {
		if listener, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	check(err)
	s.mu.Lock()
	s.listener, s.conns = listener, map[net.Conn]bool{}
	s.address, s.born, s.state = listener.Addr().String(), time.Now().UnixMilli(), "ready"
	s.mu.Unlock()
	s.sequence.Store(0)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[conn] = true
			s.mu.Unlock()
			go s.serve(conn)
		}
	}()
}

// register writes the entry now and each heartbeat.
func (s *server) register() {
	stop := make(chan struct{})
	s.mu.Lock()
	s.beat, s.beatAt = stop, time.Now()
	s.mu.Unlock()
	s.store.put("servers", s.id, s.entry())
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(heartbeat):
				s.mu.Lock()
				s.beatAt = time.Now()
				s.mu.Unlock()
				s.store.put("servers", s.id, s.entry())
			}
		}
	}()
}

// heartbeat is the interval of a server's heartbeats.
const heartbeat = 1200 * time.Millisecond

// cutOff cuts the server off from the store, which removes its entry after three heartbeat
// intervals of silence. It stays so until register is called, which must be later.
func (s *server) cutOff() {
	s.silence()
	s.mu.Lock()
	expiry := s.beatAt.Add(3 * heartbeat)
	s.mu.Unlock()
	time.AfterFunc(time.Until(expiry), func() {
		s.store.remove("servers", s.id)
		s.w.log("the store removes the entry of %s", s.id)
	})
}

// silence ends the heartbeats.
func (s *server) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.beat != nil {
		close(s.beat)
		s.beat = nil
	}
}

// crash ends the server: its connections are reset and new ones are refused.
func (s *server) crash() {
	s.silence()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
		s.listener = nil
	}
	for conn := range s.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	s.conns = map[net.Conn]bool{}
}

func (s *server) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		e := &exchange{server: s, conn: conn, request: request, body: body, id: request.Header.Get("Attempt-Id"), arrived: time.Now()}
		if request.URL.Path == "/api/report" {
			text := fmt.Sprintf(`{"stage":"unified","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,"active":0,"kv_used":0,"kv_total":400000,"handles":0,"state":"ready","born":%d}`, s.born)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			continue
		}
		if request.Header.Get("Target-Instance") != "" && request.Header.Get("Target-Instance") != s.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", e.id)
			continue
		}
		if !s.work(e) {
			return
		}
	}
}

// ran records that the request runs here.
func (e *exchange) ran() { e.w.arrived(e, true) }

// rejected records that the request was turned away.
func (e *exchange) rejected() { e.w.arrived(e, false) }

func (e *exchange) head(status string, more ...string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nAttempt-Id: %s\r\nServer-Stamp: %s.%s\r\n%s", status, e.id, e.server.id, e.id, strings.Join(more, ""))
}

// complete answers with a body.
func (e *exchange) complete(body string, more ...string) bool {
	_, err := io.WriteString(e.conn, e.head("200 OK", more...)+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
	return err == nil
}

// stream answers with events up to last, pause apart.
func (e *exchange) stream(last int, pause time.Duration, more ...string) bool {
	from := 0
	if text := e.request.Header.Get("Last-Event-Id"); text != "" {
		from, _ = strconv.Atoi(text)
	}
	if _, err := io.WriteString(e.conn, e.head("200 OK", more...)+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return false
	}
	for i := from + 1; i <= last; i++ {
		time.Sleep(pause)
		event := fmt.Sprintf("id: %d\ndata: %s %s %d\n\n", i, e.server.id, e.software, i)
		if _, err := fmt.Fprintf(e.conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(e.conn, "0\r\n\r\n")
	return err == nil
}

// reject turns the request away as not run.
func (e *exchange) reject(more ...string) bool {
	e.rejected()
	_, err := io.WriteString(e.conn, fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\n%sContent-Length: 0\r\n\r\n", e.id, strings.Join(more, "")))
	return err == nil
}
