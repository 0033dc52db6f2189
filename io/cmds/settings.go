package cmds

import "github.com/spf13/cobra"

func settingsFlag(cmd *cobra.Command, file *string) {
	cmd.Flags().StringVar(file, "settings", "", "the settings file (required)")
	_ = cmd.MarkFlagRequired("settings")
}
