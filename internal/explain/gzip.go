package explain

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"errors"
	"io"
)

// gzipMagic are the first bytes of a gzip member that is compressed with deflate.
var gzipMagic = []byte{0x1f, 0x8b, 8}

func startsLikeGzip(in *bufio.Reader) bool {
	start, _ := in.Peek(len(gzipMagic))
	return bytes.Equal(start, gzipMagic)
}

// readGzip reads a file of gzip members, after which text may follow. If a member is
// damaged, as that of a host that was killed, what can be decompressed is read, and the
// rest of the file also as text, in case it is text that only begins like gzip.
func readGzip(name string, raw []byte) (Log, error) {
	members := &members{raw: bytes.NewReader(raw), size: len(raw)}
	log := newReader(name)
	// Reads from memory do not fail; damage ends the stream.
	_ = log.readAll(bufio.NewReaderSize(members, readBufferBytes))
	if !members.damaged {
		return log.result(nil)
	}
	if len(log.log.Lines) == 0 {
		log = newReader(name)
		return log.result(log.readAll(bufio.NewReader(bytes.NewReader(raw))))
	}
	log.skip(true)
	// A member may hold its lines uncompressed, so that they are found twice.
	decompressed := linesFrom(raw, members.start)
	log.keep = func(raw []byte) bool {
		_, form := parseLine(name, raw)
		return form == logLineForm && !decompressed[string(bytes.TrimSpace(raw))]
	}
	return log.result(log.readAll(bufio.NewReader(bytes.NewReader(raw[members.start:]))))
}

// linesFrom returns the lines that can be decompressed from the member at start on.
func linesFrom(raw []byte, start int) map[string]bool {
	lines := make(map[string]bool)
	log := newReader("")
	log.keep = func(raw []byte) bool {
		lines[string(bytes.TrimSpace(raw))] = true
		return false
	}
	_ = log.readAll(bufio.NewReader(&members{raw: bytes.NewReader(raw[start:]), size: len(raw) - start}))
	return lines
}

// members decompresses gzip members, and passes on what follows them as it is. A damaged
// member ends the stream.
type members struct {
	raw    *bytes.Reader
	size   int
	member *gzip.Reader
	// start is the offset of the last member.
	start         int
	text, damaged bool
}

// Read reads the content of the members.
func (m *members) Read(p []byte) (int, error) {
	for !m.text && !m.damaged {
		if m.member == nil && !m.next() {
			continue
		}
		n, err := m.member.Read(p)
		switch {
		case errors.Is(err, io.EOF):
			m.member = nil
		case err != nil:
			m.damaged = true
		}
		if n > 0 {
			return n, nil
		}
	}
	if m.damaged {
		return 0, io.EOF
	}
	return m.raw.Read(p)
}

// next begins the next member. It reports false if there is none, or none that is sound.
func (m *members) next() bool {
	m.start = m.size - m.raw.Len()
	start := make([]byte, len(gzipMagic))
	n, _ := m.raw.ReadAt(start, int64(m.start))
	if !bytes.Equal(start[:n], gzipMagic) {
		m.text = true
		return false
	}
	member, err := gzip.NewReader(m.raw)
	if err != nil {
		m.damaged = true
		return false
	}
	// The reader takes no bytes beyond its member, as bytes.Reader is an io.ByteReader.
	member.Multistream(false)
	m.member = member
	return true
}
