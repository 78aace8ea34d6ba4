package rows

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
)

func sampleTeam() *core.TeamRow {
	return &core.TeamRow{
		Team: "lima", Version: 7, Weight: 3, Budget: "lima-2026", MaxInFlight: 20, TokensPerSecond: 5000,
		QueueLength: 40, Deadline: 90 * time.Second, KeyDigests: []string{strings.Repeat("ab", 32)},
		Models: []core.ModelName{"m1"},
		Classes: []core.ClassRow{{Name: "appraisal", Priority: 1, Long: true, MaxTokens: 4096, Deadline: 10 * time.Minute},
			{Name: "price", MaxTokens: 128, NonIdempotent: true}},
	}
}

// Guards against fields that are lost or renamed between encoding and decoding.
func TestTeamRoundTrip(t *testing.T) {
	Convey("A team's row is the same after encoding and decoding, with durations as text", t, func() {
		value, err := EncodeTeam(sampleTeam())
		So(err, ShouldBeNil)
		So(string(value), ShouldContainSubstring, `"deadline":"1m30s"`)
		row, err := DecodeTeam("lima", 7, value)
		So(err, ShouldBeNil)
		So(row, ShouldResemble, sampleTeam())
	})
}

// Guards against misspelt fields that are stored without effect, and against an
// older binary that rejects the row of a newer one.
func TestUnknownFields(t *testing.T) {
	Convey("An unknown field is rejected by name from an operator and ignored from the table", t, func() {
		value, _ := EncodeTeam(sampleTeam())
		text := strings.Replace(string(value), `{"team"`, `{"wieght":2,"team"`, 1)
		_, err := ParseTeam("lima", []byte(text))
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldStartWith, "wieght:")
		_, err = DecodeTeam("lima", 7, []byte(text))
		So(err, ShouldBeNil)
	})
	Convey("A value of the wrong type and the row of another team are rejected by field", t, func() {
		value, _ := EncodeTeam(sampleTeam())
		_, err := ParseTeam("lima", []byte(strings.Replace(string(value), `"weight":3`, `"weight":"3"`, 1)))
		So(err.Error(), ShouldStartWith, "weight:")
		_, err = ParseTeam("cusco", value)
		So(err.Error(), ShouldStartWith, "team:")
	})
}

// Guards against history rows that an undo cannot read.
func TestHistoryRoundTrip(t *testing.T) {
	Convey("History stores the replaced row, the operator and the time", t, func() {
		at := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
		history := &TeamHistory{Team: "lima", Version: 7, Row: sampleTeam(), By: "ana", At: at}
		value, err := EncodeHistory(history)
		So(err, ShouldBeNil)
		read, err := DecodeHistory(HistoryKey("lima", 7), value)
		So(err, ShouldBeNil)
		So(read, ShouldResemble, history)
	})
}

// FuzzDecodeTeam guards against rows that crash the decoder, are accepted although
// invalid, or cannot be stored again.
func FuzzDecodeTeam(f *testing.F) {
	value, err := EncodeTeam(sampleTeam())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(value)
	f.Add([]byte(`{"team":"lima","deadline":"","classes":[null]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		row, err := DecodeTeam("lima", 1, value)
		if err != nil {
			return
		}
		if err := row.Validate(); err != nil {
			t.Fatalf("the decoder accepted an invalid row: %v", err)
		}
		again, err := EncodeTeam(row)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ParseTeam("lima", again); err != nil {
			t.Fatalf("the row cannot be stored again: %v", err)
		}
	})
}

// FuzzDecodeService guards against the same faults in service rows.
func FuzzDecodeService(f *testing.F) {
	f.Add([]byte(`{"service":"ledger","cost":5,"rules":[{"method":"GET","path_prefix":"/quotes","idempotent":true}]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		row, err := DecodeService("ledger", 1, value)
		if err != nil {
			return
		}
		again, err := EncodeService(row)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ParseService("ledger", again); err != nil {
			t.Fatalf("the row cannot be stored again: %v", err)
		}
	})
}
