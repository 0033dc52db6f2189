package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"monsoonstep/core/proto/wire"
	"monsoonstep/core/state"
)

// historyLimit bounds how many edits history prints.
const historyLimit = 20

func historyCommand(s streams) *cobra.Command {
	var file, output string
	cmd := &cobra.Command{
		Use:   "history SERVICE",
		Short: "List the last edits of an entry, the newest first",
		Long: `Lists the last edits of an entry, as far as the platform's service still has them: it drops old
revisions when it compacts.`,
		Args: exactly("SERVICE"),
		RunE: withOperator(&file, func(ctx context.Context, o *operator, args []string) error {
			key := state.EntryKey(state.ServiceName(args[0]))
			r, err := o.current(ctx, key)
			if err != nil {
				return err
			}
			history := []state.Record{r}
			for len(history) < historyLimit {
				older, found, err := o.store.GetBefore(ctx, key, history[len(history)-1].Revision)
				if err != nil || !found {
					break
				}
				history = append(history, older)
			}
			return printHistory(s.out, history, output)
		}),
	}
	settingsFlag(cmd, &file)
	outputFlag(cmd, &output)
	return cmd
}

func printHistory(w io.Writer, history []state.Record, output string) error {
	if output == "json" {
		list := []json.RawMessage{}
		for _, r := range history {
			list = append(list, r.Value)
		}
		return printJSON(w, list)
	}
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "REVISION\tAT\tBY\tEDIT\tDELETED")
	for _, r := range history {
		edit := wire.EditOf(r.Value)
		at := time.UnixMilli(int64(edit.At)).UTC().Format(time.RFC3339)
		_, _ = fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%t\n", r.Revision, at, edit.By, edit.ID, edit.Deleted)
	}
	return table.Flush()
}
