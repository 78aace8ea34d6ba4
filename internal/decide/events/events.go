// Package events splits a stream of server-sent events at the ends of events.
package events

import (
	"bytes"
	"slices"
)

// maxPartial bounds an event that has not ended.
const maxPartial = 1 << 20

// Splitter collects bytes and returns whole events. The zero value is ready.
type Splitter struct {
	partial []byte
	// lastID is the id of the last whole event that had one.
	lastID string
}

// Push adds bytes and returns those up to the end of the last whole event, and
// the number of events in them. The result is valid until the next call.
func (s *Splitter) Push(data []byte) (whole []byte, count int) {
	buffer := slices.Concat(s.partial, data)
	end, scanned := 0, 0
	for {
		length := eventEnd(buffer[scanned:])
		if length < 0 {
			break
		}
		if id, found := eventID(buffer[scanned : scanned+length]); found {
			s.lastID = id
		}
		scanned += length
		end = scanned
		count++
	}
	whole = buffer[:end:end]
	s.partial = append([]byte(nil), buffer[end:]...)
	return whole, count
}

// Partial reports whether bytes of an event without an end were pushed.
func (s *Splitter) Partial() bool { return len(s.partial) > 0 }

// Overflow reports whether an event is longer than is accepted.
func (s *Splitter) Overflow() bool { return len(s.partial) > maxPartial }

// DropPartial forgets the bytes after the last whole event, because the stream
// goes on from its end at another upstream.
func (s *Splitter) DropPartial() { s.partial = nil }

// LastID returns the id of the last whole event that had one.
func (s *Splitter) LastID() string { return s.lastID }

// eventEnd returns the length of the first event with its empty line, or -1.
func eventEnd(data []byte) int {
	lf := bytes.Index(data, []byte("\n\n"))
	crlf := bytes.Index(data, []byte("\r\n\r\n"))
	switch {
	case crlf >= 0 && (lf < 0 || crlf < lf):
		return crlf + 4
	case lf >= 0:
		return lf + 2
	default:
		return -1
	}
}

func eventID(event []byte) (string, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
