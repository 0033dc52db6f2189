package cmds

import (
	"context"

	"github.com/spf13/cobra"

	"monsoonstep/io/admin"
	"monsoonstep/io/conf"
	"monsoonstep/io/front"
	"monsoonstep/io/proc"
)

func balancerCommand(s streams) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "balancer --settings FILE",
		Short: "Run a balancer on an entry instance",
		Long: `Runs a balancer until SIGTERM or SIGINT. It then tells the fabric by /readyz, and the agents,
to go elsewhere, forwards for a short time (lingerMillis), and exits. It holds no flow, so it can also be
killed. A second signal ends it at once.`,
		Example: "  monsoonstep balancer --settings docs/samples/balancer.json",
		Args:    exactly(),
		RunE: func(*cobra.Command, []string) error {
			settings, err := conf.LoadBalancer(file)
			if err != nil {
				return err
			}
			return runBalancer(s, settings)
		},
	}
	settingsFlag(cmd, &file)
	return cmd
}

func runBalancer(s streams, settings conf.Balancer) error {
	d, err := proc.New(s.out, settings.LogLevel)
	if err != nil {
		return err
	}
	b, err := front.NewBalancer(d.Group, settings, d.Log, d.Metrics)
	if err != nil {
		return d.Abort(err)
	}
	defer b.Close()
	err = admin.Serve(d.Group, settings.Admin, admin.Pages{
		Metrics: d.Metrics,
		State:   func() any { return b.Dump() },
		Ready:   b.Ready,
	})
	if err != nil {
		return d.Abort(err)
	}
	return d.Run(Version, func(context.Context) { b.Stop(d.Group.Context()) })
}
