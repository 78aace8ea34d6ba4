package wire

import (
	"bytes"
	"fmt"
	"strconv"
)

// loadComment starts the comment of a stream that carries an engine's load.
// Readers that don't know it skip it, as they skip any comment.
const loadComment = "load"

// AnswerLoad is an engine's load as its answers carry it: counts of requests
// at the moment of writing.
type AnswerLoad struct {
	Running    int
	Waiting    int
	MaxRunning int
}

// String returns the line of a comment, without its end.
func (l AnswerLoad) String() string {
	return fmt.Sprintf(": %s %d %d %d", loadComment, l.Running, l.Waiting, l.MaxRunning)
}

// ParseAnswerLoad reads the text of a comment, the part after the colon. It
// reports false for any other comment. It does not allocate.
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
