package settings

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const gatewayYAML = `
host: host-1
zone: a
listen: {callers: "10.0.0.1:80", ready: "10.0.0.1:81", peers: "10.0.0.1:82"}
store: "10.0.0.9:83"
`

// Guards against invalid settings that are accepted, and against errors that
// name another field than the invalid one.
func TestGatewaySettingsAreFullyValidated(t *testing.T) {
	Convey("Good settings have their defaults", t, func() {
		parsed, err := ParseGateway([]byte(gatewayYAML))
		So(err, ShouldBeNil)
		So(parsed.Retry.Ratio, ShouldEqual, defaultRetryRatio)
	})
	for field, change := range map[string][2]string{
		"host": {"host: host-1", "host: \"\""}, "zone": {"zone: a", "zone: \"\""}, "store": {"10.0.0.9:83", "store.example:83"},
		"listen.ready": {"10.0.0.1:81", "81"}, "memory_mb": {"zone: a", "zone: a\nmemory_mb: 0"},
		"retry.window": {"zone: a", "zone: a\nretry: {window: 0s}"}, "file": {"zone: a", "zone: a\nunknown: 1"},
	} {
		Convey("A wrong "+field+" is named", t, func() {
			_, err := ParseGateway([]byte(strings.Replace(gatewayYAML, change[0], change[1], 1)))
			So(err, ShouldHaveSameTypeAs, &Error{})
			So(err.(*Error).Field, ShouldEqual, field) //nolint:errorlint // the type was checked
		})
	}
}
