package hops

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/errs"
	"monsoonstep/core/state"
)

// The field numbers of a relay.Message.
const (
	relayKind protowire.Number = iota + 1
	relayFlow
	relayService
	relayConfigVersion
	relayHolder
	relayReason
	relayLoad
	relayPacket
	relayLatencyObjectiveMillis
	relayLate
	relayFlows
	relayUnresolved
	relayWarmupRateHundredths
	relayAssumed
)

// The field numbers of a relay.Load.
const (
	loadAccepting protowire.Number = iota + 1
	loadReason
	loadOutstanding
	loadOpenFlows
	loadSlots
	loadServiceTimeMicros
	loadWarmupLeftMillis
	loadReportIntervalMillis
	loadMeanOutstandingHundredths
	loadHeadroom
	loadKnowsAllFlows
	loadFailing
	loadServiceSamples
)

// hundredthsPerUnit converts MeanOutstanding and WarmupRate, which are encoded as whole numbers of hundredths.
const hundredthsPerUnit = 100

// AppendRelay appends the datagram for m to b.
func AppendRelay(b []byte, m relay.Message) []byte {
	b = append(b, byte(TypeRelay))
	b = appendVarint(b, relayKind, uint64(m.Kind))
	if m.Flow != (state.FlowID{}) {
		b = appendBytes(b, relayFlow, appendFlow(nil, m.Flow))
	}
	b = appendVarint(b, relayService, uint64(m.Service))
	b = appendVarint(b, relayConfigVersion, uint64(m.Config))
	b = appendAddress(b, relayHolder, m.Holder)
	b = appendVarint(b, relayReason, uint64(m.Reason))
	b = appendVarint(b, relayLatencyObjectiveMillis, uint64(max(0, m.LatencyObjective.Milliseconds())))
	b = appendVarint(b, relayLate, protowire.EncodeBool(m.Late))
	b = appendVarint(b, relayAssumed, protowire.EncodeBool(m.Assumed))
	b = appendFlows(b, relayFlows, m.Flows)
	b = appendFlows(b, relayUnresolved, m.Unresolved)
	b = appendVarint(b, relayWarmupRateHundredths, uint64(max(0, m.WarmupRate*hundredthsPerUnit)))
	if m.HasLoad {
		b = appendBytes(b, relayLoad, appendLoad(nil, m.Load))
	}
	return appendBytes(b, relayPacket, m.Packet)
}

func appendLoad(b []byte, l relay.Load) []byte {
	b = appendVarint(b, loadAccepting, protowire.EncodeBool(l.Accepting))
	b = appendVarint(b, loadReason, uint64(l.Reason))
	b = appendVarint(b, loadOutstanding, uint64(max(0, l.Outstanding)))
	b = appendVarint(b, loadOpenFlows, uint64(max(0, l.Flows)))
	b = appendVarint(b, loadSlots, uint64(max(0, l.Slots)))
	b = appendVarint(b, loadServiceTimeMicros, uint64(max(0, l.ServiceTime.Microseconds())))
	b = appendVarint(b, loadServiceSamples, uint64(max(0, l.ServiceSamples)))
	b = appendVarint(b, loadWarmupLeftMillis, uint64(max(0, l.WarmupLeft.Milliseconds())))
	b = appendVarint(b, loadReportIntervalMillis, uint64(max(0, l.ReportInterval.Milliseconds())))
	b = appendVarint(b, loadMeanOutstandingHundredths, uint64(max(0, l.MeanOutstanding*hundredthsPerUnit)))
	b = appendVarint(b, loadKnowsAllFlows, protowire.EncodeBool(l.KnowsAllFlows))
	b = appendVarint(b, loadFailing, protowire.EncodeBool(l.Failing))
	return appendVarint(b, loadHeadroom, uint64(max(0, l.Headroom)))
}

// appendFlow appends the client's and the virtual endpoint of f to b.
func appendFlow(b []byte, f state.FlowID) []byte {
	return append(append(b, encodeEndpoint(f.Client)...), encodeEndpoint(f.Virtual)...)
}

// appendFlows appends all flows, one after the other, as one field to b.
func appendFlows(b []byte, number protowire.Number, flows []state.FlowID) []byte {
	if len(flows) == 0 {
		return b
	}
	packed := make([]byte, 0, len(flows)*flowSize)
	for _, f := range flows {
		packed = appendFlow(packed, f)
	}
	return appendBytes(b, number, packed)
}

