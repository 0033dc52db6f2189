package agent

import (
	"math/rand/v2"
	"net/netip"
	"sync/atomic"

	"github.com/quic-go/quic-go"

	"monsoonstep/core/proto/connid"
	"monsoonstep/core/state"
	"monsoonstep/io/ctrl"
)

// idGenerator generates connection IDs that contain this agent's route (package connid).
type idGenerator struct {
	view      func() *ctrl.View
	agentAddr netip.AddrPort
	// id is the ID of the agent's service.
	id    state.ServiceID
	first connid.Serial
	// last is the serial of the latest ID.
	last atomic.Uint32
}

func newIDGenerator(view func() *ctrl.View, agentAddr netip.AddrPort, id state.ServiceID) *idGenerator {
	g := &idGenerator{view: view, agentAddr: agentAddr, id: id, first: connid.FirstSerial(rand.Uint32())}
	g.last.Store(uint32(g.first))
	return g
}

// GenerateConnectionID implements quic.ConnectionIDGenerator.
func (g *idGenerator) GenerateConnectionID() (quic.ConnectionID, error) {
	id := connid.Append(nil, g.view().Keys, connid.Route{Agent: g.agentAddr, Service: g.id, Serial: g.nextSerial()})
	return quic.ConnectionIDFromBytes(id), nil
}

func (g *idGenerator) nextSerial() connid.Serial {
	for {
		last := g.last.Load()
		nextSerial := connid.Serial(last).Next()
		if g.last.CompareAndSwap(last, uint32(nextSerial)) {
			return nextSerial
		}
	}
}

// isOwn reports whether a route comes from an ID that this process generated.
func (g *idGenerator) isOwn(r connid.Route) bool {
	return r.Agent == g.agentAddr && r.Serial.SameProcess(g.first)
}

// ConnectionIDLen implements quic.ConnectionIDGenerator.
func (g *idGenerator) ConnectionIDLen() int { return connid.Size }
