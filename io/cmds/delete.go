package cmds

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"monsoonstep/core/errs"
	"monsoonstep/core/proto/wire"
	"monsoonstep/core/state"
)

func deleteCommand(s streams) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "delete SERVICE",
		Short: "Delete an entry, which breaks the flows of its service",
		Args:  exactArgs("SERVICE"),
		RunE: withOperator(&file, func(ctx context.Context, o *operator, args []string) error {
			name := state.ServiceName(args[0])
			r, err := o.edit(ctx, state.EntryKey(name), func(current state.Record, edit state.Edit) ([]byte, error) {
				e, err := wire.DecodeEntry(current.Value)
				if len(current.Value) == 0 || e.Edit.Deleted {
					return nil, errs.New(errs.NotFound, "service %q does not exist", name)
				}
				if err != nil {
					e = state.Entry{Service: name}
				}
				edit.Deleted = true
				e.Edit = edit
				return wire.EncodeEntry(e)
			})
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(s.out, "service %s: deleted at revision %d\n", name, r.Revision)
			return err
		}),
	}
	addSettingsFlag(cmd, &file)
	return cmd
}
