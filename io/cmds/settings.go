package cmds

import "github.com/spf13/cobra"

// addSettingsFlag adds the required flag --settings.
func addSettingsFlag(cmd *cobra.Command, file *string) {
	cmd.Flags().StringVar(file, "settings", "", "the settings file (required)")
	_ = cmd.MarkFlagRequired("settings")
}
