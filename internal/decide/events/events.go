// Package events splits a stream of server-sent events into whole events.
package events

import (
	"bytes"
	"slices"
)

// maxPartialBytes limits the buffered part of an incomplete event. An event has a
// few hundred bytes.
const maxPartialBytes = 256 << 10

// Splitter buffers bytes and returns whole events. The zero value is ready to
// use.
type Splitter struct {
	partial []byte
	// lastID is the id of the last whole event that had one.
	lastID string
}

// Push adds bytes and returns the buffered bytes up to the end of the last whole
// event, and the number of events in them. The result is valid until the next
// call.
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

// HasPartial reports whether an incomplete event is buffered.
func (s *Splitter) HasPartial() bool { return len(s.partial) > 0 }

// PartialTooLong reports whether the incomplete event exceeds the size limit.
func (s *Splitter) PartialTooLong() bool { return len(s.partial) > maxPartialBytes }

// PartialBytes returns the length of the incomplete event that is buffered.
func (s *Splitter) PartialBytes() int { return len(s.partial) }

// LastID returns the id of the last whole event that had one.
func (s *Splitter) LastID() string { return s.lastID }

// eventEnd returns the length of the first event including its empty line, or
// -1 if no event is complete.
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
