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
		Long: `Creates or changes an entry. The file has the format that get prints; "-" reads standard input.

If the file contains the "edit" of the entry that it was made from, the change is accepted only if nobody
has changed the entry since. A file without "edit" creates a new entry. With --replace, the file
overwrites the entry in any case.`,
		Example: `  monsoonstep catalogue get atelier --settings operator.json > atelier.json
  (edit atelier.json)
  monsoonstep catalogue put --file atelier.json --settings operator.json`,
		Args: exactArgs(),
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
	addSettingsFlag(cmd, &file)
	cmd.Flags().StringVar(&entryFile, "file", "", "the entry's file, or - for standard input (required)")
	cmd.Flags().BoolVar(&replace, "replace", false, "overwrite the entry even if it was changed since")
	_ = cmd.MarkFlagRequired("file")
	return cmd
}

func putEntry(ctx context.Context, s streams, o *operator, e state.Entry, replace bool) error {
	if err := checkUnique(ctx, o, e); err != nil {
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

// checkBase refuses a change that would overwrite an edit that its author has not seen: last is the latest edit of the
// entry, base the one that the author's file is based on.
func checkBase(name state.ServiceName, last, base state.Edit, replace bool) error {
	switch {
	case replace || last.ID == base.ID:
		return nil
	case base.ID == "" && last.Deleted:
		return nil
	case base.ID == "":
		return errs.New(errs.Conflict, "service %q already exists (edit %s by %q); get its entry and change that, or use --replace", name, last.ID, last.By)
	default:
		return errs.New(errs.Conflict, "service %q was changed (edit %s by %q) since the file was read; get its entry again", name, last.ID, last.By)
	}
}

// checkUnique refuses an entry whose address, or whose service ID in packets, belongs to another service.
func checkUnique(ctx context.Context, o *operator, e state.Entry) error {
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
			return errs.New(errs.Conflict, "address %s is already used by service %q", e.Address, other.Service)
		}
		if other.Service.ID() == e.Service.ID() {
			return errs.New(errs.Conflict, "the name %q has the same ID in packets as the name %q; choose another", e.Service, other.Service)
		}
	}
	return nil
}

// readInput reads a file, or in if the name is "-".
func readInput(in io.Reader, file string) ([]byte, error) {
	if file == "-" {
		raw, err := io.ReadAll(in)
		if err != nil {
			return nil, errs.Wrap(err, errs.BadInput, "can't read standard input")
		}
		return raw, nil
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, errs.New(errs.BadInput, "can't read file %s: %v", file, err)
	}
	return raw, nil
}
