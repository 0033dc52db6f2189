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

// operator is an operator's access to the platform and to the fleet.
type operator struct {
	settings conf.Operator
	store    *store.Store
}

// handOverNodes is how many nodes an accepted edit is handed to.
const handOverNodes = 5

func newOperator(file string) (*operator, error) {
	settings, err := conf.LoadOperator(file)
	if err != nil {
		return nil, err
	}
	return &operator{settings: settings, store: store.New(settings.Platform)}, nil
}

func (o *operator) close() { o.store.Close() }

// edit changes a key and hands the accepted record to a few nodes, so that an outage of the platform
// right afterwards does not stop it.
func (o *operator) edit(ctx context.Context, key state.Key, change store.Change) (state.Record, error) {
	nodes := o.nodes(ctx)
	r, err := o.store.Edit(ctx, key, o.settings.Name, wire.EditOf, change)
	if err != nil {
		return state.Record{}, err
	}
	return r, o.handOver(r, nodes)
}

// nodes returns addresses to hand an edit to: those of the settings and of the platform's join list.
func (o *operator) nodes(ctx context.Context) []netip.AddrPort {
	nodes := slices.Clone(o.settings.Seeds)
	if r, found, err := o.store.Get(ctx, state.JoinsKey); err == nil && found {
		if joins, err := wire.DecodeJoins(r.Value); err == nil {
			nodes = append(nodes, joins...)
		}
	}
	return nodes[:min(len(nodes), handOverNodes)]
}

// handOver sends a record to nodes as one rumour each. They also find it at the platform, so a loss
// here only costs time.
func (o *operator) handOver(r state.Record, nodes []netip.AddrPort) error {
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
		return errs.Wrap(err, errs.Internal, "no socket for the hand-over")
	}
	defer func() { _ = conn.Close() }()
	for _, node := range nodes {
		_, _ = conn.WriteToUDPAddrPort(sealed, node)
	}
	return nil
}

// current reads a key's record, of kind NotFound if there is none.
func (o *operator) current(ctx context.Context, key state.Key) (state.Record, error) {
	r, found, err := o.store.Get(ctx, key)
	if err != nil {
		return state.Record{}, err
	}
	if !found {
		return state.Record{}, errs.New(errs.NotFound, "key %q does not exist", key)
	}
	return r, nil
}

// indent returns JSON on several lines.
func indent(raw []byte) []byte {
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
