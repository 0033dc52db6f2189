package cmds

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"monsoonstep/core/errs"
	"monsoonstep/core/proto/wire"
	"monsoonstep/core/state"
)

func putCommand(s streams) *cobra.Command {
	var file, entryFile string
	var replace bool
	cmd := &cobra.Command{
		Use:   "put --file FILE",
		Short: "Create or change an entry",
		Long: `Creates or changes an entry. The file has the form that get prints; "-" reads standard input.

If the file has the "edit" of the entry that it was made from, the change is accepted only if nobody
has changed the entry since. A file without one makes a new entry; with --replace it overwrites.`,
		Example: `  monsoonstep catalogue get atelier --settings operator.json > atelier.json
  (edit atelier.json)
  monsoonstep catalogue put --file atelier.json --settings operator.json`,
		Args: exactly(),
		RunE: withOperator(&file, func(ctx context.Context, o *operator, _ []string) error {
			raw, err := readInput(s.in, entryFile)
			if err != nil {
				return err
			}
			e, err := wire.DecodeEntry(raw)
			if err != nil {
				return err
			}
			return putEntry(ctx, s, o, e, replace)
		}),
	}
	settingsFlag(cmd, &file)
	cmd.Flags().StringVar(&entryFile, "file", "", "the entry's file, or - for standard input (required)")
	cmd.Flags().BoolVar(&replace, "replace", false, "overwrite whatever the entry is now")
	_ = cmd.MarkFlagRequired("file")
	return cmd
}

func putEntry(ctx context.Context, s streams, o *operator, e state.Entry, replace bool) error {
	if err := checkOthers(ctx, o, e); err != nil {
		return err
	}
	base := e.Edit
	r, err := o.edit(ctx, state.EntryKey(e.Service), func(current state.Record, edit state.Edit) ([]byte, error) {
		if err := checkBase(e.Service, wire.EditOf(current.Value), base, replace); err != nil {
			return nil, err
		}
		e.Edit = edit
		return wire.EncodeEntry(e)
	})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.out, "service %s: edit %s is accepted at revision %d\n", e.Service, wire.EditOf(r.Value).ID, r.Revision)
	return err
}

// checkBase refuses a change that would overwrite an edit which its writer has not seen.
func checkBase(name state.ServiceName, now, base state.Edit, replace bool) error {
	switch {
	case replace || now.ID == base.ID:
		return nil
	case base.ID == "" && now.Deleted:
		return nil
	case base.ID == "":
		return errs.New(errs.Conflict, "service %q exists (edit %s by %q); get it and change that, or use --replace", name, now.ID, now.By)
	default:
		return errs.New(errs.Conflict, "service %q was changed by edit %s of %q since the file was read; get it again", name, now.ID, now.By)
	}
}

// checkOthers refuses an entry that takes the address or the number of another service.
func checkOthers(ctx context.Context, o *operator, e state.Entry) error {
	records, _, err := o.store.ChangedSince(ctx, 0)
	if err != nil {
		return err
	}
	for _, r := range records {
		other, err := wire.DecodeEntry(r.Value)
		if !r.Key.HasPrefix(state.EntryPrefix) || err != nil || other.Edit.Deleted || other.Service == e.Service {
			continue
		}
		if other.Address == e.Address {
			return errs.New(errs.Conflict, "address %s belongs to service %q", e.Address, other.Service)
		}
		if other.Service.ID() == e.Service.ID() {
			return errs.New(errs.Conflict, "the name %q has the same number as %q in packets; choose another", e.Service, other.Service)
		}
	}
	return nil
}

func readInput(in io.Reader, file string) ([]byte, error) {
	if file == "-" {
		raw, err := io.ReadAll(in)
		if err != nil {
			return nil, errs.Wrap(err, errs.BadInput, "standard input can't be read")
		}
		return raw, nil
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, errs.New(errs.BadInput, "file %s can't be read: %v", file, err)
	}
	return raw, nil
}
