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
	// maxLineBytes bounds a line and an event's data. A chunk is a few
	// hundred bytes; the bound keeps a faulty upstream from using the memory
	// of a host.
	maxLineBytes = 64 << 10
	// initialLineBytes is the buffer of a stream before a longer line comes;
	// a host has some thousand streams open.
	initialLineBytes = 4 << 10
)

// errEventTooLong means that an event exceeds maxLineBytes.
var errEventTooLong = fmt.Errorf("a server-sent event exceeds %d bytes", maxLineBytes)

// sseEvent is one server-sent event. Its slices are valid until the next one
// is read.
type sseEvent struct {
	// ID is the event's id, or 0 if it has none. Unlike in a browser, it does
	// not carry over from the event before, as it is the event's position.
	ID   int64
	Type []byte
	Data []byte
}

// sseDecoder reads server-sent events (WHATWG HTML, section 9.2). Lines end in
// LF or CRLF; ids must be integers, as they are positions here.
type sseDecoder struct {
	lines   *bufio.Scanner
	event   sseEvent
	hasData bool
	// onComment, if not nil, gets the text of each comment as it arrives. The
	// text is valid during the call.
	onComment func(text []byte)
}

func newSSEDecoder(source io.Reader) *sseDecoder {
	lines := bufio.NewScanner(source)
	lines.Buffer(make([]byte, 0, initialLineBytes), maxLineBytes)
	return &sseDecoder{lines: lines}
}

// next returns the next event that has data. It returns io.EOF at the end of
// the stream; an event that no empty line ended is dropped.
func (d *sseDecoder) next() (*sseEvent, error) {
	d.reset()
	for d.lines.Scan() {
		line := d.lines.Bytes()
		if len(line) > 0 {
			if err := d.field(line); err != nil {
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

// field applies one line to the event that is being read.
func (d *sseDecoder) field(line []byte) error {
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
			return fmt.Errorf("event id %.40q is not a position", value)
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
