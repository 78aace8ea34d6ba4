package api

import "unicode/utf8"

const hexDigits = "0123456789abcdef"

// appendString appends text as a JSON string (RFC 8259, section 7) without
// allocating, because a host encodes 33,000 texts per second. Bytes that are not
// valid UTF-8 become U+FFFD, as in encoding/json.
func appendString(buffer []byte, text string) []byte {
	buffer = append(buffer, '"')
	start := 0
	for i := 0; i < len(text); {
		c := text[i]
		if c >= utf8.RuneSelf {
			character, size := utf8.DecodeRuneInString(text[i:])
			if character == utf8.RuneError && size == 1 {
				buffer = append(buffer, text[start:i]...)
				buffer = append(buffer, string(utf8.RuneError)...)
				start = i + 1
			}
			i += size
			continue
		}
		if c < ' ' || c == '"' || c == '\\' {
			buffer = append(buffer, text[start:i]...)
			buffer = appendEscape(buffer, c)
			start = i + 1
		}
		i++
	}
	buffer = append(buffer, text[start:]...)
	return append(buffer, '"')
}

// appendEscape appends the escape sequence of a character that a JSON string
// can't contain unescaped.
func appendEscape(buffer []byte, c byte) []byte {
	switch c {
	case '"', '\\':
		return append(buffer, '\\', c)
	case '\n':
		return append(buffer, '\\', 'n')
	case '\t':
		return append(buffer, '\\', 't')
	}
	return append(buffer, '\\', 'u', '0', '0', hexDigits[c>>4], hexDigits[c&0xF])
}
