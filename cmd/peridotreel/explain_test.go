package main

import (
	"bytes"
	"compress/gzip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	startLine = `{"time":"2026-01-01T00:00:00Z","event":"start"}` + "\n"
	cutLine   = `{"time":"2026-01-01T00:00:05Z","event":"request_done","request":"r1","end":"cut","end_cause":"write"}` + "\n"
)

// runExplain runs the command as a process.
func runExplain(t *testing.T, stdin string, arguments ...string) (stdout, stderr string, err error) {
	command := exec.CommandContext(t.Context(), os.Args[0], append([]string{"explain"}, arguments...)...) //nolint:gosec // this test
	command.Env = append(os.Environ(), runMainVariable+"=1")
	command.Stdin = strings.NewReader(stdin)
	var out, errors bytes.Buffer
	command.Stdout, command.Stderr = &out, &errors
	err = command.Run()
	return out.String(), errors.String(), err
}

// Guards against a list of lost requests that depends on where the lines come from, and
// against a file that cannot be read and looks like one without losses.
func TestExplainLostReadsFilesAndStandardInput(t *testing.T) {
	Convey("Given the log of a host in two files, one of them compressed", t, func() {
		newer, older := filepath.Join(t.TempDir(), "host-1.log"), ""
		older = newer + ".1.gz"
		var packed bytes.Buffer
		writer := gzip.NewWriter(&packed)
		_, err := writer.Write([]byte(startLine))
		So(err, ShouldBeNil)
		So(writer.Close(), ShouldBeNil)
		So(os.WriteFile(older, packed.Bytes(), 0o600), ShouldBeNil)
		So(os.WriteFile(newer, []byte(cutLine), 0o600), ShouldBeNil)
		stdout, _, err := runExplain(t, "", "--lost", newer, older)
		So(err, ShouldBeNil)
		So(stdout, ShouldStartWith, "total requests=1 connections=0 hosts=1 lines=2 skipped=0\n")
		So(stdout, ShouldContainSubstring, "lost time=2026-01-01T00:00:05Z host="+newer+" route=- request=r1 end=cut end_cause=write")
		Convey("Standard input gives the same", func() {
			fromStdin, _, err := runExplain(t, startLine+cutLine, "--lost")
			So(err, ShouldBeNil)
			So(fromStdin, ShouldEqual, strings.ReplaceAll(stdout, newer, "stdin"))
		})
		Convey("A file that is not there is an error", func() {
			stdout, stderr, err := runExplain(t, "", "--lost", newer, newer+".2")
			So(err, ShouldNotBeNil)
			So(stdout, ShouldBeEmpty)
			So(stderr, ShouldContainSubstring, "give the paths of readable files")
		})
	})
}
