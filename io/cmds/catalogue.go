package cmds

import (
	"context"

	"github.com/spf13/cobra"
)

func catalogueCommand(s streams) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "catalogue",
		Short: "Read and edit the catalogue of services",
		Long: `Reads and edits the catalogue. Each entry names a service, its owner, its class, its address and its
limits. An edit is accepted once the command reports it as accepted; it then takes effect on every node
within seconds and does not revert to an earlier state.`,
		RunE: requireSubcommand,
	}
	cmd.AddCommand(getCommand(s), listCommand(s), putCommand(s), deleteCommand(s), historyCommand(s))
	return cmd
}

// withOperator returns a command function that reads the operator's settings, calls run with them and releases the
// connection to the platform afterwards.
func withOperator(file *string, run func(context.Context, *operator, []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		o, err := newOperator(*file)
		if err != nil {
			return err
		}
		defer o.close()
		ctx := cmd.Context()
		if ctx == nil {
			ctx = context.Background()
		}
		return run(ctx, o, args)
	}
}
