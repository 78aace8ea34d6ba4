package upstream

import (
	"bytes"
	"unicode/utf8"

	"github.com/peridotreel/peridotreel/internal/core"
)

// maxScanDigits is the largest number of digits that always fits in an int64.
const maxScanDigits = 18

// scanChunk parses a chunk of the usual form without reflection, because a host
// relays 33,000 events per second. It returns false for unknown or repeated
// fields, several choices, unusual escapes and numbers that are not plain
// integers; parseChunkSlow then parses the chunk.
func scanChunk(data []byte, texts *textArena) (chunk, bool) {
	var parsed chunk
	s := jsonScanner{data: data, texts: texts}
	ok := s.object(func(key []byte) (field int, ok bool) {
		switch string(key) {
		case "id":
			parsed.id, ok = s.plainString()
			return 0, ok
		case "attempt":
			value, ok := s.integer()
			parsed.attempt = int(value)
			return 1, ok
		case "choices":
			return 2, s.choices(&parsed)
		case "usage":
			return 3, s.usage(&parsed)
		case "object":
			_, ok = s.plainString()
			return 4, ok
		case "model":
			_, ok = s.plainString()
			return 5, ok
		case "created":
			_, ok = s.integer()
			return 6, ok
		}
		return 0, false
	})
	s.space()
	return parsed, ok && s.position == len(data)
}

// choices parses an array of at most one choice.
func (s *jsonScanner) choices(into *chunk) bool {
	if !s.token('[') {
		return false
	}
	if s.token(']') {
		return true
	}
	return s.object(func(key []byte) (field int, ok bool) {
		switch string(key) {
		case "index":
			_, ok = s.integer()
			return 0, ok
		case "delta":
			return 1, s.delta(into)
		case "finish_reason":
			return 2, s.finishReason(into)
		case "logprobs":
			return 3, s.null()
		}
		return 0, false
	}) && s.token(']')
}

func (s *jsonScanner) delta(into *chunk) bool {
	return s.object(func(key []byte) (field int, ok bool) {
		switch string(key) {
		case "content":
			into.text, ok = s.text()
			return 0, ok
		case "role":
			_, ok = s.plainString()
			return 1, ok
		}
		return 0, false
	})
}

func (s *jsonScanner) finishReason(into *chunk) bool {
	if s.null() {
		return true
	}
	reason, ok := s.plainString()
	into.finished, into.finishReason = ok, string(reason)
	return ok
}

func (s *jsonScanner) usage(into *chunk) bool {
	if s.null() {
		return true
	}
	into.hasUsage = true
	return s.object(func(key []byte) (field int, ok bool) {
		value, ok := s.integer()
		switch string(key) {
		case "prompt_tokens":
			into.usage.Prompt = core.Tokens(value)
			return 0, ok
		case "completion_tokens":
			into.usage.Generated = core.Tokens(value)
			return 1, ok
		case "total_tokens":
			return 2, ok
		}
		return 0, false
	})
}

// jsonScanner parses the subset of JSON that chunks usually consist of. Its
// methods return false for anything else.
type jsonScanner struct {
	data     []byte
	texts    *textArena
	position int
}

func (s *jsonScanner) space() {
	for s.position < len(s.data) {
		switch s.data[s.position] {
		case ' ', '\t', '\r', '\n':
			s.position++
		default:
			return
		}
	}
}

// token consumes the expected structural character and reports whether it was
// there.
func (s *jsonScanner) token(expected byte) bool {
	s.space()
	if s.position < len(s.data) && s.data[s.position] == expected {
		s.position++
		return true
	}
	return false
}

// object parses an object. The function parses the value of a key and returns
// the number of its field; object returns false for a repeated field.
func (s *jsonScanner) object(value func(key []byte) (field int, ok bool)) bool {
	if !s.token('{') {
		return false
	}
	if s.token('}') {
		return true
	}
	seen := 0
	for {
		key, ok := s.plainString()
		if !ok || !s.token(':') {
			return false
		}
		field, ok := value(key)
		if !ok || seen&(1<<field) != 0 {
			return false
		}
		seen |= 1 << field
		if s.token('}') {
			return true
		}
		if !s.token(',') {
			return false
		}
	}
}

func (s *jsonScanner) null() bool {
	s.space()
	if !bytes.HasPrefix(s.data[s.position:], []byte("null")) {
		return false
	}
	s.position += len("null")
	return true
}

// integer parses a non-negative integer.
func (s *jsonScanner) integer() (int64, bool) {
	s.space()
	start, value := s.position, int64(0)
	for s.position < len(s.data) && s.data[s.position] >= '0' && s.data[s.position] <= '9' {
		value = value*10 + int64(s.data[s.position]-'0')
		s.position++
	}
	digits := s.position - start
	leadingZero := digits > 1 && s.data[start] == '0'
	return value, digits > 0 && digits <= maxScanDigits && !leadingZero
}

// plainString parses a string without escapes.
func (s *jsonScanner) plainString() ([]byte, bool) {
	raw, escaped, ok := s.rawString()
	return raw, ok && !escaped
}

// text parses a string with the usual escapes, or null.
func (s *jsonScanner) text() (string, bool) {
	if s.null() {
		return "", true
	}
	raw, escaped, ok := s.rawString()
	if !ok {
		return "", false
	}
	start := s.texts.reserve(len(raw))
	if !escaped {
		s.texts.builder.Write(raw)
		return s.texts.since(start), true
	}
	for i := 0; i < len(raw); i++ {
		if raw[i] != '\\' {
			s.texts.builder.WriteByte(raw[i])
			continue
		}
		i++ // rawString ensures that a character follows the backslash
		character, known := unescape(raw[i])
		if !known {
			return "", false
		}
		s.texts.builder.WriteByte(character)
	}
	return s.texts.since(start), true
}

// rawString parses a string without decoding its escapes.
func (s *jsonScanner) rawString() (raw []byte, escaped, ok bool) {
	if !s.token('"') {
		return nil, false, false
	}
	start, ascii := s.position, true
	for ; s.position < len(s.data); s.position++ {
		switch character := s.data[s.position]; {
		case character == '"':
			raw = s.data[start:s.position]
			s.position++
			return raw, escaped, ascii || utf8.Valid(raw)
		case character == '\\':
			escaped = true
			s.position++
		case character < ' ':
			return nil, false, false
		case character >= utf8.RuneSelf:
			ascii = false
		}
	}
	return nil, false, false
}

// unescape returns the character that a backslash and the given character
// represent. It returns false for escapes that jsonScanner does not support.
func unescape(character byte) (byte, bool) {
	switch character {
	case '"', '\\', '/':
		return character, true
	case 'n':
		return '\n', true
	case 't':
		return '\t', true
	case 'r':
		return '\r', true
	}
	return 0, false
}
