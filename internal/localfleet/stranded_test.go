package localfleet_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/client"
	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/localfleet"
	standin "github.com/peridotreel/peridotreel/internal/standin/upstream"
	"github.com/peridotreel/peridotreel/internal/upstream"
)

// cutMode is what happens to the connections of a host to upstreams.
type cutMode uint8

const (
	notCut cutMode = iota
	// refusing resets open connections and refuses new ones.
	refusing
	// hanging leaves open connections without data and new ones without an answer.
	hanging
)

// uplinks are the links of one host to all upstreams.
type uplinks struct {
	mutex sync.Mutex
	mode  cutMode
	// opened counts the connections set up since the last change of the mode.
	opened int
	open   map[*uplinkConn]bool
}

func newUplinks() *uplinks { return &uplinks{open: make(map[*uplinkConn]bool)} }

// dialFor returns the function for localfleet.Config that gives the links to some hosts.
func (u *uplinks) dialFor(hosts ...core.HostID) func(core.HostID) upstream.DialFunc {
	return func(name core.HostID) upstream.DialFunc {
		if !slices.Contains(hosts, name) {
			return nil
		}
		return u.dial
	}
}

func (u *uplinks) dial(ctx context.Context, network, address string) (net.Conn, error) {
	switch u.current() {
	case refusing:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	case hanging:
		<-ctx.Done()
		return nil, ctx.Err()
	case notCut:
	}
	var dialer net.Dialer
	opened, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	conn := &uplinkConn{Conn: opened, closed: make(chan struct{})}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.open[conn] = true
	u.opened++
	return conn, nil
}

func (u *uplinks) current() cutMode {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.mode
}

// setMode cuts the links or joins them again. Connections of before a cut never deliver
// again.
func (u *uplinks) setMode(mode cutMode) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.mode, u.opened = mode, 0
	for conn := range u.open {
		switch mode {
		case refusing:
			_ = conn.Close()
		case hanging:
			conn.hang()
		case notCut:
		}
	}
	clear(u.open)
}

// openedSince returns how many connections were set up since the last change of the mode.
func (u *uplinks) openedSince() int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.opened
}

// uplinkConn is a connection that may fall silent.
type uplinkConn struct {
	net.Conn
	mutex  sync.Mutex
	silent bool
	once   sync.Once
	closed chan struct{}
}

func (c *uplinkConn) hang() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.silent = true
}

func (c *uplinkConn) isSilent() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.silent
}

