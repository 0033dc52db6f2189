package wire

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"monsoonstep/core/errs"
	"monsoonstep/core/state"
)

type drainJSON struct {
	Instance string    `json:"instance"`
	Edit     *editJSON `json:"edit"`
}

// EncodeDrain returns a drain intent as JSON.
func EncodeDrain(d state.Drain) ([]byte, error) {
	raw, err := json.Marshal(drainJSON{Instance: string(d.Instance), Edit: editToJSON(d.Edit)})
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "drain of %q could not be encoded", d.Instance)
	}
	return raw, nil
}

// DecodeDrain decodes and checks a drain intent. The error is of kind BadInput.
func DecodeDrain(raw []byte) (state.Drain, error) {
	var j drainJSON
	if err := strictUnmarshal(raw, &j); err != nil {
		return state.Drain{}, err
	}
	check := &checker{}
	check.require(j.Instance != "" && len(j.Instance) <= maxInstanceNameBytes, "instance", j.Instance, "a name of 1 to 128 bytes")
	return state.Drain{Instance: state.InstanceName(j.Instance), Edit: editFromJSON(j.Edit)}, check.err("drain")
}

type ringJSON struct {
	Keys []ringKeyJSON `json:"keys"`
	Edit *editJSON     `json:"edit"`
}

type ringKeyJSON struct {
	Generation       uint8  `json:"generation"`
	Salt             []byte `json:"salt"`
	ActiveFromMillis int64  `json:"activeFromMillis"`
}

// EncodeRing returns the key ring as JSON. The error is of kind TooLarge if that exceeds MaxRecordBytes.
func EncodeRing(r state.Ring) ([]byte, error) {
	j := ringJSON{Keys: []ringKeyJSON{}, Edit: editToJSON(r.Edit)}
	for _, k := range r.Keys {
		j.Keys = append(j.Keys, ringKeyJSON{uint8(k.Generation), k.Salt, int64(k.ActiveFrom)})
	}
	raw, err := json.Marshal(j)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "key ring could not be encoded")
	}
	if len(raw) > MaxRecordBytes {
		return nil, errs.New(errs.TooLarge, "key ring has %d bytes; at most %d are allowed: retire a generation", len(raw), MaxRecordBytes)
	}
	return raw, nil
}

// DecodeRing decodes and checks the key ring. The error is of kind BadInput.
func DecodeRing(raw []byte) (state.Ring, error) {
	var j ringJSON
	if err := strictUnmarshal(raw, &j); err != nil {
		return state.Ring{}, err
	}
	check := &checker{}
	r := state.Ring{Edit: editFromJSON(j.Edit)}
	previous := uint8(0)
	for i, k := range j.Keys {
		path := fmt.Sprintf("keys[%d]", i)
		check.require(k.Generation > previous, path+".generation", fmt.Sprint(k.Generation), "greater than the generation of the previous key, and above 0")
		check.require(len(k.Salt) >= 16, path+".salt", fmt.Sprint(len(k.Salt), " bytes"), "at least 16 bytes")
		previous = k.Generation
		r.Keys = append(r.Keys, state.RingKeyInfo{
			Generation: state.Generation(k.Generation),
			Salt:       k.Salt,
			ActiveFrom: state.Millis(k.ActiveFromMillis),
		})
	}
	return r, check.err("key ring")
}

type joinsJSON struct {
	Addresses []string  `json:"addresses"`
	Edit      *editJSON `json:"edit"`
}

// EncodeJoins returns the join list as JSON: the addresses of members that new instances may contact to join the fleet.
func EncodeJoins(addresses []netip.AddrPort, edit state.Edit) ([]byte, error) {
	j := joinsJSON{Addresses: []string{}, Edit: editToJSON(edit)}
	for _, a := range addresses {
		j.Addresses = append(j.Addresses, a.String())
	}
	raw, err := json.Marshal(j)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "join list could not be encoded")
	}
	return raw, nil
}

// DecodeJoins decodes and checks the join list. The error is of kind BadInput.
func DecodeJoins(raw []byte) ([]netip.AddrPort, error) {
	var j joinsJSON
	if err := strictUnmarshal(raw, &j); err != nil {
		return nil, err
	}
	check := &checker{}
	var out []netip.AddrPort
	for i, s := range j.Addresses {
		a, err := netip.ParseAddrPort(s)
		check.require(err == nil, fmt.Sprintf("addresses[%d]", i), s, "an IP address and a port")
		out = append(out, a)
	}
	return out, check.err("join list")
}
