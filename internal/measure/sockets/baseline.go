package sockets

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/upstream/wire"
)

const (
	// relayBufferSize is the size in bytes of a bare relay's read buffer.
	relayBufferSize = 32 << 10
	// relayIdleConns is the limit of idle connections per engine. It lets a relay
	// keep connections for all its streams.
	relayIdleConns = 512
	// pollInterval is how often the least-connections baseline reads load reports.
	pollInterval = 100 * time.Millisecond
	// cancelTimeout bounds the cancellation of an abandoned request.
	cancelTimeout = time.Second
)

// bareRelay is a minimal net/http relay. It copies and flushes what it reads
// without inspecting the answer.
type bareRelay struct {
	// targets yields the engine address of the next request.
	targets <-chan string
	// slots bounds the requests at engines; the waiting senders of the channel are
	// the FIFO queue. Nil means no bound.
	slots     chan struct{}
	transport *http.Transport
}

func newBareRelay(targets <-chan string, slots int) *bareRelay {
	relay := &bareRelay{targets: targets, transport: &http.Transport{MaxIdleConnsPerHost: relayIdleConns, DisableCompression: true}}
	if slots > 0 {
		relay.slots = make(chan struct{}, slots)
	}
	return relay
}

// ServeHTTP implements http.Handler.
func (b *bareRelay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if b.slots != nil {
		select {
		case b.slots <- struct{}{}:
			defer func() { <-b.slots }()
		case <-r.Context().Done():
			return
		}
	}
	select {
	case target := <-b.targets:
		b.forward(w, r, target)
	case <-r.Context().Done():
	}
}

func (b *bareRelay) forward(w http.ResponseWriter, r *http.Request, target string) {
	// The body is read before the answer begins: the net/http server closes it at
	// the first flush, and a transport still reading it then aborts the answer.
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	outgoing, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+target+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	outgoing.Header = r.Header.Clone()
	id := setRequestID(outgoing.Header)
	response, err := b.transport.RoundTrip(outgoing)
	if err != nil {
		b.cancel(target, id)
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer response.Body.Close()
	w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
	w.WriteHeader(response.StatusCode)
	if err := copyFlushing(w, response.Body); err != nil {
		b.cancel(target, id)
		panic(http.ErrAbortHandler)
	}
}

func copyFlushing(w http.ResponseWriter, body io.Reader) error {
	control := http.NewResponseController(w)
	buffer := make([]byte, relayBufferSize)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
			if err := control.Flush(); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// cancel cancels a request at an engine, so that a baseline does not lose
// capacity to requests whose caller is gone.
func (b *bareRelay) cancel(target, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+target+wire.PathRequestsPrefix+id, nil)
	if err != nil {
		return
	}
	if response, err := b.transport.RoundTrip(request); err == nil {
		response.Body.Close()
	}
}

func setRequestID(header http.Header) string {
	var id core.RequestID
	for i := range id {
		id[i] = byte(rand.Uint32())
	}
	header.Set(wire.HeaderRequestID, id.String())
	return id.String()
}

// serveLoopback serves on a free loopback port.
func serveLoopback(handler http.Handler) (string, *http.Server, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: cancelTimeout}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), server, nil
}

// chooser sends engine addresses to a channel until ctx ends. It owns its state.
type chooser func(ctx context.Context, engines []string, targets chan<- string)

// chooseRoundRobin sends the engines in turn.
func chooseRoundRobin(ctx context.Context, engines []string, targets chan<- string) {
	for i := 0; ; i++ {
		select {
		case targets <- engines[i%len(engines)]:
		case <-ctx.Done():
			return
		}
	}
}

// chooseLeastLoaded sends the engine with the fewest requests in its last
// report. It starts at a random engine and takes the first of several equals.
func chooseLeastLoaded(ctx context.Context, engines []string, targets chan<- string) {
	counts := make([]int, len(engines))
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		best, fewest, start := "", math.MaxInt, rand.IntN(len(engines))
		for i := range engines {
			if k := (start + i) % len(engines); counts[k] < fewest {
				best, fewest = engines[k], counts[k]
			}
		}
		select {
		case targets <- best:
		case <-ticker.C:
			for i, engine := range engines {
				if count, err := reportedRequests(ctx, engine); err == nil {
					counts[i] = count
				}
			}
		case <-ctx.Done():
			return
		}
	}
}

func reportedRequests(ctx context.Context, engine string) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+engine+wire.PathLoad, nil)
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	var load wire.Load
	err = json.NewDecoder(response.Body).Decode(&load)
	return load.Running + load.Waiting, err
}

// baseline returns a variant with one bare relay per host of the layout. If
// queued, each relay has an equal part of the engines' slots and queues the rest.
func baseline(name string, choose chooser, queued bool) variant {
	return variant{name, func(_ context.Context, l *layout, d *deployment) error {
		engines := engineAddresses(d.fleet)
		hosts := l.zones * l.hostsPerZone
		slots := 0
		if queued {
			slots = max(1, l.engines*l.engine.MaxRunning/hosts)
		}
		for i := range hosts {
			ctx, cancel := context.WithCancel(context.Background())
			targets := make(chan string)
			offset := i % len(engines)
			go choose(ctx, append(append([]string(nil), engines[offset:]...), engines[:offset]...), targets)
			d.stops = append(d.stops, func() error { cancel(); return nil })
			address, server, err := serveLoopback(newBareRelay(targets, slots))
			if err != nil {
				return err
			}
			d.addresses = append(d.addresses, address)
			d.stops = append(d.stops, server.Close)
		}
		return nil
	}}
}

var (
	bareVariant             = baseline("bare-relay", chooseRoundRobin, false)
	roundRobinVariant       = baseline("round-robin-fifo", chooseRoundRobin, true)
	leastConnectionsVariant = baseline("least-connections", chooseLeastLoaded, false)
	overloadBaselines       = []variant{roundRobinVariant, leastConnectionsVariant}
)
