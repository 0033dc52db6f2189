package route

import (
	"bytes"
	"net/netip"

	"monsoonstep/core/state"
)

// maxKeptPackets limits the packets that a balancer keeps.
const maxKeptPackets = 4096

// Kept holds one packet of each flow whose agent is suspected to be dead. Once the agent is declared dead the packets
// are routed to other agents, which answer with stateless resets. Without this a caller would be reset only when it next
// sends a packet, and its retransmissions are ever further apart (RFC 9002, section 6.2.1). It is not safe for concurrent use.
type Kept struct {
	packets map[keptKey]KeptPacket
}

// keptKey identifies a flow: a caller has at most one for each service and address.
type keptKey struct {
	service state.ServiceID
	caller  netip.AddrPort
}

// KeptPacket is a packet that was forwarded to a suspected agent.
type KeptPacket struct {
	Service state.ServiceID
	Caller  netip.AddrPort
	Packet  []byte
	// agent is the flow address of the suspected agent.
	agent netip.AddrPort
}

// NewKept returns an empty Kept.
func NewKept() *Kept { return &Kept{packets: make(map[keptKey]KeptPacket)} }

// Keep stores a copy of a packet unless a longer one of the same flow is stored: a stateless reset has to be shorter than the
// packet that it answers (RFC 9000, section 10.3). While maxKeptPackets are stored, packets of further flows are not.
func (k *Kept) Keep(agent netip.AddrPort, service state.ServiceID, caller netip.AddrPort, packet []byte) {
	key := keptKey{service: service, caller: caller}
	former, stored := k.packets[key]
	if !stored && len(k.packets) >= maxKeptPackets {
		return
	}
	if former.agent == agent && len(former.Packet) > len(packet) {
		return
	}
	k.packets[key] = KeptPacket{Service: service, Caller: caller, Packet: bytes.Clone(packet), agent: agent}
}

// TakeOfDead removes the packets whose agents are no longer suspected, and returns those whose agents are dead.
func (k *Kept) TakeOfDead(t *Table) []KeptPacket {
	var ofDead []KeptPacket
	for key, p := range k.packets {
		if t.Suspects(p.agent) {
			continue
		}
		delete(k.packets, key)
		if known := t.knownAgents[p.agent]; !known.present {
			ofDead = append(ofDead, p)
		}
	}
	return ofDead
}
