package events

import (
	"bytes"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards against bytes of a stream that are lost, duplicated or forwarded before
// their event is complete, for any sequence of read sizes.
func TestReadsOfAnySizeGiveTheSameEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		event := rapid.SampledFrom([]string{"id: 1\ndata: a\n\n", "data: b\r\n\r\n", "weight-versions: 3\nid:7\ndata: c\ndata: d\n\n"})
		list := rapid.SliceOfN(event, 0, 20).Draw(t, "events")
		tail := rapid.SampledFrom([]string{"", "id: 9\nda"}).Draw(t, "tail")
		stream := []byte(strings.Join(list, "") + tail)
		var splitter Splitter
		var out bytes.Buffer
		total := 0
		for rest := stream; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "read")
			whole, count := splitter.Push(rest[:n])
			if count == 0 && len(whole) > 0 {
				t.Fatalf("%q was returned without a whole event", whole)
			}
			out.Write(whole)
			total += count
			rest = rest[n:]
		}
		if total != len(list) || out.String() != strings.Join(list, "") || splitter.HasPartial() != (tail != "") {
			t.Fatalf("%d of %d events, %q", total, len(list), out.String())
		}
	})
}
