package claims

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/oklog/ulid/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/fault"
)

// Guards against accepting a key whose record may have been deleted, and
// against refusing it with not_run although the call may have run.
func TestValidateKey(t *testing.T) {
	issued := time.UnixMilli(1_800_000_000_000)
	id, _ := ulid.New(ulid.Timestamp(issued), nil)
	v7 := uuid.UUID{0x01, 0xA3, 0x18, 0x5C, 0x50, 0x00, 0x70, 0, 0x80}
	check := func(key string, age time.Duration) (fault.Code, fault.RunState) {
		if err := ValidateKey(key, issued.Add(age)); err != nil {
			return fault.From(err).Code, fault.From(err).Run
		}
		return "", ""
	}
	Convey("A key is valid within the retry window and the clock skew", t, func() {
		So(v7.Version(), ShouldEqual, 7)
		for _, key := range []string{id.String(), v7.String()} {
			for _, age := range []time.Duration{-MaxClockSkew, 0, RetryWindow + MaxClockSkew} {
				code, _ := check(key, age)
				So(code, ShouldBeEmpty)
			}
			code, run := check(key, RetryWindow+MaxClockSkew+time.Millisecond)
			So([]any{code, run}, ShouldResemble, []any{fault.KeyExpired, fault.Unknown})
			code, run = check(key, -MaxClockSkew-time.Millisecond)
			So([]any{code, run}, ShouldResemble, []any{fault.KeyInvalid, fault.NotRun})
			So(Deletable(key, issued.Add(RecordRetention)), ShouldBeFalse)
			So(Deletable(key, issued.Add(RecordRetention+time.Millisecond)), ShouldBeTrue)
		}
		for _, key := range []string{"order-17", "f47ac10b-58cc-4372-a567-0e02b2c3d479", "{" + v7.String()[:34] + "}"} {
			code, _ := check(key, 0)
			So(code, ShouldEqual, fault.KeyInvalid)
		}
	})
}

// Guards against overwriting the newer claim of another host: a release
// reaches the table, its response is lost, the other host claims the call, and
// then the retried release conflicts while a local waiter wants the call.
func TestUnconfirmedReleaseKeepsNewerClaim(t *testing.T) {
	self, other := core.HostRef{Host: "a"}, core.HostRef{Host: "b"}
	register, now := NewRegister(self), time.Unix(0, 0)
	key := Key{Team: "t", Key: "k"}
	next := func() *Batch {
		now = now.Add(BatchDelay)
		return register.NextBatch(now)
	}
	register.Claim(1, key, [32]byte{}, now)
	register.Committed(next(), now)
	register.Withdraw(1, func(core.HostRef) bool { return false }, now)
	release := next()
	register.Claim(2, key, [32]byte{}, now)
	newer := Row{Version: 3, Record: Record{State: Claimed, Holder: other, Attempt: 1}}
	register.Conflicted(release, map[Key]Row{key: newer}, func(core.HostRef) bool { return false }, now)
	Convey("The waiter polls the claim of the other host", t, func() {
		So(next(), ShouldBeNil)
		So(register.NextPoll(now.Add(PollInterval)), ShouldResemble, []Key{key})
	})
}
