package settings

import (
	"os"
	"regexp"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/decide/coldstart"
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
		So(parsed.Cold, ShouldResemble, Cold{Overage: coldstart.DefaultOverage, Slack: coldstart.DefaultSlack})
	})
	Convey("Fields that the platform does not state leave the defaults, and stated ones apply", t, func() {
		template, err := os.ReadFile("../../deploy/settings.yaml.tmpl")
		So(err, ShouldBeNil)
		fields := map[string]string{
			"node": "host-1", "zone": "a", "listen.front": "10.0.0.1:80", "listen.ready": "10.0.0.1:81", "ip": "10.0.0.1", "internal_ports.0": "82",
			"platform.address": "10.0.0.9:83", "limits.memory_mb": "112", "limits.max_fds": "4096", "bounds.grace_s": "8",
			"bounds.retry_budget_ratio": "0.2", "bounds.budget_slack": "40", "bounds.budget_window_s": "10",
		}
		render := func() Cold {
			text := regexp.MustCompile(`{{([^}]*)}}`).ReplaceAllStringFunc(string(template), func(name string) string { return fields[strings.Trim(name, "{}")] })
			parsed, err := ParseGateway([]byte(text))
			So(err, ShouldBeNil)
			return parsed.Cold
		}
		So(render(), ShouldResemble, Cold{Overage: coldstart.DefaultOverage, Slack: coldstart.DefaultSlack})
		fields["bounds.cold_overage"], fields["bounds.cold_slack"] = "1.5", "5"
		So(render(), ShouldResemble, Cold{Overage: 1.5, Slack: 5})
	})
	for field, change := range map[string][2]string{
		"host": {"host: host-1", "host: \"\""}, "zone": {"zone: a", "zone: \"\""}, "store": {"10.0.0.9:83", "store.example:83"},
		"listen.ready": {"10.0.0.1:81", "81"}, "memory_mb": {"zone: a", "zone: a\nmemory_mb: 0"},
		"retry.window": {"zone: a", "zone: a\nretry: {window: 0s}"}, "cold.overage": {"zone: a", "zone: a\ncold: {overage: .nan}"},
		"cold.slack": {"zone: a", "zone: a\ncold: {slack: -1}"}, "file": {"zone: a", "zone: a\nunknown: 1"},
	} {
		Convey("A wrong "+field+" is named", t, func() {
			_, err := ParseGateway([]byte(strings.Replace(gatewayYAML, change[0], change[1], 1)))
			So(err, ShouldHaveSameTypeAs, &Error{})
			So(err.(*Error).Field, ShouldEqual, field) //nolint:errorlint // the type was checked
		})
	}
}
