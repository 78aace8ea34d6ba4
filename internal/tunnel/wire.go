// Package tunnel is the wire format of tunnels and what both of their ends do with
// sockets. A tunnel is a connection to a peer's listener over which a host that has lost
// its links to the upstreams of a service reaches one of them: the peer opens a TCP
// connection to the upstream and copies bytes both ways. The requester sends an opening,
// the peer an answer; what follows an answer with the status Opened is the upstream's.
//
//	opening: 0x00 "ptun" version length(2) JSON of Request
//	answer:  status(1) wait in milliseconds(4) length(1) reason
//
// Numbers are in network byte order.
package tunnel

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// FirstByte begins every tunnel. No net/rpc connection begins with it: gob precedes each
// message with its length, which is at least 1, and writes lengths below 128 as they are
// and others as a negated count of bytes, 0xF8 to 0xFF. A host that does not know tunnels
// reads an empty message and closes the connection.
const FirstByte = 0x00

const (
	magic = "ptun"
	// version is the only version of the format.
	version = 1
	// MaxRequestBytes bounds the JSON of a request. The ids of upstreams and services have
	// a few dozen bytes.
	MaxRequestBytes = 1 << 10
	// maxReasonBytes is what the length of a reason can state.
	maxReasonBytes = math.MaxUint8
	prefixBytes    = len(magic) + 1 + 2
	answerBytes    = 1 + 4 + 1
)

// ErrMalformed means that the other end sent something that is not of this format.
var ErrMalformed = errors.New("the peer's message is not a tunnel's; check that both hosts run compatible versions")

// Request names the upstream to which a tunnel leads.
type Request struct {
	Upstream core.UpstreamID `json:"upstream"`
	// StartMillis is the upstream's start time from its list entry, in Unix milliseconds,
	// 0 if the entry has none.
	StartMillis int64            `json:"start_ms"`
	Service     core.ServiceName `json:"service"`
}

// Status is a peer's answer to a request.
type Status uint8

// The statuses.
const (
	// Opened means that the upstream's bytes follow.
	Opened Status = iota + 1
	// Busy means that the peer has no room for a further tunnel.
	Busy
	// UnknownUpstream means that the peer's list has no such start of the upstream.
	UnknownUpstream
	// NotNow means that the upstream leaves, or wants nothing for the answer's time.
	NotNow
	// CutOff means that the peer does not reach the service either.
	CutOff
	// Unreachable means that the peer reaches the service, but not this upstream.
	Unreachable
	// Refused means the same, and that the connection was refused: nothing listens there.
	Refused
	lastStatus = Refused
)

// String returns the status as it is used in metrics and logs.
func (s Status) String() string {
	switch s {
	case Opened:
		return "opened"
	case Busy:
		return "busy"
	case UnknownUpstream:
		return "unknown_upstream"
	case NotNow:
		return "not_now"
	case CutOff:
		return "cut_off"
	case Unreachable:
		return "unreachable"
	case Refused:
		return "refused"
	default:
		return fmt.Sprintf("status_%d", uint8(s))
	}
}

// Answer is a peer's answer to a request.
type Answer struct {
	Status Status
	// Wait is the time for which the upstream wants nothing if the status is NotNow, 0 if
	// it leaves. It is sent in whole milliseconds.
	Wait time.Duration
	// Reason explains the status to operators. It is cut after 255 bytes.
	Reason string
}

// WriteRequest sends an opening.
func WriteRequest(w io.Writer, request Request) error {
	body, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("encode a tunnel's request: %w", err)
	}
	if len(body) > MaxRequestBytes {
		return fmt.Errorf("a tunnel's request of %d bytes exceeds %d", len(body), MaxRequestBytes)
	}
	message := make([]byte, 0, 1+prefixBytes+len(body))
	message = append(message, FirstByte)
	message = append(message, magic...)
	message = append(message, version)
	message = binary.BigEndian.AppendUint16(message, uint16(len(body)))
	_, err = w.Write(append(message, body...))
	return err
}

// ReadRequest reads an opening after its first byte, and nothing beyond it. Its error
// wraps ErrMalformed unless reading failed.
func ReadRequest(r io.Reader) (Request, error) {
	var prefix [prefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return Request{}, fmt.Errorf("read a tunnel's opening: %w", err)
	}
	if string(prefix[:len(magic)]) != magic {
		return Request{}, fmt.Errorf("%w: it begins with %q", ErrMalformed, prefix[:len(magic)])
	}
	if got := prefix[len(magic)]; got != version {
		return Request{}, fmt.Errorf("%w: version %d", ErrMalformed, got)
	}
	length := int(binary.BigEndian.Uint16(prefix[len(magic)+1:]))
	if length > MaxRequestBytes {
		return Request{}, fmt.Errorf("%w: a request of %d bytes exceeds %d", ErrMalformed, length, MaxRequestBytes)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return Request{}, fmt.Errorf("read a tunnel's request: %w", err)
	}
	var request Request
	if err := json.Unmarshal(body, &request); err != nil {
		return Request{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if request.Upstream == "" || request.Service == "" || request.StartMillis < 0 {
		return Request{}, fmt.Errorf("%w: request %q names no upstream, no service or a negative start", ErrMalformed, body)
	}
	return request, nil
}

// WriteAnswer sends the answer to a request.
func WriteAnswer(w io.Writer, answer Answer) error {
	reason := answer.Reason[:min(len(answer.Reason), maxReasonBytes)]
	message := make([]byte, 0, answerBytes+len(reason))
	message = append(message, byte(answer.Status))
	message = binary.BigEndian.AppendUint32(message, uint32(min(max(answer.Wait.Milliseconds(), 0), math.MaxUint32)))
	message = append(message, byte(len(reason)))
	_, err := w.Write(append(message, reason...))
	return err
}

// ReadAnswer reads the answer to a request, and nothing beyond it. Its error wraps
// ErrMalformed unless reading failed.
func ReadAnswer(r io.Reader) (Answer, error) {
	var fixed [answerBytes]byte
	if _, err := io.ReadFull(r, fixed[:]); err != nil {
		return Answer{}, fmt.Errorf("read the answer of a tunnel's helper: %w", err)
	}
	answer := Answer{Status: Status(fixed[0]), Wait: time.Duration(binary.BigEndian.Uint32(fixed[1:])) * time.Millisecond}
	if answer.Status < Opened || answer.Status > lastStatus {
		return Answer{}, fmt.Errorf("%w: answer %d", ErrMalformed, fixed[0])
	}
	reason := make([]byte, fixed[answerBytes-1])
	if _, err := io.ReadFull(r, reason); err != nil {
		return Answer{}, fmt.Errorf("read the reason of a tunnel's helper: %w", err)
	}
	answer.Reason = string(reason)
	return answer, nil
}
