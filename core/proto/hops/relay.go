package hops

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/errs"
	"monsoonstep/core/state"
)

// The field numbers of a relay message.
const (
	relayKind protowire.Number = iota + 1
	relayFlow
	relayService
	relayConfig
	relayHolder
	relayReason
	relayLoad
	relayPacket
	relayTargetMillis
	relayLate
	relayFlows
	relayUnsure
)

// The field numbers of a load.
const (
	loadTakes protowire.Number = iota + 1
	loadReason
	loadBusy
	loadFlows
	loadSlots
	loadServiceMicros
	loadWarmupMillis
	loadPeriodMillis
	loadMeanBusyHundredths
	loadRoom
	loadComplete
)

const hundredths = 100

// AppendRelay appends the datagram of a message to b.
func AppendRelay(b []byte, m relay.Message) []byte {
	b = append(b, byte(TypeRelay))
	b = appendNumber(b, relayKind, uint64(m.Kind))
	if m.Flow != (state.FlowID{}) {
		b = appendBytes(b, relayFlow, appendFlow(nil, m.Flow))
	}
	b = appendNumber(b, relayService, uint64(m.Service))
	b = appendNumber(b, relayConfig, uint64(m.Config))
	b = appendAddress(b, relayHolder, m.Holder)
	b = appendNumber(b, relayReason, uint64(m.Reason))
	b = appendNumber(b, relayTargetMillis, uint64(max(0, m.LatencyObjective.Milliseconds())))
	b = appendNumber(b, relayLate, protowire.EncodeBool(m.Late))
	b = appendFlows(b, relayFlows, m.Flows)
	b = appendFlows(b, relayUnsure, m.Unresolved)
	if m.Kind == relay.KindLoad {
		b = appendBytes(b, relayLoad, appendLoad(nil, m.Load))
	}
	return appendBytes(b, relayPacket, m.Packet)
}

func appendLoad(b []byte, l relay.Load) []byte {
	b = appendNumber(b, loadTakes, protowire.EncodeBool(l.Accepting))
	b = appendNumber(b, loadReason, uint64(l.Reason))
	b = appendNumber(b, loadBusy, uint64(max(0, l.Outstanding)))
	b = appendNumber(b, loadFlows, uint64(max(0, l.OpenFlows)))
	b = appendNumber(b, loadSlots, uint64(max(0, l.Slots)))
	b = appendNumber(b, loadServiceMicros, uint64(max(0, l.ServiceTime.Microseconds())))
	b = appendNumber(b, loadWarmupMillis, uint64(max(0, l.WarmupLeft.Milliseconds())))
	b = appendNumber(b, loadPeriodMillis, uint64(max(0, l.ReportInterval.Milliseconds())))
	b = appendNumber(b, loadMeanBusyHundredths, uint64(max(0, l.MeanOutstanding*hundredths)))
	b = appendNumber(b, loadComplete, protowire.EncodeBool(l.KnowsAllFlows))
	return appendNumber(b, loadRoom, uint64(max(0, l.Headroom)))
}

func appendFlow(b []byte, f state.FlowID) []byte {
	return append(append(b, endBytes(f.Client)...), endBytes(f.Virtual)...)
}

// appendFlows appends flows as one field, one after the other.
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

// DecodeRelay decodes a datagram of SortRelay. The packet shares memory with b.
func DecodeRelay(b []byte) (relay.Message, error) {
	var m relay.Message
	if sort, ok := TypeOf(b); !ok || sort != TypeRelay {
		return m, errs.New(errs.BadInput, "datagram is no relay message")
	}
	err := eachField(b[1:], func(f field) error { return setRelay(&m, f) })
	if err != nil {
		return relay.Message{}, err
	}
	if m.Kind == 0 || m.Kind >= relay.KindCount {
		return relay.Message{}, errs.New(errs.BadInput, "relay message of unknown kind %d", m.Kind)
	}
	if m.Kind.CarriesPacket() && len(m.Packet) == 0 {
		return relay.Message{}, errs.New(errs.BadInput, "relay message of kind %d lacks its packet", m.Kind)
	}
	return m, nil
}

func setRelay(m *relay.Message, f field) error {
	var err error
	switch f.number {
	case relayKind:
		m.Kind = relay.Kind(f.value)
	case relayFlow:
		m.Flow, err = flowFrom(f.bytes)
	case relayService:
		m.Service = state.ServiceID(f.value)
	case relayConfig:
		m.Config = state.ConfigVersion(f.value)
	case relayHolder:
		m.Holder, err = addressFrom(f.bytes)
	case relayReason:
		m.Reason = relay.Reason(f.value)
	case relayLoad:
		err = eachField(f.bytes, func(l field) error { setLoad(&m.Load, l); return nil })
	case relayPacket:
		m.Packet = f.bytes
	case relayFlows:
		m.Flows, err = flowsFrom(f.bytes)
	case relayUnsure:
		m.Unresolved, err = flowsFrom(f.bytes)
	case relayLate:
		m.Late = f.value != 0
	case relayTargetMillis:
		m.LatencyObjective = duration(f.value, time.Millisecond)
	}
	return err
}

// flowSize is the encoded size of a flow in bytes.
const flowSize = 2 * endSize

func flowsFrom(b []byte) ([]state.FlowID, error) {
	if len(b)%flowSize != 0 || len(b) > relay.MaxFlows*flowSize {
		return nil, errs.New(errs.BadInput, "list of flows of %d bytes", len(b))
	}
	flows := make([]state.FlowID, 0, len(b)/flowSize)
	for ; len(b) > 0; b = b[flowSize:] {
		f, err := flowFrom(b[:flowSize])
		if err != nil {
			return nil, err
		}
		flows = append(flows, f)
	}
	return flows, nil
}

func flowFrom(b []byte) (state.FlowID, error) {
	if len(b) != flowSize {
		return state.FlowID{}, errs.New(errs.BadInput, "flow of %d bytes instead of %d", len(b), flowSize)
	}
	client, _ := endFrom(b[:endSize])
	virtual, err := endFrom(b[endSize:])
	return state.FlowID{Client: client, Virtual: virtual}, err
}

// countLimit bounds the counts of a load, so that a damaged datagram can't overflow sums.
const countLimit = 1 << 20

// timeLimit bounds the times of a load.
const timeLimit = time.Hour

func setLoad(l *relay.Load, f field) {
	count := int(min(f.value, countLimit))
	switch f.number {
	case loadTakes:
		l.Accepting = f.value != 0
	case loadReason:
		l.Reason = relay.Reason(f.value)
	case loadBusy:
		l.Outstanding = count
	case loadFlows:
		l.OpenFlows = count
	case loadSlots:
		l.Slots = count
	case loadServiceMicros:
		l.ServiceTime = duration(f.value, time.Microsecond)
	case loadWarmupMillis:
		l.WarmupLeft = duration(f.value, time.Millisecond)
	case loadPeriodMillis:
		l.ReportInterval = duration(f.value, time.Millisecond)
	case loadComplete:
		l.KnowsAllFlows = f.value != 0
	case loadRoom:
		l.Headroom = count
	case loadMeanBusyHundredths:
		l.MeanOutstanding = float64(count) / hundredths
	}
}

func duration(value uint64, unit time.Duration) time.Duration {
	return time.Duration(min(value, uint64(timeLimit/unit))) * unit
}