// Read implements net.Conn.
func (c *uplinkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *uplinkConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *uplinkConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// ask sends a request through a host and returns a description of its failure, "" if it
// was answered.
func (f *testFleet) ask(kind string, number int, address string) string {
	switch kind {
	case "streamed", "whole":
		request := client.Request{Model: model, Prompt: fmt.Sprintf("What is card %d worth?", number), MaxTokens: 8,
			Stream: kind == "streamed", IdempotencyKey: newKey()}
		answer, err := f.caller.Complete(f.ctx, address, request)
		expected := standin.ExpectedAnswer(model, []core.Message{{Role: "user", Content: request.Prompt}}, 8)
		switch {
		case err != nil:
			return fmt.Sprintf("%s %d: %v", kind, number, err)
		case answer.Text != expected.Text:
			return fmt.Sprintf("%s %d: answer %q, expected %q", kind, number, answer.Text, expected.Text)
		}
		f.answered[core.KeyedRequestID(teamName, request.IdempotencyKey).String()] = core.Tokens(answer.PromptTokens + answer.GeneratedTokens)
		return ""
	}
	method, path := http.MethodPost, "/ledger/payouts"
	if kind == "repeatable call" {
		method, path = http.MethodGet, "/ledger/balance"
	}
	status, _, err := f.caller.Call(f.ctx, address, method, path, newKey(), []byte(`{"amount":5}`))
	if err != nil || status != http.StatusOK {
		return fmt.Sprintf("%s %d: status %d, %v", kind, number, status, err)
	}
	return ""
}

var strandedKinds = []string{"streamed", "whole", "repeatable call", "call"}

// askAll sends some requests of each kind one after the other and returns the failures.
func (f *testFleet) askAll(address string) []string {
	failures := []string{}
	for number := range 3 {
		for _, kind := range strandedKinds {
			if failure := f.ask(kind, number, address); failure != "" {
				failures = append(failures, failure)
			}
		}
	}
	return failures
}

// repeatedCalls returns the calls of the ledger that ran more than once.
func (f *testFleet) repeatedCalls() []string {
	repeated := []string{}
	for key, runs := range f.ledgerRuns() {
		if runs > 1 {
			repeated = append(repeated, fmt.Sprintf("%s ran %d times", key, runs))
		}
	}
	return repeated
}

// Guards against a host that loses its links to all engines and services, while callers,
// the platform and the other hosts reach it, and that refuses its callers for that.
func TestAHostWithoutLinksAnswersThroughOthers(t *testing.T) {
	for _, mode := range []struct {
		name string
		mode cutMode
	}{{"are reset and refused", refusing}, {"hang", hanging}} {
		Convey("The connections of one host to all upstreams "+mode.name, t, func() {
			links := newUplinks()
			f := start(3, 1, func(config *localfleet.Config) { config.DialUpstream = links.dialFor("zone-a-1") })
			address := f.Hosts[0].CallerAddress()
			So(f.askAll(address), ShouldBeEmpty)
			links.setMode(mode.mode)
			So(f.askAll(address), ShouldBeEmpty)
			So(f.askAll(f.Hosts[1].CallerAddress()), ShouldBeEmpty)
			So(links.openedSince(), ShouldEqual, 0)
			links.setMode(notCut)
			f.waitUntil("the host sets up connections itself again", func() bool { return links.openedSince() > 0 })
			So(f.askAll(address), ShouldBeEmpty)
			f.waitUntil("requests go on the host's own connections", func() bool {
				before := links.openedSince()
				return f.ask("call", 0, address) == "" && links.openedSince() > before
			})
			So(f.repeatedCalls(), ShouldBeEmpty)
			f.drainAll()
			So(f.checkBills(), ShouldBeEmpty)
		})
	}
}

// Guards against a request that is sent on, or held until its deadline, by a host that no
// other host can help.
func TestAHostWithoutLinksAndPeersRefuses(t *testing.T) {
	Convey("The only host of a fleet loses its links to all upstreams", t, func() {
		links := newUplinks()
		f := start(1, 1, func(config *localfleet.Config) { config.DialUpstream = links.dialFor("zone-a-1") })
		address := f.Hosts[0].CallerAddress()
		So(f.askAll(address), ShouldBeEmpty)
		runs := len(f.ledgerRuns())
		links.setMode(refusing)
		for number := range 3 {
			_, err := f.caller.Complete(f.ctx, address, client.Request{Model: model, Prompt: "What?", MaxTokens: 8, Stream: number%2 == 0, IdempotencyKey: newKey()})
			var typed *client.Error
			So(errors.As(err, &typed), ShouldBeTrue)
			So(typed.Run, ShouldEqual, "not_run")
			So(typed.Status, ShouldEqual, http.StatusServiceUnavailable)
			code, run := f.sendPayout(address, newKey())
			So([]string{code, run}, ShouldResemble, []string{"no_upstream", "not_run"})
		}
		So(len(f.ledgerRuns()), ShouldEqual, runs)
		links.setMode(notCut)
		f.waitUntil("the host answers again", func() bool { return f.ask("call", 0, address) == "" })
		f.waitUntil("the host answers completions again", func() bool { return f.ask("streamed", 0, address) == "" })
		So(f.askAll(address), ShouldBeEmpty)
		So(f.repeatedCalls(), ShouldBeEmpty)
		f.drainAll()
		So(f.checkBills(), ShouldBeEmpty)
	})
}

// Guards against streams that end with the links of their host, and against answers that
// are run or billed twice then.
func TestStreamsGoOnThroughOthersWhenTheirHostLosesItsLinks(t *testing.T) {
	for _, mode := range []struct {
		name string
		mode cutMode
	}{{"are reset and refused", refusing}, {"hang", hanging}} {
		Convey("During streams, the connections of one host to all upstreams "+mode.name, t, func() {
			const requests = 8
			links := newUplinks()
			f := start(3, 1, func(config *localfleet.Config) { config.DialUpstream = links.dialFor("zone-a-1") })
			address := f.Hosts[0].CallerAddress()
			results := runConcurrently(requests, func(number int) result { return f.complete(number, 300, address) })
			f.waitUntil("streams are in progress", func() bool { return f.generatedTokens() > requests*20 })
			links.setMode(mode.mode)
			answers := collect(results)
			So(f.record(answers...), ShouldBeEmpty)
			So(links.openedSince(), ShouldEqual, 0)
			links.setMode(notCut)
			f.drainAll()
			So(f.checkBills(), ShouldBeEmpty)
		})
	}
}

// Guards against a tunnel through a host that is cut off itself.
func TestTwoOfThreeHostsWithoutLinks(t *testing.T) {
	Convey("Two of three hosts lose their links to all upstreams", t, func() {
		links := newUplinks()
		f := start(3, 1, func(config *localfleet.Config) { config.DialUpstream = links.dialFor("zone-a-1", "zone-b-1") })
		links.setMode(refusing)
		f.waitUntil("both hosts know that they are cut off and answer", func() bool {
			return len(f.askAll(f.Hosts[0].CallerAddress())) == 0 && len(f.askAll(f.Hosts[1].CallerAddress())) == 0
		})
		for range 3 {
			So(f.askAll(f.Hosts[0].CallerAddress()), ShouldBeEmpty)
			So(f.askAll(f.Hosts[1].CallerAddress()), ShouldBeEmpty)
		}
		So(links.openedSince(), ShouldEqual, 0)
		So(f.repeatedCalls(), ShouldBeEmpty)
		f.drainAll()
		So(f.checkBills(), ShouldBeEmpty)
	})
}
