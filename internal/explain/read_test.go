package explain

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// logLine returns a log line of a given second that is distinguished by n.
func logLine(second, n int) string {
	return fmt.Sprintf(`{"time":"2026-01-01T00:00:%02dZ","event":"ready","n":%d}`, second, n)
}

func compressed(content string) string {
	var out bytes.Buffer
	writer := gzip.NewWriter(&out)
	_, err := writer.Write([]byte(content))
	So(err, ShouldBeNil)
	So(writer.Close(), ShouldBeNil)
	return out.String()
}

// numbers returns the field n of each line.
func numbers(lines []Line) []int {
	found := []int{}
	for _, line := range lines {
		n, _ := line.Fields["n"].(float64)
		found = append(found, int(n))
	}
	return found
}

// Guards against lines that are lost because of the form of the file that they are in, or
// because of what precedes them.
func TestReadLosesNoLine(t *testing.T) {
	first, second, third := logLine(1, 1)+"\n", logLine(2, 2)+"\n", logLine(3, 3)+"\n"
	over1MiB := `{"time":"2026-01-01T00:00:02Z","event":"ready","n":2,"long":"` + strings.Repeat("x", 2<<20) + "\"}\n"
	damaged := func(content string) string { return content[:len(content)-9] }
	cases := []struct {
		name    string
		content func() string
		want    []int
		skipped int
	}{
		{"a last line without its end", func() string { return first + logLine(2, 2) }, []int{1, 2}, 0},
		{"a last line that is cut", func() string { return first + logLine(2, 2)[:30] }, []int{1}, 1},
		{"a line over 1 MiB", func() string { return first + over1MiB + third }, []int{1, 2, 3}, 0},
		{"a line beyond the limit", func() string { return first + "{" + strings.Repeat("x", maxLineBytes) + "\n" + third }, []int{1, 3}, 1},
		{"a last line beyond the limit", func() string { return first + strings.Repeat("x", maxLineBytes+1) }, []int{1}, 1},
		{"gzip", func() string { return compressed(first + second) }, []int{1, 2}, 0},
		{"gzip files one after the other", func() string { return compressed(first) + compressed(second+third) }, []int{1, 2, 3}, 0},
		{"a line that goes on in the next gzip file", func() string { return compressed(first+second[:20]) + compressed(second[20:]+third) }, []int{1, 2, 3}, 0},
		{"an empty gzip file", func() string { return compressed("") }, []int{}, 0},
		{"a plain file after a gzip file", func() string { return compressed(first) + second }, []int{1, 2}, 0},
		{"a gzip file that is cut", func() string { return damaged(compressed(first + second)) }, []int{1, 2}, 1},
		{"text that begins like gzip", func() string { return "\x1f\x8b\x08 is no log line\n" + second }, []int{2}, 1},
		{"Windows line ends", func() string { return strings.ReplaceAll(first+second, "\n", "\r\n") }, []int{1, 2}, 0},
		{"nothing", func() string { return "" }, []int{}, 0},
	}
	for _, c := range cases {
		Convey("Given "+c.name, t, func() {
			content := c.content()
			log, err := Read("file", strings.NewReader(content))
			So(err, ShouldBeNil)
			So(numbers(log.Lines), ShouldResemble, c.want)
			So(log.Skipped, ShouldEqual, c.skipped)
			Convey("A stream that comes in small parts is read alike", func() {
				parts, err := Read("file", iotest.HalfReader(strings.NewReader(content)))
				So(err, ShouldBeNil)
				So(parts, ShouldResemble, log)
			})
		})
	}
}

// Guards against a failed read that looks like the end of a file.
func TestReadReportsAFailedRead(t *testing.T) {
	Convey("Given a file that cannot be read to its end", t, func() {
		in := io.MultiReader(strings.NewReader(logLine(1, 1)+"\n"), iotest.ErrReader(errors.New("input/output error")))
		_, err := Read("host-1.log", in)
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "host-1.log")
		So(err.Error(), ShouldContainSubstring, "input/output error")
	})
}

// Guards against skipped lines that the reader of a report does not learn of, and against
// times that do not enclose them.
func TestReadNamesTheTimesOfSkippedLines(t *testing.T) {
	Convey("Given unreadable lines between others, blank lines and lines of other programs", t, func() {
		log, err := Read("file", strings.NewReader(strings.Join([]string{
			"host-a " + logLine(1, 1), "", "host-a {broken", "tail of a line\"}", "host-a " + logLine(2, 2),
			`host-a {"time":"2026-01-01T00:00:03Z","msg":"of a library"}`, "host-b " + logLine(4, 4), "  ", "host-b {cut",
		}, "\n")))
		So(err, ShouldBeNil)
		So(log.Skipped, ShouldEqual, 6)
		So(len(log.Unreadable), ShouldEqual, 2)
		at := func(second int) time.Time { return time.Date(2026, 1, 1, 0, 0, second, 0, time.UTC) }
		So(log.Unreadable[0], ShouldResemble, Unreadable{File: "file", Lines: 2, After: at(1), Before: at(2)})
		So(log.Unreadable[1], ShouldResemble, Unreadable{File: "file", Lines: 1, After: at(4)})
	})
}

// Guards against one host under two names, because its log was rotated.
func TestRotatedFilesBelongToOneHost(t *testing.T) {
	Convey("Given files of one host", t, func() {
		for _, name := range []string{"logs/host-1.log", "logs/host-1.log.1", "logs/host-1.log.12.gz", "logs/host-1.log.gz"} {
			log, err := Read(name, strings.NewReader(logLine(1, 1)))
			So(err, ShouldBeNil)
			So(log.Lines[0].Host, ShouldEqual, "logs/host-1.log")
		}
		log, err := Read("10.1.2.3", strings.NewReader(logLine(1, 1)))
		So(err, ShouldBeNil)
		So(log.Lines[0].Host, ShouldEqual, "10.1.2.3")
	})
}

// FuzzReadLosesNoLine guards against bytes that make the reader panic, or that cost a
// whole line after them.
func FuzzReadLosesNoLine(f *testing.F) {
	packed := func(content string) []byte {
		var out bytes.Buffer
		writer := gzip.NewWriter(&out)
		_, _ = writer.Write([]byte(content))
		_ = writer.Close()
		return out.Bytes()
	}
	whole := packed(logLine(1, 1) + "\n" + logLine(2, 2))
	for _, seed := range [][]byte{
		nil, []byte("{"), []byte(logLine(1, 1)), []byte("\x1f\x8b"), []byte("\x1f\x8b\x08\x00"), []byte("\x1f\x8b\x08\x08name"), whole, whole[:len(whole)/2],
		whole[:len(whole)-4], append(bytes.Clone(whole), whole[:20]...), []byte("host {\"time\":1}\r"), []byte("\x1f\x8b\x08\x00\x00\x00\x00\x00\x00\xff\x01"),
	} {
		f.Add(seed, false)
		f.Add(seed, true)
	}
	f.Fuzz(func(t *testing.T, before []byte, pack bool) {
		last := `{"time":"2026-01-01T00:00:59Z","event":"last_line"}`
		content := append(bytes.Clone(before), "\n"+last+"\n"...)
		if pack {
			content = packed(string(content))
		}
		log, err := Read("file", bytes.NewReader(content))
		if err != nil {
			t.Fatalf("read: %v", err)
		}
		if len(log.Lines) == 0 || log.Lines[len(log.Lines)-1].Event != "last_line" {
			t.Fatalf("the line after %q is lost", before)
		}
	})
}
