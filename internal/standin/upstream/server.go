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

// PathConnections is the path of the control request that silences or cuts
// connections: {"action": "silence"} or {"action": "cut"}.
const PathConnections = "/standin/connections"

const (
	// headerTimeout drops connections that never send a request.
	headerTimeout = 10 * time.Second
	// controlDelay lets the response to a control request be sent before its
	// own connection is silenced or cut.
	controlDelay = 20 * time.Millisecond
)

// Server is a task that serves a stand-in over HTTP. It owns the listener and
// the connections, and can silence or cut them.
type Server struct {
	listener *faultListener
	server   *http.Server
}

// Listen returns a server for the handler on a numeric IP address, for example
// 127.0.0.1:0. It accepts connections once its Run method runs.
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

// Run serves requests until ctx ends and then closes all connections.
func (s *Server) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() {
		_ = s.server.Close() // connections are closed in any case
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

// Silence drops all further data on established connections, in both
// directions and without closing them, like a firewall or NAT device that has
// lost their state. New connections work.
func (s *Server) Silence() {
	s.listener.startEpoch().silence()
}

// Cut closes all established connections. New connections work.
func (s *Server) Cut() {
	s.listener.startEpoch().cut()
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

// epoch holds the fault state of the connections that were accepted between two
// injected faults.
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

// startEpoch starts a new epoch and returns the previous one.
func (l *faultListener) startEpoch() *epoch {
	return l.current.Swap(newEpoch())
}

// Accept implements net.Listener.
func (l *faultListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	accepted := l.current.Load()
	unregister := context.AfterFunc(accepted.broken, func() {
		_ = conn.Close() // the connection is closed in any case
	})
	return &faultConn{Conn: conn, epoch: accepted, unregister: unregister}, nil
}

// faultConn is a connection that discards all data once it is silenced.
type faultConn struct {
	net.Conn
	epoch      *epoch
	unregister func() bool
}

// Read implements net.Conn. It discards data that arrives on a silenced
// connection.
func (c *faultConn) Read(buffer []byte) (int, error) {
	for {
		n, err := c.Conn.Read(buffer)
		if err != nil || !c.epoch.isSilent() {
			return n, err
		}
	}
}

// Write implements net.Conn. On a silenced connection it discards the data and
// reports success.
func (c *faultConn) Write(data []byte) (int, error) {
	if c.epoch.isSilent() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Close implements net.Conn.
func (c *faultConn) Close() error {
	c.unregister()
	return c.Conn.Close()
}
