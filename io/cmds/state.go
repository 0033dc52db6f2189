package cmds

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/spf13/cobra"

	"monsoonstep/core/errs"
)

const stateRequestTimeout = 5 * time.Second

func stateCommand(s streams) *cobra.Command {
	return &cobra.Command{
		Use:     "state ADDRESS",
		Short:   "Print the state of a process as JSON, from its admin address",
		Example: "  monsoonstep state 10.0.0.7:7404",
		Args:    exactArgs("ADDRESS"),
		RunE: func(_ *cobra.Command, args []string) error {
			address, err := netip.ParseAddrPort(args[0])
			if err != nil {
				return errs.New(errs.BadInput, "address %q must be an IP address and a port", args[0])
			}
			return printState(s.out, address)
		},
	}
}

func printState(w io.Writer, address netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(context.Background(), stateRequestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/state", nil)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "can't create the request for the state")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errs.New(errs.NotFound, "no process answers at %s: %v", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errs.New(errs.NotFound, "the process at %s answered %s", address, response.Status)
	}
	if _, err := io.Copy(w, response.Body); err != nil {
		return errs.Wrap(err, errs.Internal, "can't read the whole state of %s", address)
	}
	return nil
}
