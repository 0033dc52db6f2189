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

// maxHistoryEdits bounds the number of edits that the history command prints.
const maxHistoryEdits = 20

func historyCommand(s streams) *cobra.Command {
	var file, output string
	cmd := &cobra.Command{
		Use:   "history SERVICE",
		Short: "List the latest edits of an entry, newest first",
		Long: `Lists the latest edits of an entry, as far as the platform's service still has them: it deletes old
revisions when it compacts its store.`,
		Args: exactArgs("SERVICE"),
		RunE: withOperator(&file, func(ctx context.Context, o *operator, args []string) error {
			key := state.EntryKey(state.ServiceName(args[0]))
			r, err := o.currentRecord(ctx, key)
			if err != nil {
				return err
			}
			edits := []state.Record{r}
			for len(edits) < maxHistoryEdits {
				older, found, err := o.store.GetBefore(ctx, key, edits[len(edits)-1].Revision)
				if err != nil || !found {
					break
				}
				edits = append(edits, older)
			}
			return printHistory(s.out, edits, output)
		}),
	}
	addSettingsFlag(cmd, &file)
	addOutputFlag(cmd, &output)
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
