package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

const (
	// maxLineBytes limits a line and an event's data, so that a faulty upstream
	// can't exhaust the host's memory. A chunk has a few hundred bytes.
	maxLineBytes = 64 << 10
	// initialLineBytes is the size of a stream's buffer until a longer line
	// arrives. It is small because a host has thousands of open streams.
	initialLineBytes = 4 << 10
)

// errEventTooLong is the error of a line or an event's data over maxLineBytes.
var errEventTooLong = fmt.Errorf("a server-sent event exceeds %d bytes", maxLineBytes)

// sseEvent is one server-sent event. Its slices are valid until the next event
// is read.
type sseEvent struct {
	// ID is the event's id, or 0 if it has none. In contrast to the standard,
	// an event without an id does not inherit that of the event before,
	// because the id is the event's position.
	ID   int64
	Type []byte
	Data []byte
}

// sseDecoder reads server-sent events (WHATWG HTML, section 9.2). Lines end in
// LF or CRLF. Event ids must be integers, because they are positions.
type sseDecoder struct {
	lines   *bufio.Scanner
	event   sseEvent
	hasData bool
	// onComment, if not nil, is called with the text of each comment. The text
	// is valid only during the call.
	onComment func(text []byte)
}

func newSSEDecoder(source io.Reader) *sseDecoder {
	lines := bufio.NewScanner(source)
	lines.Buffer(make([]byte, 0, initialLineBytes), maxLineBytes)
	return &sseDecoder{lines: lines}
}

// next returns the next event that has data, or io.EOF at the end of the stream.
// A last event without an empty line after it is dropped.
func (d *sseDecoder) next() (*sseEvent, error) {
	d.reset()
	for d.lines.Scan() {
		line := d.lines.Bytes()
		if len(line) > 0 {
			if err := d.parseLine(line); err != nil {
				return nil, err
			}
			continue
		}
		if d.hasData {
			return &d.event, nil
		}
		d.reset()
	}
	switch err := d.lines.Err(); {
	case errors.Is(err, bufio.ErrTooLong):
		return nil, errEventTooLong
	case err != nil:
		return nil, err
	}
	return nil, io.EOF
}

func (d *sseDecoder) reset() {
	d.event.ID, d.event.Type, d.event.Data, d.hasData = 0, d.event.Type[:0], d.event.Data[:0], false
}

// parseLine adds the field in a line to the current event.
func (d *sseDecoder) parseLine(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "":
		if d.onComment != nil {
			d.onComment(value)
		}
	case "data":
		return d.appendData(value)
	case "id":
		id, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil {
			return fmt.Errorf("event id %.40q must be an integer", value)
		}
		d.event.ID = id
	case "event":
		d.event.Type = append(d.event.Type[:0], value...)
	}
	return nil
}

func (d *sseDecoder) appendData(value []byte) error {
	if len(d.event.Data)+len(value) >= maxLineBytes {
		return errEventTooLong
	}
	if d.hasData {
		d.event.Data = append(d.event.Data, '\n')
	}
	d.event.Data = append(d.event.Data, value...)
	d.hasData = true
	return nil
}
