package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"monsoonstep/core/proto/wire"
	"monsoonstep/core/state"
)

func listCommand(s streams) *cobra.Command {
	var file, output string
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List all entries",
		Args:  exactArgs(),
		RunE: withOperator(&file, func(ctx context.Context, o *operator, _ []string) error {
			records, _, err := o.store.ChangedSince(ctx, 0)
			if err != nil {
				return err
			}
			return printEntries(s.out, records, output)
		}),
	}
	addSettingsFlag(cmd, &file)
	addOutputFlag(cmd, &output)
	return cmd
}

// printEntries prints the entries among the records that are not deleted.
func printEntries(w io.Writer, records []state.Record, output string) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	list := []json.RawMessage{}
	_, _ = fmt.Fprintln(table, "SERVICE\tOWNER\tCLASS\tADDRESS\tSLOTS\tREVISION\tBY")
	for _, r := range records {
		if !r.Key.HasPrefix(state.EntryPrefix) || wire.EditOf(r.Value).Deleted {
			continue
		}
		list = append(list, r.Value)
		e, err := wire.DecodeEntry(r.Value)
		if err != nil {
			_, _ = fmt.Fprintf(table, "%s\t(invalid: %v)\n", r.Key, err)
			continue
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%s\n",
			e.Service, e.Owner, e.Class, e.Address, e.Limits.Slots, r.Revision, e.Edit.By)
	}
	if output == "json" {
		return printJSON(w, list)
	}
	return table.Flush()
}
