package callerend

import (
	"errors"
	"io"
	"os"
	"syscall"
)

// Transfer is how the reads from a caller's connection, or the writes to it, have ended.
type Transfer int

// The results of a transfer.
const (
	// Sound means that nothing failed.
	Sound Transfer = iota
	// CallerClosed means that the caller closed or reset the connection.
	CallerClosed
	// TimedOut means that the transfer took too long.
	TimedOut
	// Failed means that it failed for another reason.
	Failed
)

// ReadResult returns how a read from a caller ended that returned err.
func ReadResult(err error) Transfer {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return CallerClosed
	}
	return WriteResult(err)
}

// WriteResult returns how a write to a caller ended that returned err.
func WriteResult(err error) Transfer {
	switch {
	case err == nil:
		return Sound
	case errors.Is(err, os.ErrDeadlineExceeded):
		return TimedOut
	case errors.Is(err, syscall.EPIPE), errors.Is(err, syscall.ECONNRESET):
		return CallerClosed
	}
	return Failed
}
