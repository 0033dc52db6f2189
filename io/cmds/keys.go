package cmds

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"monsoonstep/core/errs"
	"monsoonstep/core/proto/keys"
	"monsoonstep/core/proto/wire"
	"monsoonstep/core/state"
)

const (
	saltBytes = 16
	// defaultActivationDelay is the time between adding a generation and its first use, in which every node receives it.
	defaultActivationDelay = 30 * time.Second
	// minRetireAge is how long the next generation must have been in use before a generation may be retired.
	minRetireAge  = time.Hour
	maxGeneration = 255
)

func keysCommand(s streams) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "keys",
		Short: "Create the fleet key and certificates, and rotate the key ring",
		RunE:  requireSubcommand,
	}
	cmd.AddCommand(fleetKeyCommand(s), certificatesCommand(s), showRingCommand(s), rotateCommand(s), retireCommand(s))
	return cmd
}

func fleetKeyCommand(s streams) *cobra.Command {
	return &cobra.Command{
		Use:     "fleet",
		Short:   "Print a new fleet key",
		Example: "  (umask 077; monsoonstep keys fleet > fleet.key)",
		Args:    exactArgs(),
		RunE: func(*cobra.Command, []string) error {
			var key keys.Fleet
			if _, err := rand.Read(key[:]); err != nil {
				return errs.Wrap(err, errs.Internal, "can't read random numbers")
			}
			_, err := io.WriteString(s.out, key.Text())
			return err
		},
	}
}

func showRingCommand(s streams) *cobra.Command {
	var file, output string
	cmd := &cobra.Command{
		Use:   "show",
		Short: "Show the generations of the key ring",
		Args:  exactArgs(),
		RunE: withOperator(&file, func(ctx context.Context, o *operator, _ []string) error {
			r, found, err := o.store.Get(ctx, state.RingKey)
			if err != nil {
				return err
			}
			var ring state.Ring
			if found {
				if ring, err = wire.DecodeRing(r.Value); err != nil {
					return err
				}
			}
			return printRing(s.out, ring, output)
		}),
	}
	addSettingsFlag(cmd, &file)
	addOutputFlag(cmd, &output)
	return cmd
}

// ringRow is one generation in the output of keys show.
type ringRow struct {
	Generation int    `json:"generation"`
	ActiveFrom string `json:"activeFrom"`
	Newest     bool   `json:"newest"`
}

func printRing(w io.Writer, ring state.Ring, output string) error {
	newest := ring.Newest(state.Millis(time.Now().UnixMilli()))
	rows := []ringRow{{Generation: 0, ActiveFrom: "always", Newest: newest == 0}}
	for _, k := range ring.Keys {
		rows = append(rows, ringRow{
			Generation: int(k.Generation),
			ActiveFrom: time.UnixMilli(int64(k.ActiveFrom)).UTC().Format(time.RFC3339),
			Newest:     k.Generation == newest,
		})
	}
	if output == "json" {
		return printJSON(w, rows)
	}
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "GENERATION\tACTIVE FROM\tNEWEST")
	for _, r := range rows {
		_, _ = fmt.Fprintf(table, "%d\t%s\t%t\n", r.Generation, r.ActiveFrom, r.Newest)
	}
	return table.Flush()
}

func rotateCommand(s streams) *cobra.Command {
	var file string
	var delay time.Duration
	cmd := &cobra.Command{
		Use:   "rotate",
		Short: "Add a generation to the key ring",
		Long: `Adds a generation. Nodes receive it at once and start to use it after --delay, when all of them have it.
Open flows keep the generation that they were created with, so none breaks.`,
		Args: exactArgs(),
		RunE: withOperator(&file, func(ctx context.Context, o *operator, _ []string) error {
			return editRing(ctx, s, o, func(ring *state.Ring) (string, error) { return addGeneration(ring, delay) })
		}),
	}
	addSettingsFlag(cmd, &file)
	cmd.Flags().DurationVar(&delay, "delay", defaultActivationDelay, "the time until the generation is used")
	return cmd
}

