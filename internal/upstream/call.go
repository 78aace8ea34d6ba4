package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/fault"
	"github.com/peridotreel/peridotreel/internal/filter/attempt"
	"github.com/peridotreel/peridotreel/internal/upstream/wire"
)

// Call implements attempt.Upstreams. It returns the service's answer whatever
// its status, unless the answer states that the call did not run.
func (c *Client) Call(ctx context.Context, request attempt.Request) (*core.ServiceAnswer, error) {
	call := request.Work.Call.Service
	if call == nil {
		return nil, fault.Refuse(fault.Internal, "the work is not a call to a plain service")
	}
	outgoing, err := http.NewRequestWithContext(ctx, call.Method, callURL(request.Target, call), bytes.NewReader(call.Body))
	if err != nil {
		return nil, fault.Refuse(fault.InvalidRequest, "the path or method can't be sent; correct it").WithCause(err)
	}
	setCallHeaders(outgoing, request)
	response, err := c.send(outgoing, request.Target, request.NewConnection)
	if errors.Is(context.Cause(ctx), attempt.ErrAnsweredOnNewConnection) {
		c.DropIdleConnections()
	}
	if err != nil {
		return nil, err
	}
	if refusedBeforeRun(response) {
		return nil, refusalError(response)
	}
	return readServiceAnswer(response)
}

func callURL(target core.Target, call *core.ServiceCall) string {
	url := "http://" + target.Address + "/" + strings.TrimPrefix(call.Path, "/")
	if call.Query != "" {
		url += "?" + call.Query
	}
	return url
}

func setCallHeaders(outgoing *http.Request, request attempt.Request) {
	work := request.Work
	outgoing.Header.Set(wire.HeaderRequestID, work.ID.String())
	outgoing.Header.Set(wire.HeaderAttempt, strconv.Itoa(request.Attempt))
	if work.Call.IdempotencyKey != "" {
		outgoing.Header.Set(wire.HeaderIdempotencyKey, work.Call.IdempotencyKey)
	}
	if work.Call.Service.ContentType != "" {
		outgoing.Header.Set("Content-Type", work.Call.Service.ContentType)
	}
}

func readServiceAnswer(response *http.Response) (*core.ServiceAnswer, error) {
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, fault.New(fault.UpstreamFailed, fault.Unknown,
			"the service's answer broke off; look the result up before a retry").WithCause(err)
	}
	if len(body) > maxAnswerBytes {
		return nil, fault.New(fault.UpstreamFailed, fault.Ran,
			"the service's answer exceeds %d bytes; ask for less", maxAnswerBytes)
	}
	if len(body) == 0 && !framed(response) && response.StatusCode < http.StatusMultipleChoices {
		// A service that stops within its answer's head may still end it, without the length.
		return nil, fault.New(fault.UpstreamFailed, fault.Unknown,
			"the service's answer has neither a length nor a body; look the result up before a retry")
	}
	return &core.ServiceAnswer{
		Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body,
	}, nil
}

// framed reports whether something other than the end of the connection tells where
// the response's body ends.
func framed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Body == http.NoBody
}
