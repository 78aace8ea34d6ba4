package wire

import (
	"bytes"
	"fmt"
	"strconv"
)

// loadComment is the first word of the server-sent comment that reports an
// engine's load. Clients that don't know it ignore it like any comment.
const loadComment = "load"

// AnswerLoad is an engine's load as reported in a streamed answer: the numbers
// of requests when the comment was written.
type AnswerLoad struct {
	Running    int
	Waiting    int
	MaxRunning int
}

// String returns the comment line without its line ending.
func (l AnswerLoad) String() string {
	return fmt.Sprintf(": %s %d %d %d", loadComment, l.Running, l.Waiting, l.MaxRunning)
}

// ParseAnswerLoad parses the text of a comment after the colon. It returns false
// if the comment is no load. It does not allocate.
func ParseAnswerLoad(comment []byte) (AnswerLoad, bool) {
	rest, found := bytes.CutPrefix(comment, []byte(loadComment+" "))
	if !found {
		return AnswerLoad{}, false
	}
	var counts [3]int
	for i := range counts {
		field, after, more := bytes.Cut(rest, []byte{' '})
		count, err := strconv.Atoi(string(field))
		if err != nil || count < 0 || more != (i < len(counts)-1) {
			return AnswerLoad{}, false
		}
		counts[i], rest = count, after
	}
	return AnswerLoad{Running: counts[0], Waiting: counts[1], MaxRunning: counts[2]}, true
}
