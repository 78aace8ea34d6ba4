package main

import (
	"os"
	"regexp"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.yaml.in/yaml/v3"
)

const operationsPage = "../../docs/OPERATIONS.md"

// alertFile is the part of a Prometheus rule file that the alerts use.
type alertFile struct {
	Groups []struct {
		Name  string
		Rules []struct {
			Alert       string
			Expr        string
			For         string
			Annotations struct{ Summary string }
		}
	}
}

// Guards against example alerts that Prometheus can't load, that have no summary, or that
// watch a metric which docs/OPERATIONS.md does not have, and against lost requests of
// which no alert tells.
func TestExampleAlerts(t *testing.T) {
	Convey("Given docs/examples/alerts.yaml", t, func() {
		content, err := os.ReadFile("../../docs/examples/alerts.yaml")
		So(err, ShouldBeNil)
		page, err := os.ReadFile(operationsPage)
		So(err, ShouldBeNil)
		decoder := yaml.NewDecoder(strings.NewReader(string(content)))
		decoder.KnownFields(true)
		var file alertFile
		So(decoder.Decode(&file), ShouldBeNil)
		metric := regexp.MustCompile(`peridotreel_[a-z_]+`)
		suffix := regexp.MustCompile(`_(total|bucket|sum|count)$`)
		names, all := map[string]bool{}, ""
		for _, group := range file.Groups {
			for _, rule := range group.Rules {
				So(rule.Alert, ShouldNotBeBlank)
				So(names[rule.Alert], ShouldBeFalse)
				names[rule.Alert] = true
				So(rule.Annotations.Summary, ShouldNotBeBlank)
				So(strings.Count(rule.Expr, "("), ShouldEqual, strings.Count(rule.Expr, ")"))
				metrics := metric.FindAllString(rule.Expr, -1)
				So(metrics, ShouldNotBeEmpty)
				for _, name := range metrics {
					So(string(page), ShouldContainSubstring, "`"+suffix.ReplaceAllString(name, ""))
				}
				all += rule.Expr
			}
		}
		So(all, ShouldContainSubstring, `peridotreel_request_ends_total{end=~"cut|unanswered"}`)
		So(all, ShouldContainSubstring, "peridotreel_endings_unmatched_total")
	})
}

// Guards against an example of lost requests on the operations page that the program does
// not print.
func TestOperationsPageShowsWhatLostPrints(t *testing.T) {
	Convey("Given docs/examples/lost.log", t, func() {
		page, err := os.ReadFile(operationsPage)
		So(err, ShouldBeNil)
		stdout, _, err := runExplain(t, "", "--lost", "../../docs/examples/lost.log")
		So(err, ShouldBeNil)
		So(stdout, ShouldNotBeBlank)
		for _, row := range strings.Split(strings.TrimSpace(stdout), "\n") {
			So(string(page), ShouldContainSubstring, "\n    "+row+"\n")
		}
	})
}
