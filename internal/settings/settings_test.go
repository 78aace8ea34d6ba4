package settings

import (
	"net"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const settingsYAML = `
host: entry-1
zone: lima-a
listen: {callers: "127.0.0.1:8080", peers: "127.0.0.1:8081", admin: "127.0.0.1:8082"}
platform: http://127.0.0.1:9000
`

// Guards against invalid settings that are only noticed after the host has
// started, and against errors that do not name the field.
func TestSettingsAreFullyValidated(t *testing.T) {
	Convey("Valid settings load with defaults", t, func() {
		settings, err := Parse([]byte(settingsYAML))
		So(err, ShouldBeNil)
		So(settings.Drain.BalancerWait, ShouldEqual, Duration(defaultBalancerWait))
	})
	for _, bad := range []struct{ change, field string }{
		{"colour: red", "colour"},
		{"zone: ''", "zone"},
		{"platform: 127.0.0.1:9000", "platform"},
		{"listen: {callers: 'localhost:1', peers: '127.0.0.1:8081', admin: '127.0.0.1:8082'}", "listen.callers"},
		{"listen: {callers: '127.0.0.1:1', peers: '127.0.0.1:1', admin: '127.0.0.1:8082'}", "listen.peers"},
		{"peers: [nowhere]", "peers[0]"},
		{"drain: {balancer_wait: 5}", "file"},
		{"drain: {limit: 0s}", "drain.limit"},
		{"operators: [{name: ana, key_digest: abc}]", "operators[0].key_digest"},
		{"log: {level: loud}", "log.level"},
	} {
		Convey("A bad field is named on one line: "+bad.change, t, func() {
			key, _, _ := strings.Cut(bad.change, ":")
			var lines []string
			for _, line := range strings.Split(settingsYAML, "\n") {
				if !strings.HasPrefix(line, key+":") {
					lines = append(lines, line)
				}
			}
			_, err := Parse([]byte(strings.Join(append(lines, bad.change), "\n")))
			So(err, ShouldHaveSameTypeAs, &Error{})
			So(err.Error(), ShouldStartWith, "settings: "+bad.field+": ")
			So(err.Error(), ShouldNotContainSubstring, "\n")
		})
	}
	Convey("An address in use is named", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = listener.Close() }()
		listen := Listen{Callers: listener.Addr().String(), Peers: "127.0.0.1:0", Admin: "127.0.0.1:0"}
		So(listen.CheckAddresses().Error(), ShouldContainSubstring, "listen.callers")
	})
}
