package demo

import (
	"context"
	"fmt"
	"io"

	"github.com/peridotreel/peridotreel/internal/filter/authenticate"
	"github.com/peridotreel/peridotreel/internal/settings"
)

// operatorKey authorizes requests to the admin interface of the demo's hosts.
const operatorKey = "demo-operator"

// Serve starts the fleet and runs it until ctx ends. It prints the addresses and
// keys for callers and operators.
func Serve(ctx context.Context, out io.Writer) error {
	d, err := start(ctx, out)
	if err != nil {
		return err
	}
	defer func() { _ = d.fleet.Stop() }()
	for _, running := range d.fleet.Hosts {
		fmt.Fprintf(out, "host %s in %s: callers http://%s/v1, operators http://%s/\n",
			running.Name, running.Zone, running.CallerAddress(), running.AdminAddress())
	}
	fmt.Fprintf(out, "operators' key: %s\n", operatorKey)
	for _, demoTeam := range d.teams {
		fmt.Fprintf(out, "team %s: key %s\n", demoTeam.row.Team, demoTeam.key)
	}
	first, host := d.teams[0], d.fleet.Hosts[0]
	fmt.Fprintf(out, "try:\ncurl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d "+
		"'{\"model\": %q, \"stream\": true, \"messages\": [{\"role\": \"user\", \"content\": \"What do you pay for a dual land?\"}]}'\n",
		host.CallerAddress(), first.key, modelQuick)
	fmt.Fprintf(out, "or: peridotreel table --platform %s list\n", d.fleet.PlatformURL)
	<-ctx.Done()
	return nil
}

// operators returns the operators of the demo's hosts.
func operators() []settings.Operator {
	return []settings.Operator{{Name: operatorName, KeyDigest: authenticate.Digest(operatorKey)}}
}
