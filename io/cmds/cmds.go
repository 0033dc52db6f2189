// Package cmds implements the command line. Each command has its own file with its help, flags and code; the
// table of commands is in this file.
package cmds

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"monsoonstep/core/errs"
)

// Version is the version of the program, which a release build overrides.
var Version = "0.1.0-dev"

// streams holds the standard streams of a run.
type streams struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// commands lists the constructors of the top-level commands.
var commands = []func(streams) *cobra.Command{
	balancerCommand,
	agentCommand,
	catalogueCommand,
	drainCommand,
	undrainCommand,
	evacuateCommand,
	unevacuateCommand,
	stateCommand,
	checkCommand,
	keysCommand,
	versionCommand,
}

// Main runs one command and returns its exit code, which package errs defines for each kind of error.
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
		Short: "A layer-4 load balancer whose services and balancers can shrink by half without callers noticing",
		Long: `monsoonstep runs the balancers and agents of a layer-4 load balancer and the commands of its operators.

Exit codes: 0 success, 1 internal error, 2 bad settings, 3 bad input, 4 not found, 5 conflict with
another edit, 6 refused, 7 the platform's service is down, 8 outcome unknown, 9 forged.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetIn(s.in)
	root.SetOut(s.out)
	root.SetErr(s.err)
	root.CompletionOptions.DisableDefaultCmd = true
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return errs.Wrap(err, errs.BadInput, "can't parse the flags")
	})
	for _, newCommand := range commands {
		root.AddCommand(newCommand(s))
	}
	return root
}

// kindOf returns the kind of an error. An error without a kind comes from the command-line parser and is bad input.
func kindOf(err error) errs.Kind {
	kind := errs.KindOf(err)
	if kind == errs.Internal && !errs.HasKind(err) {
		return errs.BadInput
	}
	return kind
}

// exactArgs returns a check that a command gets one argument for each name. Its error lists the names.
func exactArgs(names ...string) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) == len(names) {
			return nil
		}
		return errs.New(errs.BadInput, "%s expects the arguments %v; number of arguments given: %d; see --help", cmd.CommandPath(), names, len(args))
	}
}

// requireSubcommand runs for a command that only has subcommands: without arguments it shows the help, and an unknown
// subcommand is an error.
func requireSubcommand(cmd *cobra.Command, args []string) error {
	if len(args) == 0 {
		return cmd.Help()
	}
	return errs.New(errs.BadInput, "%s has no subcommand %q; see --help", cmd.CommandPath(), args[0])
}
