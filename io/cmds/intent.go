package cmds

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"monsoonstep/core/state"
)

// intent describes a kind of record with which an operator states what is to happen with something that has a name: the
// record exists from one command on, and another command marks it as deleted.
type intent struct {
	// subject is what the name belongs to, as in "instance".
	subject string
	// argument stands for the name in the usage.
	argument string
	// example is a name for the examples.
	example string
	key     func(name string) state.Key
	// encode returns the record's value. The error is of kind BadInput if the name is invalid.
	encode func(name string, edit state.Edit) ([]byte, error)
}

// command returns a command that creates the record, or marks it as deleted if undo is set.
func (i intent) command(s streams, command, short, long string, undo bool) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:     command + " " + i.argument,
		Short:   short,
		Long:    long,
		Example: "  monsoonstep " + command + " " + i.example + " --settings operator.json",
		Args:    exactArgs(i.argument),
		RunE: withOperator(&file, func(ctx context.Context, o *operator, args []string) error {
			name := args[0]
			// An invalid name is reported even if the platform does not answer.
			if _, err := i.encode(name, state.Edit{}); err != nil {
				return err
			}
			r, err := o.edit(ctx, i.key(name), func(_ state.Record, edit state.Edit) ([]byte, error) {
				edit.Deleted = undo
				return i.encode(name, edit)
			})
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(s.out, "%s %s: %s is accepted at revision %d\n", i.subject, name, command, r.Revision)
			return err
		}),
	}
	addSettingsFlag(cmd, &file)
	return cmd
}
