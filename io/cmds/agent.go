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
		Short: "Run an agent next to a target",
		Long: `Runs an agent. After SIGTERM or SIGINT, or after "monsoonstep drain" of its instance, it drains: it accepts
no new work, finishes open requests, and exits when no flow is left. A second signal stops it at once
and cuts off open requests and flows.`,
		Example: "  monsoonstep agent --settings docs/samples/agent.json",
		Args:    exactArgs(),
		RunE: func(*cobra.Command, []string) error {
			settings, err := conf.LoadAgent(file)
			if err != nil {
				return err
			}
			return runAgent(s, settings)
		},
	}
	addSettingsFlag(cmd, &file)
	return cmd
}

func runAgent(s streams, settings conf.Agent) error {
	p, err := proc.New(s.out, settings.LogLevel)
	if err != nil {
		return err
	}
	a, err := agent.New(p.Group, settings, p.Log, p.Metrics)
	if err != nil {
		return p.Abort(err)
	}
	defer a.Close()
	err = admin.Serve(p.Group, settings.Admin, admin.Pages{
		Metrics: p.Metrics,
		State:   func() any { return a.Dump() },
		Ready:   a.Ready,
	})
	if err != nil {
		return p.Abort(err)
	}
	p.StopWhen(a.Done())
	return p.Run(Version, func(context.Context) {
		a.Stop()
		select {
		case <-a.Done():
		case <-p.Group.Context().Done():
		}
	})
}
