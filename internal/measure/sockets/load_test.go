package sockets

import (
	"bufio"
	"errors"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/client"
)

// Guards against variants that get different loads, and against a load that
// ignores its seed.
func TestLoadDependsOnItsSeedAlone(t *testing.T) {
	load := crestDemand(crestLayout())
	Convey("The same seed gives the same jobs and another seed different ones", t, func() {
		So(load.jobs(7), ShouldResemble, load.jobs(7))
		So(load.jobs(7), ShouldNotResemble, load.jobs(8))
	})
	Convey("The peak of the crest has about ten times the usual arrivals", t, func() {
		arrivals := func(in span) float64 {
			total := 0.0
			for _, j := range load.jobs(7) {
				if in.contains(j.at) {
					total++
				}
			}
			return total / (in.to - in.from).Seconds()
		}
		usual := arrivals(span{0, crestStart})
		top := arrivals(span{crestStart + crestRamp, crestStart + crestRamp + crestPlateau})
		So(top/usual, ShouldBeBetween, 8, 12)
	})
}

// Guards against goodput that counts wrong or late answers, or tokens generated
// outside the span.
func TestGoodputCountsRightAnswersWithinTheSpan(t *testing.T) {
	// Each answer has 10 tokens in the 2 s before its end.
	at := func(ended time.Duration, result resultKind) outcome {
		return outcome{job: &job{}, result: result, endedAt: ended, answer: client.Answer{
			GeneratedTokens: 10, FirstToken: time.Second, Total: 3 * time.Second,
		}}
	}
	in := span{10 * time.Second, 20 * time.Second}
	Convey("The half of an answer that is generated within the span counts", t, func() {
		So(goodput([]outcome{at(11*time.Second, answered)}, in, allJobs), ShouldAlmostEqual, 0.5)
	})
	Convey("Answers that are lost, wrong or outside the span don't count", t, func() {
		outcomes := []outcome{at(15*time.Second, lost), at(15*time.Second, wrong), at(9*time.Second, answered)}
		So(goodput(outcomes, in, allJobs), ShouldEqual, 0)
	})
}

// Guards against a truncated answer that is counted as complete.
func TestCountingCallerNeedsTheEndMark(t *testing.T) {
	counted := func(text string) (countedAnswer, error) {
		return countChunks(bufio.NewScanner(strings.NewReader(text)), time.Now())
	}
	Convey("Chunks before the end marker are counted", t, func() {
		answer, err := counted("id: 1\ndata: {}\n\nid: 2\ndata: {}\n\ndata: [DONE]\n\n")
		So(err, ShouldBeNil)
		So(answer.chunks, ShouldEqual, 2)
	})
	Convey("An answer without an end marker is an error", t, func() {
		_, err := counted("data: {}\n\n")
		So(errors.Is(err, errNoEndMarker), ShouldBeTrue)
	})
}

// Guards against a median that depends on the order of the values.
func TestMedian(t *testing.T) {
	Convey("The median ignores outliers", t, func() {
		So(median([]float64{9, 1, 2}), ShouldEqual, 2)
		So(median([]float64{3, 1, 2, 100}), ShouldEqual, 2.5)
	})
}
