package cmds

import (
	"encoding/json"
	"io"

	"github.com/spf13/cobra"

	"monsoonstep/core/errs"
)

// addOutputFlag adds the flag --output and checks its value before the command runs.
func addOutputFlag(cmd *cobra.Command, output *string) {
	cmd.Flags().StringVar(output, "output", "table", "the output format, table or json")
	check := cmd.PreRunE
	cmd.PreRunE = func(cmd *cobra.Command, args []string) error {
		if *output != "table" && *output != "json" {
			return errs.New(errs.BadInput, "--output is %q; it must be table or json", *output)
		}
		if check != nil {
			return check(cmd, args)
		}
		return nil
	}
}

func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