// DecodeRelay decodes a datagram of TypeRelay. The packet in the message shares memory with b. The error is of kind BadInput.
func DecodeRelay(b []byte) (relay.Message, error) {
	var m relay.Message
	if datagramType, ok := TypeOf(b); !ok || datagramType != TypeRelay {
		return m, errs.New(errs.BadInput, "datagram is not a relay message")
	}
	err := forEachField(b[1:], func(f field) error { return setRelayField(&m, f) })
	if err != nil {
		return relay.Message{}, err
	}
	if m.Kind == 0 || m.Kind >= relay.KindCount {
		return relay.Message{}, errs.New(errs.BadInput, "relay message has the unknown kind %d", m.Kind)
	}
	if m.Kind.CarriesPacket() && len(m.Packet) == 0 {
		return relay.Message{}, errs.New(errs.BadInput, "relay message of kind %d has no packet", m.Kind)
	}
	return m, nil
}

func setRelayField(m *relay.Message, f field) error {
	var err error
	switch f.number {
	case relayKind:
		m.Kind = relay.Kind(min(f.value, uint64(relay.KindCount)))
	case relayFlow:
		m.Flow, err = decodeFlow(f.bytes)
	case relayService:
		m.Service = state.ServiceID(f.value)
	case relayConfigVersion:
		m.Config = state.ConfigVersion(f.value)
	case relayHolder:
		m.Holder, err = decodeAddress(f.bytes)
	case relayReason:
		m.Reason = relay.Reason(f.value)
	case relayPacket:
		m.Packet = f.bytes
	case relayFlows:
		m.Flows, err = decodeFlows(f.bytes)
	case relayUnresolved:
		m.Unresolved, err = decodeFlows(f.bytes)
	case relayLate:
		m.Late = f.value != 0
	case relayAssumed:
		m.Assumed = f.value != 0
	case relayLatencyObjectiveMillis:
		m.LatencyObjective = decodeDuration(f.value, time.Millisecond)
	default:
		err = setRelayLoadField(m, f)
	}
	return err
}

// setRelayLoadField sets the fields of a message that concern load and overload.
func setRelayLoadField(m *relay.Message, f field) error {
	var err error
	switch f.number {
	case relayLoad:
		m.HasLoad = true
		err = forEachField(f.bytes, func(l field) error { setLoadField(&m.Load, l); return nil })
	case relayWarmupRateHundredths:
		m.WarmupRate = float64(min(f.value, maxCount)) / hundredthsPerUnit
	}
	return err
}

// flowSize is the encoded size of a state.FlowID in bytes.
const flowSize = 2 * endpointSize

func decodeFlows(b []byte) ([]state.FlowID, error) {
	if len(b)%flowSize != 0 || len(b) > relay.MaxFlows*flowSize {
		return nil, errs.New(errs.BadInput, "list of flows has %d bytes: not a whole number of flows, or too many of them", len(b))
	}
	flows := make([]state.FlowID, 0, len(b)/flowSize)
	for ; len(b) > 0; b = b[flowSize:] {
		f, err := decodeFlow(b[:flowSize])
		if err != nil {
			return nil, err
		}
		flows = append(flows, f)
	}
	return flows, nil
}

func decodeFlow(b []byte) (state.FlowID, error) {
	if len(b) != flowSize {
		return state.FlowID{}, errs.New(errs.BadInput, "flow has %d bytes instead of %d", len(b), flowSize)
	}
	client, _ := decodeEndpoint(b[:endpointSize])
	virtual, err := decodeEndpoint(b[endpointSize:])
	return state.FlowID{Client: client, Virtual: virtual}, err
}

// maxCount limits decoded counts, so that a damaged datagram can't make sums of them overflow.
const maxCount = 1 << 20

// maxDuration limits decoded durations.
const maxDuration = time.Hour

func setLoadField(l *relay.Load, f field) {
	count := int(min(f.value, maxCount))
	switch f.number {
	case loadAccepting:
		l.Accepting = f.value != 0
	case loadReason:
		l.Reason = relay.Reason(f.value)
	case loadOutstanding:
		l.Outstanding = count
	case loadOpenFlows:
		l.Flows = count
	case loadSlots:
		l.Slots = count
	case loadServiceTimeMicros:
		l.ServiceTime = decodeDuration(f.value, time.Microsecond)
	case loadServiceSamples:
		l.ServiceSamples = count
	case loadWarmupLeftMillis:
		l.WarmupLeft = decodeDuration(f.value, time.Millisecond)
	case loadReportIntervalMillis:
		l.ReportInterval = decodeDuration(f.value, time.Millisecond)
	case loadKnowsAllFlows:
		l.KnowsAllFlows = f.value != 0
	case loadFailing:
		l.Failing = f.value != 0
	case loadHeadroom:
		l.Headroom = count
	case loadMeanOutstandingHundredths:
		l.MeanOutstanding = float64(count) / hundredthsPerUnit
	}
}

// decodeDuration returns value times unit, limited to maxDuration.
func decodeDuration(value uint64, unit time.Duration) time.Duration {
	return time.Duration(min(value, uint64(maxDuration/unit))) * unit
}