func retireCommand(s streams) *cobra.Command {
	var file string
	var force bool
	cmd := &cobra.Command{
		Use:   "retire GENERATION",
		Short: "Remove a generation from the key ring, which breaks the flows created with it",
		Long: `Removes a generation. Flows whose connection IDs were created with it break, so it is refused until a
newer generation has been in use for an hour. Flows may be older than that; see docs/operators.md.
Generation 0 can't be retired; it is replaced by a new fleet key.`,
		Args: exactArgs("GENERATION"),
		RunE: withOperator(&file, func(ctx context.Context, o *operator, args []string) error {
			n, err := strconv.ParseUint(args[0], 10, 8)
			if err != nil || n == 0 {
				return errs.New(errs.BadInput, "generation %q must be a number from 1 to %d", args[0], maxGeneration)
			}
			return editRing(ctx, s, o, func(ring *state.Ring) (string, error) {
				return removeGeneration(ring, state.Generation(n), force)
			})
		}),
	}
	addSettingsFlag(cmd, &file)
	cmd.Flags().BoolVar(&force, "force", false, "retire it even if flows may still use it")
	return cmd
}

// editRing edits the key ring and prints what change returns as its summary.
func editRing(ctx context.Context, s streams, o *operator, change func(*state.Ring) (string, error)) error {
	var summary string
	r, err := o.edit(ctx, state.RingKey, func(current state.Record, edit state.Edit) ([]byte, error) {
		var ring state.Ring
		var err error
		if len(current.Value) > 0 {
			if ring, err = wire.DecodeRing(current.Value); err != nil {
				return nil, err
			}
		}
		if summary, err = change(&ring); err != nil {
			return nil, err
		}
		ring.Edit = edit
		return wire.EncodeRing(ring)
	})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.out, "%s; accepted at revision %d\n", summary, r.Revision)
	return err
}

// addGeneration adds a generation with a random salt that is used after a delay.
func addGeneration(ring *state.Ring, delay time.Duration) (string, error) {
	next := state.Generation(1)
	if n := len(ring.Keys); n > 0 {
		if ring.Keys[n-1].Generation == maxGeneration {
			return "", errs.New(errs.BadInput, "the ring has used all generations up to %d; replace the fleet key", maxGeneration)
		}
		next = ring.Keys[n-1].Generation + 1
	}
	salt := make([]byte, saltBytes)
	if _, err := rand.Read(salt); err != nil {
		return "", errs.Wrap(err, errs.Internal, "can't read random numbers")
	}
	active := time.Now().Add(delay)
	ring.Keys = append(ring.Keys, state.RingKeyInfo{Generation: next, Salt: salt, ActiveFrom: state.Millis(active.UnixMilli())})
	return fmt.Sprintf("generation %d is used from %s", next, active.UTC().Format(time.RFC3339)), nil
}

// removeGeneration removes a generation. Without force it refuses the newest one, and one whose successor has been in
// use for less than minRetireAge.
func removeGeneration(ring *state.Ring, g state.Generation, force bool) (string, error) {
	for i, k := range ring.Keys {
		if k.Generation != g {
			continue
		}
		if !force {
			if i == len(ring.Keys)-1 {
				return "", errs.New(errs.BadInput, "generation %d is the newest; add another with keys rotate first", g)
			}
			if next := ring.Keys[i+1]; time.Since(time.UnixMilli(int64(next.ActiveFrom))) < minRetireAge {
				return "", errs.New(errs.BadInput, "generation %d has been in use for less than %v; wait, or use --force", next.Generation, minRetireAge)
			}
		}
		ring.Keys = append(ring.Keys[:i:i], ring.Keys[i+1:]...)
		return fmt.Sprintf("generation %d is retired", g), nil
	}
	return "", errs.New(errs.NotFound, "generation %d is not in the ring", g)
}
