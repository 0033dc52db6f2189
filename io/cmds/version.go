package cmds

import (
	"fmt"
	"runtime"

	"github.com/spf13/cobra"
)

func versionCommand(s streams) *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  exactArgs(),
		RunE: func(*cobra.Command, []string) error {
			_, err := fmt.Fprintf(s.out, "monsoonstep %s (%s)\n", Version, runtime.Version())
			return err
		},
	}
}
