package cmds

import (
	"fmt"

	"github.com/spf13/cobra"

	"monsoonstep/io/conf"
)

func checkCommand(s streams) *cobra.Command {
	return &cobra.Command{
		Use:   "check ROLE FILE",
		Short: "Check a settings file",
		Long: `Checks a settings file as the role (balancer, agent or operator) does at its start, and prints all its
problems. The exit code is 2 if there are any.`,
		Example: "  monsoonstep check agent docs/samples/agent.json",
		Args:    exactArgs("ROLE", "FILE"),
		RunE: func(_ *cobra.Command, args []string) error {
			if err := conf.Check(args[0], args[1]); err != nil {
				return err
			}
			_, err := fmt.Fprintf(s.out, "%s: valid settings of the role %s\n", args[1], args[0])
			return err
		},
	}
}
