package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
)

// PathConnections is the control request that silences or cuts connections:
// {"action": "silence"} or {"action": "cut"}.
const PathConnections = "/standin/connections"

const (
	// headerTimeout drops connections that never send a request.
	headerTimeout = 10 * time.Second
	// controlDelay lets the answer to a control request leave before its own
	// connection is silenced or cut.
	controlDelay = 20 * time.Millisecond
)

// Server is a stand-in's task that owns its listener and connections, which it
// can silence or cut.
type Server struct {
	listener *faultListener
	server   *http.Server
}

// Listen returns a server of the handler at an address with an IP number, for
// example 127.0.0.1:0. It accepts connections once its Run method runs.
func Listen(address string, handler http.Handler) (*Server, error) {
	inner, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s; choose a free address: %w", address, err)
	}
	s := &Server{listener: newFaultListener(inner)}
	router := mux.NewRouter().UseEncodedPath().SkipClean(true)
	router.HandleFunc(PathConnections, s.serveConnections).Methods(http.MethodPut)
	router.PathPrefix("/").Handler(handler)
	s.server = &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout}
	return s, nil
}

// Run serves until ctx ends and then breaks all connections.
func (s *Server) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() {
		_ = s.server.Close() // connections are broken whatever it returns
	})
	defer stop()
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		panic(fmt.Errorf("serve stand-in: %w", err))
	}
}

// Address returns host:port.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Silence makes all established connections silent for good, in both
// directions, as when a device on the way loses their state. New connections
// work.
func (s *Server) Silence() {
	s.listener.next().silence()
}

// Cut breaks all established connections. New connections work.
func (s *Server) Cut() {
	s.listener.next().cut()
}

func (s *Server) serveConnections(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Action string `json:"action"`
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&body); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	switch body.Action {
	case "silence":
		time.AfterFunc(controlDelay, s.Silence)
	case "cut":
		time.AfterFunc(controlDelay, s.Cut)
	default:
		refuse(w, http.StatusBadRequest, "action: use silence or cut")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// epoch is the fate that connections accepted in one period share.
type epoch struct {
	silent  context.Context
	silence context.CancelFunc
	broken  context.Context
	cut     context.CancelFunc
}

func newEpoch() *epoch {
	e := &epoch{}
	e.silent, e.silence = context.WithCancel(context.Background())
	e.broken, e.cut = context.WithCancel(context.Background())
	return e
}

func (e *epoch) isSilent() bool {
	return e.silent.Err() != nil
}

// faultListener accepts connections that can be silenced or cut.
type faultListener struct {
	net.Listener
	current atomic.Pointer[epoch]
}

func newFaultListener(inner net.Listener) *faultListener {
	l := &faultListener{Listener: inner}
	l.current.Store(newEpoch())
	return l
}

// next starts a new epoch and returns the one before.
func (l *faultListener) next() *epoch {
	return l.current.Swap(newEpoch())
}

// Accept implements net.Listener.
func (l *faultListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	accepted := l.current.Load()
	release := context.AfterFunc(accepted.broken, func() {
		_ = conn.Close() // the connection is broken whatever it returns
	})
	return &faultConn{Conn: conn, epoch: accepted, release: release}, nil
}

// faultConn is a connection that swallows all data once it is silent.
type faultConn struct {
	net.Conn
	epoch   *epoch
	release func() bool
}

// Read implements net.Conn. Data that arrives on a silent connection is
// dropped.
func (c *faultConn) Read(buffer []byte) (int, error) {
	for {
		n, err := c.Conn.Read(buffer)
		if err != nil || !c.epoch.isSilent() {
			return n, err
		}
	}
}

// Write implements net.Conn. A silent connection pretends to send.
func (c *faultConn) Write(data []byte) (int, error) {
	if c.epoch.isSilent() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Close implements net.Conn.
func (c *faultConn) Close() error {
	c.release()
	return c.Conn.Close()
}
