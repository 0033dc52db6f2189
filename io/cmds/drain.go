package cmds

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"monsoonstep/core/proto/wire"
	"monsoonstep/core/state"
)

func drainCommand(s streams) *cobra.Command {
	return drainEditCommand(s, "drain", "Drain an instance: it gets no new work, and its agent exits when no flow is left",
		`Within seconds the instance gets no new flows and no new requests. Its agent asks callers to reconnect
elsewhere, finishes open requests, and exits when no flow is left. Draining an instance that is dead
declares that it will not return under this name.`, false)
}

func undrainCommand(s streams) *cobra.Command {
	return drainEditCommand(s, "undrain", "Cancel the drain of an instance",
		`The instance accepts work again if its agent is still running; otherwise the agent may be started again.`, true)
}

// drainEditCommand returns a command that creates the drain of an instance, or deletes it if undo is set.
func drainEditCommand(s streams, command, short, long string, undo bool) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:     command + " INSTANCE",
		Short:   short,
		Long:    long,
		Example: "  monsoonstep " + command + " atelier-3 --settings operator.json",
		Args:    exactArgs("INSTANCE"),
		RunE: withOperator(&file, func(ctx context.Context, o *operator, args []string) error {
			name := state.InstanceName(args[0])
			r, err := o.edit(ctx, state.DrainKey(name), func(_ state.Record, edit state.Edit) ([]byte, error) {
				edit.Deleted = undo
				raw, err := wire.EncodeDrain(state.Drain{Instance: name, Edit: edit})
				if err != nil {
					return nil, err
				}
				_, err = wire.DecodeDrain(raw)
				return raw, err
			})
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(s.out, "instance %s: %s is accepted at revision %d\n", name, command, r.Revision)
			return err
		}),
	}
	addSettingsFlag(cmd, &file)
	return cmd
}
