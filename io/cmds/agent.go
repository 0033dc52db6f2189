package cmds

import (
	"context"

	"github.com/spf13/cobra"

	"monsoonstep/io/admin"
	"monsoonstep/io/agent"
	"monsoonstep/io/conf"
	"monsoonstep/io/proc"
)

func agentCommand(s streams) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "agent --settings FILE",
		Short: "Run an agent beside a target",
		Long: `Runs an agent until it has drained: after SIGTERM or SIGINT, or after "monsoonstep drain" of its
instance. It takes nothing new, finishes what is open, and exits when no flow is left. A second signal
ends it at once and cuts what is open.`,
		Example: "  monsoonstep agent --settings docs/samples/agent.json",
		Args:    exactly(),
		RunE: func(*cobra.Command, []string) error {
			settings, err := conf.LoadAgent(file)
			if err != nil {
				return err
			}
			return runAgent(s, settings)
		},
	}
	settingsFlag(cmd, &file)
	return cmd
}

func runAgent(s streams, settings conf.Agent) error {
	d, err := proc.New(s.out, settings.LogLevel)
	if err != nil {
		return err
	}
	a, err := agent.New(d.Group, settings, d.Log, d.Metrics)
	if err != nil {
		return d.Abort(err)
	}
	defer a.Close()
	err = admin.Serve(d.Group, settings.Admin, admin.Pages{
		Metrics: d.Metrics,
		State:   func() any { return a.Dump() },
		Ready:   a.Ready,
	})
	if err != nil {
		return d.Abort(err)
	}
	d.StopWhen(a.Done())
	return d.Run(Version, func(context.Context) {
		a.Stop()
		select {
		case <-a.Done():
		case <-d.Group.Context().Done():
		}
	})
}
