package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"strings"
	"time"
)

const (
	// maxLineBytes limits a log line that is read; a longer one is skipped. A gateway
	// bounds heads to some 16 KiB and writes no line near this length, so that only data
	// without line ends exceeds it.
	maxLineBytes = 16 << 20
	// readBufferBytes is the size of one read of a file.
	readBufferBytes = 64 << 10
	// stdinName is the name of standard input as a file.
	stdinName = "stdin"
)

// Line is one log line.
type Line struct {
	Time time.Time
	// Host is the last word before the JSON, which names the host in a file that
	// has the lines of several hosts, or the file's name if there is no such word.
	Host   string
	Event  string
	Fields map[string]any
}

// Log is what was read of the logs of any number of hosts.
type Log struct {
	Lines []Line
	// Skipped counts lines that are no JSON objects with a time and an event.
	Skipped int
	// Unreadable are the skipped lines that may have been log lines.
	Unreadable []Unreadable
}

// Unreadable is a run of lines of a file that could not be read.
type Unreadable struct {
	File  string
	Lines int
	// After and Before are the times of the log lines around them, or zero at the start
	// or end of a file.
	After, Before time.Time
}

// ReadFiles returns the log lines of files, in any order, or of stdin if there are none.
func ReadFiles(names []string, stdin io.Reader) (Log, error) {
	if len(names) == 0 {
		return Read(stdinName, stdin)
	}
	var all Log
	for _, name := range names {
		log, err := readFile(name)
		if err != nil {
			return Log{}, err
		}
		all.Lines = append(all.Lines, log.Lines...)
		all.Skipped += log.Skipped
		all.Unreadable = append(all.Unreadable, log.Unreadable...)
	}
	return all, nil
}

func readFile(name string) (Log, error) {
	file, err := os.Open(name)
	if err != nil {
		return Log{}, fmt.Errorf("open a log file: %w; give the paths of readable files", err)
	}
	defer func() { _ = file.Close() }()
	return Read(name, file)
}

// Read returns the log lines of a stream, which may be compressed with gzip. The last word
// before the first brace of a line names the host. Lines that are not JSON objects with a
// time and an event are skipped and counted.
func Read(name string, in io.Reader) (Log, error) {
	buffered := bufio.NewReaderSize(in, readBufferBytes)
	if !startsLikeGzip(buffered) {
		log := newReader(name)
		return log.result(log.readAll(buffered))
	}
	// A damaged file is read a second time, as text.
	raw, err := io.ReadAll(buffered)
	if err != nil {
		return Log{}, readError(name, err)
	}
	return readGzip(name, raw)
}

func readError(name string, err error) error {
	return fmt.Errorf("read %s: %w; give readable log files", name, err)
}

// reader collects the lines of one file.
type reader struct {
	name, host string
	log        Log
	// unreadable is the run of lines that could not be read since the last log line.
	unreadable Unreadable
	last       time.Time
	// keep, if not nil, is called with each line and reports whether to keep it.
	keep func(raw []byte) bool
}

// rotated matches the name of a rotated or compressed file.
var rotated = regexp.MustCompile(`^(.*\.log)(\.[0-9]+)?(\.gz)?$`)

func newReader(name string) *reader {
	host := name
	if parts := rotated.FindStringSubmatch(name); parts != nil {
		host = parts[1]
	}
	return &reader{name: name, host: host}
}

// readAll reads lines until the end of the stream.
func (r *reader) readAll(in *bufio.Reader) error {
	var line []byte
	for {
		var whole bool
		var err error
		line, whole, err = nextLine(in, line[:0])
		switch {
		case !whole:
			r.skip(true)
		case len(line) > 0:
			r.add(line)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// nextLine appends the next line to buffer, with its end if it has one. It reports false
// if the line is too long; such a line is read to its end.
func nextLine(in *bufio.Reader, buffer []byte) (line []byte, whole bool, err error) {
	whole = true
	for {
		part, err := in.ReadSlice('\n')
		if whole = whole && len(buffer)+len(part) <= maxLineBytes; whole {
			buffer = append(buffer, part...)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return buffer, whole, err
		}
	}
}

func (r *reader) add(raw []byte) {
	if r.keep != nil && !r.keep(raw) {
		return
	}
	line, form := parseLine(r.host, raw)
	if form != logLineForm {
		r.skip(form == unreadableForm)
		return
	}
	r.log.Lines = append(r.log.Lines, line)
	r.endRun(line.Time)
	r.last = line.Time
}

func (r *reader) skip(unreadable bool) {
	r.log.Skipped++
	if unreadable {
		r.unreadable.Lines++
	}
}

// endRun adds the unreadable lines before a log line of the given time, or before the end
// of the file if the time is zero.
func (r *reader) endRun(before time.Time) {
	if r.unreadable.Lines > 0 {
		r.log.Unreadable = append(r.log.Unreadable, Unreadable{File: r.name, Lines: r.unreadable.Lines, After: r.last, Before: before})
		r.unreadable.Lines = 0
	}
}

func (r *reader) result(err error) (Log, error) {
	if err != nil {
		return Log{}, readError(r.name, err)
	}
	r.endRun(time.Time{})
	return r.log, nil
}

// form tells what a line is.
type form int

const (
	logLineForm form = iota
	// otherForm is a blank line, or an intact JSON object without a time or an event.
	otherForm
	// unreadableForm may be a part of a log line.
	unreadableForm
)

func parseLine(host string, raw []byte) (Line, form) {
	raw = bytes.TrimSpace(raw)
	if len(raw) == 0 {
		return Line{}, otherForm
	}
	brace := bytes.IndexByte(raw, '{')
	if brace < 0 {
		return Line{}, unreadableForm
	}
	line := Line{Host: host}
	if err := json.Unmarshal(raw[brace:], &line.Fields); err != nil {
		return Line{}, unreadableForm
	}
	if words := strings.Fields(string(raw[:brace])); len(words) > 0 {
		line.Host = words[len(words)-1]
	}
	line.Event, _ = line.Fields["event"].(string)
	stamp, _ := line.Fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, stamp)
	if err != nil || line.Event == "" {
		return Line{}, otherForm
	}
	line.Time = at
	return line, logLineForm
}
