package cmds

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"slices"

	"monsoonstep/core/coord/gossip"
	"monsoonstep/core/errs"
	"monsoonstep/core/proto/keys"
	"monsoonstep/core/proto/wire"
	"monsoonstep/core/state"
	"monsoonstep/io/conf"
	"monsoonstep/io/store"
)

// operator provides an operator's access to the platform's store and to the fleet.
type operator struct {
	settings conf.Operator
	store    *store.Store
}

// maxRecipients bounds the number of nodes to which an accepted edit is sent.
const maxRecipients = 5

func newOperator(file string) (*operator, error) {
	settings, err := conf.LoadOperator(file)
	if err != nil {
		return nil, err
	}
	return &operator{settings: settings, store: store.New(settings.Platform)}, nil
}

func (o *operator) close() { o.store.Close() }

// edit changes a key in the store and sends the accepted record to a few nodes, so that the edit spreads even if the
// platform fails right afterwards.
func (o *operator) edit(ctx context.Context, key state.Key, change store.Change) (state.Record, error) {
	recipients := o.recipients(ctx)
	r, err := o.store.Edit(ctx, key, o.settings.Name, wire.EditOf, change)
	if err != nil {
		return state.Record{}, err
	}
	return r, o.sendRecord(r, recipients)
}

// recipients returns the nodes to which an edit is sent: first the seeds of the settings, then the platform's
// join list.
func (o *operator) recipients(ctx context.Context) []netip.AddrPort {
	recipients := slices.Clone(o.settings.Seeds)
	if r, found, err := o.store.Get(ctx, state.JoinsKey); err == nil && found {
		if joins, err := wire.DecodeJoins(r.Value); err == nil {
			recipients = append(recipients, joins...)
		}
	}
	return recipients[:min(len(recipients), maxRecipients)]
}

// sendRecord sends a record to nodes as one gossip message each. Nodes also read it from the platform, so a lost message
// only delays the edit.
func (o *operator) sendRecord(r state.Record, recipients []netip.AddrPort) error {
	set, err := keys.New(o.settings.FleetKey, state.Ring{}, 0)
	if err != nil {
		return err
	}
	sealed, err := wire.SealGossip(set.At(0), gossip.Message{
		Kind:    gossip.KindUpdates,
		From:    "operator",
		Records: []state.Record{r},
	})
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp", nil)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "can't open a UDP socket to send the edit to nodes")
	}
	defer func() { _ = conn.Close() }()
	for _, node := range recipients {
		_, _ = conn.WriteToUDPAddrPort(sealed, node)
	}
	return nil
}

// currentRecord reads the record of a key. The error is of kind NotFound if there is none.
func (o *operator) currentRecord(ctx context.Context, key state.Key) (state.Record, error) {
	r, found, err := o.store.Get(ctx, key)
	if err != nil {
		return state.Record{}, err
	}
	if !found {
		return state.Record{}, errs.New(errs.NotFound, "key %q does not exist", key)
	}
	return r, nil
}

// indentJSON returns JSON indented on several lines, or the text unchanged if it is not valid JSON.
func indentJSON(raw []byte) []byte {
	var value any
	if json.Unmarshal(raw, &value) != nil {
		return raw
	}
	out, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return raw
	}
	return append(out, '\n')
}
