package localfleet_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/client"
	"github.com/peridotreel/peridotreel/internal/localfleet"
)

// Limits for stopping that are shorter than the requests of these tests, which last until
// their deadline, 10 s after they arrived. longStop leaves time to send some.
const (
	shortStop = 4 * time.Second
	longStop  = 8 * time.Second
	// afterBalancerWait is longer than a stopping host of a local fleet waits for its load
	// balancer, and shorter than the time that longStop leaves to serve.
	afterBalancerWait = time.Second
)

// withoutEnd makes upstreams answer later than any deadline.
func withoutEnd(config *localfleet.Config) {
	const step = time.Hour
	for i := range config.Engines {
		config.Engines[i].Settings.StepTime = step
	}
	config.Services[0].Settings.Delay = step
}

// stopWithin stops a host and returns the function that waits for the end.
func (f *testFleet) stopWithin(limit time.Duration, running *localfleet.RunningHost) (wait func() error) {
	ended := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(f.ctx, limit)
		defer cancel()
		ended <- running.Drain(ctx)
	}()
	return func() error { return <-ended }
}

// outcome describes how a request ended: with the code and run state of an error, or
// with the reason why there is no answer.
func outcome(err error) string {
	var typed *client.Error
	if errors.As(err, &typed) {
		return fmt.Sprintf("%d %s %s", typed.Status, typed.Code, typed.Run)
	}
	return fmt.Sprint(err)
}

// Guards against closing callers' connections without an answer at the end of a planned
// stop, also those of calls that must not be repeated.
func TestAHostAnswersUnfinishedRequestsBeforeItEnds(t *testing.T) {
	Convey("Given requests that are not finished when a host ends", t, func() {
		f := start(1, 1, withoutEnd)
		host := f.running()[0]
		outcomes := make(chan string, 3)
		for _, stream := range []bool{true, false} {
			key := newKey()
			go func() {
				_, err := f.caller.Complete(f.ctx, host.CallerAddress(), client.Request{
					Model: model, Prompt: "What?", MaxTokens: 20, Stream: stream, IdempotencyKey: key,
				})
				outcomes <- outcome(err)
			}()
			f.waitUntil("the engine has the request", func() bool { return f.hasRun(key) })
		}
		payout := newKey()
		go func() {
			_, _, err := f.caller.Call(f.ctx, host.CallerAddress(), http.MethodPost, "/ledger/payouts", payout, []byte(`{}`))
			outcomes <- outcome(err)
		}()
		f.waitUntil("the ledger has the call", func() bool { return f.ledgerRuns()[payout] > 0 })
		So(f.stopWithin(shortStop, host)(), ShouldNotBeNil)
		for range cap(outcomes) {
			So(<-outcomes, ShouldEqual, "502 upstream_failed unknown")
		}
	})
}

// heldRequest is a request of which a host has read the head and waits for the body.
type heldRequest struct {
	connection net.Conn
	reader     *bufio.Reader
}

// heldBody is the body of held requests.
const heldBody = `{"model":"` + model + `","messages":[{"role":"user","content":"What?"}]}`

func hold(host *localfleet.RunningHost, path, key string) *heldRequest {
	connection, err := net.Dial("tcp", host.CallerAddress())
	So(err, ShouldBeNil)
	Reset(func() { _ = connection.Close() })
	_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\nExpect: 100-continue\r\n\r\n",
		path, callerKey, key, len(heldBody))
	So(err, ShouldBeNil)
	held := &heldRequest{connection, bufio.NewReader(connection)}
	So(held.outcome(), ShouldStartWith, "100")
	return held
}

func (r *heldRequest) sendBody() {
	_, err := io.WriteString(r.connection, heldBody)
	So(err, ShouldBeNil)
}

// outcome returns the status, the code and the run state of the next answer.
func (r *heldRequest) outcome() string {
	response, err := http.ReadResponse(r.reader, nil)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	var body struct {
		Error struct{ Code, Run string }
	}
	_ = json.NewDecoder(response.Body).Decode(&body) // interim answers have no body
	return fmt.Sprintf("%d %s %s", response.StatusCode, body.Error.Code, body.Error.Run)
}

