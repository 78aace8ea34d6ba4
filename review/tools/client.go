package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// call is one attempt of a client.
type call struct {
	id      string
	gateway *gateway
	key     string
	sent    time.Time
	ended   time.Time
	status  int
	// events is the number of events received, versions the software versions that made
	// them, whole is true if the answer is complete.
	events   int
	lastID   string
	versions map[string]bool
	whole    bool
	err      error
	// retryAfter is what a refusal named.
	retryAfter time.Duration
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("a%015x", lastID.Add(1)) }

// client sends requests on kept connections to one gateway at a time.
type client struct {
	log  *record
	http http.Client
}

func newClient(log *record) *client {
	return &client{log: log, http: http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}}}
}

// request describes what a client sends.
type request struct {
	method, host, path, key string
	// in and out are the token counts, 0 for work that is not for a model.
	in, out int
	part    string
	budget  time.Duration
	// lastEvent and resumes are set to take up a stream.
	lastEvent, resumes string
}

// send sends one attempt to a gateway and reads the answer to its end.
func (c *client) send(g *gateway, q request) call {
	result := call{id: newID(), gateway: g, key: q.key, sent: time.Now(), versions: map[string]bool{}}
	r, err := http.NewRequest(q.method, "http://"+g.callers+q.path, strings.NewReader(strings.Repeat("x", 64)))
	check(err)
	r.Host = q.host
	r.Header.Set("Attempt-Id", result.id)
	r.Header.Set("Authorization", "Bearer "+q.key)
	r.Header.Set("Time-Budget", strconv.FormatInt(q.budget.Milliseconds(), 10))
	if q.in > 0 {
		r.Header.Set("Model", "m")
		r.Header.Set("Token-Counts", fmt.Sprintf("%d,%d", q.in, q.out))
		r.Header.Set("Prompt-Prefix", fmt.Sprintf("%s:%d,%s:%d", q.part, q.in/4, result.id[1:], q.in-q.in/4))
	}
	if q.lastEvent != "" {
		r.Header.Set("Last-Event-Id", q.lastEvent)
		r.Header.Set("Resumes", q.resumes)
	}
	c.read(&result, r, q)
	result.ended = time.Now()
	c.log.line("client: %s to %s, key %s, tokens %d,%d: status %d, %d events, versions %v, whole %v, after %.3f s, error %v", result.id, g.name, q.key, q.in, q.out,
		result.status, result.events, keys(result.versions), result.whole, result.ended.Sub(result.sent).Seconds(), result.err)
	return result
}

func (c *client) read(result *call, r *http.Request, q request) {
	c.http.Timeout = q.budget
	response, err := c.http.Do(r)
	if err != nil {
		result.err = err
		return
	}
	defer response.Body.Close()
	result.status = response.StatusCode
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		result.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	reader := bufio.NewReader(response.Body)
	inEvent := false
	for {
		line, err := reader.ReadString('\n')
		if id, found := strings.CutPrefix(line, "id: "); found {
			result.lastID, inEvent = strings.TrimSpace(id), true
		}
		if data, found := strings.CutPrefix(line, "data: "); found && inEvent {
			if fields := strings.Fields(data); len(fields) == 3 {
				result.versions[fields[1]] = true
			}
		}
		if line == "\n" && inEvent {
			result.events, inEvent = result.events+1, false
		}
		if err != nil {
			if err.Error() == "EOF" {
				result.whole = response.StatusCode < 300
			} else {
				result.err = err
			}
			return
		}
	}
}

func keys(set map[string]bool) string {
	var out []string
	for key := range set {
		out = append(out, key)
	}
	return strings.Join(out, "+")
}

// calls collects the results of all clients.
type calls struct {
	mu  sync.Mutex
	all []call
}

func (c *calls) add(one call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, one)
}
