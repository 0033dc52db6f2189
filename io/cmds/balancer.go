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
		Long: `Runs a balancer until SIGTERM or SIGINT. It then signals the fabric (by /readyz) and the agents to use other
balancers, continues to forward for a short time (lingerMillis), and exits. It holds no flow, so it can
also be killed. A second signal stops it at once.`,
		Example: "  monsoonstep balancer --settings docs/samples/balancer.json",
		Args:    exactArgs(),
		RunE: func(*cobra.Command, []string) error {
			settings, err := conf.LoadBalancer(file)
			if err != nil {
				return err
			}
			return runBalancer(s, settings)
		},
	}
	addSettingsFlag(cmd, &file)
	return cmd
}

func runBalancer(s streams, settings conf.Balancer) error {
	p, err := proc.New(s.out, settings.LogLevel)
	if err != nil {
		return err
	}
	b, err := front.NewBalancer(p.Group, settings, p.Log, p.Metrics)
	if err != nil {
		return p.Abort(err)
	}
	defer b.Close()
	err = admin.Serve(p.Group, settings.Admin, admin.Pages{
		Metrics: p.Metrics,
		State:   func() any { return b.Dump() },
		Ready:   b.Ready,
	})
	if err != nil {
		return p.Abort(err)
	}
	return p.Run(Version, func(context.Context) { b.Stop(p.Group.Context()) })
}
