// Package cmds is the command line. Each verb has a file of its own, with its help, its flags and its
// code; the table of verbs is in this file.
package cmds

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"monsoonstep/core/errs"
)

// Version is the program's version; a release build sets it.
var Version = "0.1.0-dev"

// streams are the standard streams of a run.
type streams struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// verbs is the table of verbs, in the order of the help.
var verbs = []func(streams) *cobra.Command{
	balancerCommand,
	agentCommand,
	catalogueCommand,
	drainCommand,
	undrainCommand,
	stateCommand,
	checkCommand,
	keysCommand,
	versionCommand,
}

// Main runs one command and returns its exit code, which package errs gives for each kind of error.
func Main(args []string, in io.Reader, out, errOut io.Writer) int {
	s := streams{in: in, out: out, err: errOut}
	root := rootCommand(s)
	root.SetArgs(args)
	err := root.Execute()
	if err == nil {
		return 0
	}
	kind := kindOf(err)
	_, _ = fmt.Fprintf(errOut, "monsoonstep: %s: %s\n", kind, errs.Text(err))
	return kind.Response().ExitCode
}

func rootCommand(s streams) *cobra.Command {
	root := &cobra.Command{
		Use:   "monsoonstep",
		Short: "A layer-4 load balancer whose services and balancers can shrink by half unnoticed",
		Long: `monsoonstep runs the parts of a layer-4 load balancer and the commands of its operators.

Exit codes: 0 done, 1 internal, 2 bad settings, 3 bad input, 4 not found, 5 conflict with another
edit, 6 refused, 7 the platform's service is down, 8 outcome unknown, 9 forged.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetIn(s.in)
	root.SetOut(s.out)
	root.SetErr(s.err)
	root.CompletionOptions.DisableDefaultCmd = true
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return errs.Wrap(err, errs.BadInput, "flags")
	})
	for _, verb := range verbs {
		root.AddCommand(verb(s))
	}
	return root
}

// kindOf returns the kind of an error. Errors of the command line's own parser are bad input.
func kindOf(err error) errs.Kind {
	kind := errs.KindOf(err)
	if kind == errs.Internal && !errs.HasKind(err) {
		return errs.BadInput
	}
	return kind
}

// exactly returns a check for the number of arguments, with a clear error.
func exactly(names ...string) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) == len(names) {
			return nil
		}
		return errs.New(errs.BadInput, "%s takes %d arguments (%v), not %d; see --help", cmd.CommandPath(), len(names), names, len(args))
	}
}

// needsVerb is what a group of verbs runs without one: it shows the help. An unknown verb is an error.
func needsVerb(cmd *cobra.Command, args []string) error {
	if len(args) == 0 {
		return cmd.Help()
	}
	return errs.New(errs.BadInput, "%s has no verb %q; see --help", cmd.CommandPath(), args[0])
}
