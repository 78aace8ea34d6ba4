package connpool

import (
	"context"
	"os"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// maxLateDescriptors is more than the descriptors that tests before may give back late.
const maxLateDescriptors = 64

// Guards against a host without free file descriptors that takes its upstreams for
// unreachable, and leaves them out for longer and longer, although they are sound.
func TestAHostWithoutDescriptorsDoesNotBlameTheUpstream(t *testing.T) {
	Convey("Given an upstream and a process without a free file descriptor", t, func() {
		address, _, stop := upstream()
		pool, end := startPool()
		Reset(func() { end(); stop() })
		useAllDescriptors()
		// Sockets of tests before may be closed only now, each of which gives a descriptor back.
		var err error
		for range maxLateDescriptors {
			if _, _, err = pool.Acquire(context.Background(), Target{Upstream: "u", Address: address, MaxConnections: maxLateDescriptors + 1}); err != nil {
				break
			}
		}
		So(err, ShouldWrap, ErrConnectionLimit)
		So(err, ShouldWrap, syscall.EMFILE)
	})
}

// useAllDescriptors lowers the process's limit of file descriptors to those that are in
// use, until the end of the test.
func useAllDescriptors() {
	var limit syscall.Rlimit
	So(syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit), ShouldBeNil)
	Reset(func() { So(syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit), ShouldBeNil) })
	free, err := os.Open(os.DevNull)
	So(err, ShouldBeNil)
	lowest := uint64(free.Fd())
	So(free.Close(), ShouldBeNil)
	So(syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: lowest, Max: limit.Max}), ShouldBeNil)
}
