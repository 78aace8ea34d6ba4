package main

import (
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// runMainVariable makes the test binary run the program.
const runMainVariable = "PERIDOTREEL_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// waitLimit is the maximum wait for a process that ends within some 3 s.
const waitLimit = 20 * time.Second

const gatewaySettings = `
host: host-1
zone: a
listen: {callers: "127.0.0.1:0", ready: "127.0.0.1:0", peers: "127.0.0.1:0"}
store: "127.0.0.1:1"
grace: 4s
`

// Guards against a SIGTERM that is lost behind SIGHUPs which arrive while the settings are
// read: the host would go on until it is killed, and cut its requests.
func TestSIGTERMStopsAGatewayThatReloads(t *testing.T) {
	Convey("Given a gateway that reads its settings slowly", t, func() {
		path := filepath.Join(t.TempDir(), "settings.yaml")
		So(os.WriteFile(path, []byte(gatewaySettings), 0o600), ShouldBeNil)
		gateway := exec.CommandContext(t.Context(), os.Args[0], "gateway", "--config", path) //nolint:gosec // this test
		gateway.Env = append(os.Environ(), runMainVariable+"=1")
		output, err := gateway.StdoutPipe()
		So(err, ShouldBeNil)
		So(gateway.Start(), ShouldBeNil)
		_, err = output.Read(make([]byte, 1))
		So(err, ShouldBeNil)
		go func() { _, _ = io.Copy(io.Discard, output) }()
		So(os.Remove(path), ShouldBeNil)
		So(syscall.Mkfifo(path, 0o600), ShouldBeNil)
		for range 20 {
			So(gateway.Process.Signal(syscall.SIGHUP), ShouldBeNil)
			time.Sleep(10 * time.Millisecond)
		}
		So(gateway.Process.Signal(syscall.SIGTERM), ShouldBeNil)
		time.Sleep(10 * time.Millisecond)
		ended := make(chan error, 1)
		go func() { ended <- gateway.Wait() }()
		// Each read of the settings waits for a writer.
		for deadline := time.Now().Add(waitLimit); ; time.Sleep(time.Millisecond) {
			select {
			case err := <-ended:
				So(err, ShouldBeNil)
				return
			default:
			}
			if file, err := os.OpenFile(path, os.O_WRONLY|syscall.O_NONBLOCK, 0); err == nil {
				_, _ = file.WriteString(gatewaySettings)
				_ = file.Close()
			}
			So(time.Now().Before(deadline), ShouldBeTrue)
		}
	})
}

// Guards against a host that ends without a drain, or that does not start, because it gets
// SIGHUP before it has read its settings.
func TestAGatewayTakesSIGHUPBeforeItHasReadItsSettings(t *testing.T) {
	Convey("Given a gateway that waits for its settings", t, func() {
		path := filepath.Join(t.TempDir(), "settings.yaml")
		So(syscall.Mkfifo(path, 0o600), ShouldBeNil)
		gateway := exec.CommandContext(t.Context(), os.Args[0], "gateway", "--config", path) //nolint:gosec // this test
		gateway.Env = append(os.Environ(), runMainVariable+"=1")
		So(gateway.Start(), ShouldBeNil)
		file, err := os.OpenFile(path, os.O_WRONLY, 0)
		So(err, ShouldBeNil)
		So(gateway.Process.Signal(syscall.SIGHUP), ShouldBeNil)
		So(gateway.Process.Signal(syscall.SIGTERM), ShouldBeNil)
		So(os.Remove(path), ShouldBeNil)
		So(os.WriteFile(path, []byte(gatewaySettings), 0o600), ShouldBeNil)
		_, err = file.WriteString(gatewaySettings)
		So(err, ShouldBeNil)
		So(file.Close(), ShouldBeNil)
		So(gateway.Wait(), ShouldBeNil)
	})
}