// Guards against a host that takes a request late in a planned stop which it can't
// finish, and then cuts it off.
func TestAStoppingHostTakesNoRequestThatMayOutlastIt(t *testing.T) {
	Convey("Given requests that arrive after the start of a stop, and may last longer", t, func() {
		f := start(1, 1, withoutEnd)
		host := f.running()[0]
		completion, payout := newKey(), newKey()
		requests := []*heldRequest{hold(host, "/v1/chat/completions", completion), hold(host, "/services/ledger/payouts", payout)}
		wait := f.stopWithin(longStop, host)
		f.waitUntil("the host is stopping", func() bool { return host.Ready() != nil })
		for _, request := range requests {
			request.sendBody()
			So(request.outcome(), ShouldEqual, "503 host_draining not_run")
		}
		So(wait(), ShouldBeNil)
		So(f.hasRun(completion), ShouldBeFalse)
		So(f.ledgerRuns()[payout], ShouldEqual, 0)
	})
}

// Guards against closing a caller's connection without an answer while a body is still
// read from it at the end of a planned stop.
func TestAHostRefusesRequestsThatAreStillReadBeforeItEnds(t *testing.T) {
	Convey("Given requests whose bodies have not arrived when a host ends", t, func() {
		f := start(1, 1)
		host := f.running()[0]
		requests := []*heldRequest{hold(host, "/v1/chat/completions", newKey()), hold(host, "/services/ledger/payouts", newKey())}
		So(f.stopWithin(shortStop, host)(), ShouldNotBeNil)
		for _, request := range requests {
			So(request.outcome(), ShouldEqual, "503 host_draining not_run")
		}
	})
}

// keep opens a connection and returns a function that sends a request over it, and
// returns the status, and whether the answer ends the connection.
func keep(host *localfleet.RunningHost) (listModels func() (status int, last bool, err error)) {
	connection, err := net.Dial("tcp", host.CallerAddress())
	So(err, ShouldBeNil)
	Reset(func() { _ = connection.Close() })
	reader := bufio.NewReader(connection)
	return func() (status int, last bool, err error) {
		_, err = io.WriteString(connection, "GET /v1/models HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+callerKey+"\r\n\r\n")
		So(err, ShouldBeNil)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return 0, false, err
		}
		_, _ = io.Copy(io.Discard, response.Body)
		return response.StatusCode, response.Close, response.Body.Close()
	}
}

// Guards against closing a kept connection while the host still runs for other requests,
// although its caller was not told: its next request got no answer.
func TestAStoppingHostServesKeptConnectionsUntilItsLastRequestEnds(t *testing.T) {
	Convey("Given a kept connection to a host that stops, and a request in progress", t, func() {
		f := start(1, 1)
		host := f.running()[0]
		listModels := keep(host)
		_, last, err := listModels()
		So(err, ShouldBeNil)
		So(last, ShouldBeFalse)
		held := hold(host, "/services/ledger/payouts", newKey())
		wait := f.stopWithin(longStop, host)
		f.waitUntil("the host is stopping", func() bool { return host.Ready() != nil })
		time.Sleep(afterBalancerWait)
		status, last, err := listModels()
		So(err, ShouldBeNil)
		So(status, ShouldEqual, http.StatusOK)
		So(last, ShouldBeTrue)
		held.sendBody()
		So(held.outcome(), ShouldStartWith, "503 host_draining")
		So(wait(), ShouldBeNil)
	})
}

// Guards against closing kept connections at the start of a planned stop, while callers
// still use them: a request that crosses the close gets no answer, although net/http may
// have read it and passed it on.
func TestAStoppingHostServesKeptConnections(t *testing.T) {
	Convey("Given a kept connection to a host whose load balancer has not noticed the stop", t, func() {
		f := start(1, 1, func(config *localfleet.Config) { config.BalancerWait = time.Hour })
		host := f.running()[0]
		listModels := keep(host)
		_, last, err := listModels()
		So(err, ShouldBeNil)
		So(last, ShouldBeFalse)
		ctx, cancel := context.WithCancel(f.ctx)
		ended := make(chan error, 1)
		go func() { ended <- host.Drain(ctx) }()
		f.waitUntil("the host is stopping", func() bool { return host.Ready() != nil })
		status, last, err := listModels()
		cancel()
		So(<-ended, ShouldNotBeNil)
		So(err, ShouldBeNil)
		So(status, ShouldEqual, http.StatusOK)
		So(last, ShouldBeTrue)
	})
}
