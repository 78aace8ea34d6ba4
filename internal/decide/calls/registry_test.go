package calls

import (
	"encoding/binary"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Guards against unbounded memory, and against late updates that replace a newer
// location or mark a finished call as running.
func TestRegistryBounds(t *testing.T) {
	now, registry := time.Unix(0, 0), NewRegistry()
	id, old, current := core.RequestID{1}, core.Target{Upstream: "old"}, core.Target{Upstream: "current"}
	registry.Apply(Update{Request: id, Target: current, At: 2, Finished: true}, now)
	registry.Apply(Update{Request: id, Target: old, At: 1}, now)
	registry.Apply(Update{Request: id, Target: old, At: 2}, now)
	found, _ := registry.Find(id, now)
	_, later := registry.Find(id, now.Add(FinishedTTL))
	for i := range 3 * MaxEntries {
		var request core.RequestID
		binary.BigEndian.PutUint64(request[:], uint64(i/2)+1)
		registry.Apply(Update{Request: request, At: int64(i), Finished: i%3 == 0}, now)
	}
	entries, _ := registry.Size()
	expiries := len(registry.runningExpiries) + len(registry.finishedExpiries)
	registry.Apply(Update{Request: id, At: 9}, now.Add(LocationTTL))
	left, _ := registry.Size()
	Convey("The newest location wins, and the limits hold", t, func() {
		So(found, ShouldResemble, current)
		So(later, ShouldBeFalse)
		So(entries, ShouldBeBetweenOrEqual, MaxEntries/2, MaxEntries)
		So(expiries, ShouldBeLessThanOrEqualTo, 2*MaxEntries)
		So(left, ShouldEqual, 1)
	})
}
