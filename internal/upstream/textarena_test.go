package upstream

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a text that changes when later texts are written, and against a
// text that contains parts of a chunk that the scanner did not accept.
func TestArenaTextsAreNotOverwritten(t *testing.T) {
	Convey("Texts keep their content over several arenas and after rejected chunks", t, func() {
		texts := &textArena{}
		var got, expected []string
		for i := range 2000 {
			content := fmt.Sprintf("%d ", i) + strings.Repeat("x", i%40)
			if i == 1000 {
				content = strings.Repeat("y", 3*arenaBytes)
			}
			_, ok := scanChunk([]byte(`{"choices":[{"delta":{"content":"lost \u0041"}}]}`), texts)
			So(ok, ShouldBeFalse)
			parsed, ok := scanChunk(fmt.Appendf(nil, `{"choices":[{"delta":{"content":"%s\n"}}]}`, content), texts)
			So(ok, ShouldBeTrue)
			got, expected = append(got, parsed.text), append(expected, content+"\n")
		}
		So(got, ShouldResemble, expected)
	})
}

// BenchmarkParseChunk measures the parsing of one chunk.
func BenchmarkParseChunk(b *testing.B) {
	texts, data := &textArena{}, []byte(tokenChunk)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := parseChunk(data, texts); err != nil {
			b.Fatal(err)
		}
	}
}
