package cmds

import (
	"context"

	"github.com/spf13/cobra"

	"monsoonstep/core/errs"
	"monsoonstep/core/proto/wire"
	"monsoonstep/core/state"
)

func getCommand(s streams) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:     "get SERVICE",
		Short:   "Print an entry as JSON, in the format that put reads",
		Example: "  monsoonstep catalogue get atelier --settings operator.json > atelier.json",
		Args:    exactArgs("SERVICE"),
		RunE: withOperator(&file, func(ctx context.Context, o *operator, args []string) error {
			r, err := o.currentRecord(ctx, state.EntryKey(state.ServiceName(args[0])))
			if err != nil {
				return err
			}
			if wire.EditOf(r.Value).Deleted {
				return errs.New(errs.NotFound, "service %q was deleted by edit %s", args[0], wire.EditOf(r.Value).ID)
			}
			_, err = s.out.Write(indentJSON(r.Value))
			return err
		}),
	}
	addSettingsFlag(cmd, &file)
	return cmd
}
