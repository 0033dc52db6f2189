package wire

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"regexp"
	"time"

	"monsoonstep/core/errs"
	"monsoonstep/core/state"
)

// MaxRecordBytes is the largest size of a record's value, so that a record fits into one gossip message.
const MaxRecordBytes = 900

// The upper bounds of an entry's limits and of its list of host names.
const (
	maxSlots       = 1000
	maxQueue       = 10000
	maxConnections = 100000
	maxDeadline    = time.Hour
	maxBodyBytes   = 1 << 20
	maxHostNames   = 4
)

var hostNamePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,98}[a-z0-9])?$`)

var serviceNamePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,39}$`)

type entryJSON struct {
	Service string     `json:"service"`
	Owner   string     `json:"owner"`
	Class   string     `json:"class"`
	Address string     `json:"address"`
	Names   []string   `json:"names,omitempty"`
	Limits  limitsJSON `json:"limits"`
	Edit    *editJSON  `json:"edit,omitempty"`
}

// limitsJSON has pointers, so that a missing limit can be told from one that is 0.
type limitsJSON struct {
	Slots             *int     `json:"slots,omitempty"`
	Queue             *int     `json:"queue,omitempty"`
	Connections       *int     `json:"connections,omitempty"`
	DeadlineMillis    *int64   `json:"deadlineMillis,omitempty"`
	MaxDeadlineMillis *int64   `json:"maxDeadlineMillis,omitempty"`
	RetryBudget       *float64 `json:"retryBudget,omitempty"`
	BodyBytes         *int     `json:"bodyBytes,omitempty"`
}

// EncodeEntry returns the entry as JSON on one line. The error is of kind TooLarge if that exceeds MaxRecordBytes.
func EncodeEntry(e state.Entry) ([]byte, error) {
	raw, err := json.Marshal(entryJSON{
		Service: string(e.Service),
		Owner:   e.Owner,
		Class:   e.Class.String(),
		Address: e.Address.String(),
		Names:   e.Names,
		Limits:  limitsToJSON(e.Limits),
		Edit:    editToJSON(e.Edit),
	})
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "entry %q could not be encoded", e.Service)
	}
	if len(raw) > MaxRecordBytes {
		return nil, errs.New(errs.TooLarge, "entry %q has %d bytes; at most %d are allowed", e.Service, len(raw), MaxRecordBytes)
	}
	return raw, nil
}

// DecodeEntry decodes and checks an entry. The error is of kind BadInput and names all problems. Of a deleted entry only the
// service is checked.
func DecodeEntry(raw []byte) (state.Entry, error) {
	var j entryJSON
	if err := strictUnmarshal(raw, &j); err != nil {
		return state.Entry{}, err
	}
	check := &checker{}
	e := state.Entry{
		Service: state.ServiceName(j.Service),
		Owner:   j.Owner,
		Names:   j.Names,
		Limits:  limitsFromJSON(j.Limits),
		Edit:    editFromJSON(j.Edit),
	}
	check.require(serviceNamePattern.MatchString(j.Service), "service", j.Service, "a lower-case name of at most 40 letters, digits and dashes")
	if !e.Edit.Deleted {
		check.checkEntry(&e, j)
	}
	return e, check.err("entry")
}

// The limits of an entry that does not set them.
const (
	defaultSlots       = 4
	defaultQueue       = 16
	defaultConnections = 4000
	defaultDeadline    = 10 * time.Second
	defaultMaxDeadline = time.Minute
	defaultRetryBudget = 0.1
	defaultBodyBytes   = 256 << 10
)

// limitsFromJSON returns the limits in j, with the default for each that is missing. The default of MaxDeadline
// is never below Deadline.
func limitsFromJSON(j limitsJSON) state.Limits {
	l := state.Limits{
		Slots:       defaultSlots,
		Queue:       defaultQueue,
		Connections: defaultConnections,
		Deadline:    defaultDeadline,
		RetryBudget: defaultRetryBudget,
		BodyBytes:   defaultBodyBytes,
	}
	setInt(&l.Slots, j.Slots)
	setInt(&l.Queue, j.Queue)
	setInt(&l.Connections, j.Connections)
	setInt(&l.BodyBytes, j.BodyBytes)
	setMillis(&l.Deadline, j.DeadlineMillis)
	l.MaxDeadline = max(defaultMaxDeadline, l.Deadline)
	setMillis(&l.MaxDeadline, j.MaxDeadlineMillis)
	if j.RetryBudget != nil {
		l.RetryBudget = *j.RetryBudget
	}
	return l
}

func limitsToJSON(l state.Limits) limitsJSON {
	deadline, maxDeadline := l.Deadline.Milliseconds(), l.MaxDeadline.Milliseconds()
	return limitsJSON{
		Slots:             &l.Slots,
		Queue:             &l.Queue,
		Connections:       &l.Connections,
		DeadlineMillis:    &deadline,
		MaxDeadlineMillis: &maxDeadline,
		RetryBudget:       &l.RetryBudget,
		BodyBytes:         &l.BodyBytes,
	}
}

func setInt(into, from *int) {
	if from != nil {
		*into = *from
	}
}

func setMillis(into *time.Duration, from *int64) {
	if from != nil {
		*into = time.Duration(*from) * time.Millisecond
	}
}

// checkEntry checks the fields of an entry that is not deleted, and sets e.Class and e.Address.
func (c *checker) checkEntry(e *state.Entry, j entryJSON) {
	var ok bool
	e.Class, ok = state.ParseClass(j.Class)
	c.require(ok, "class", j.Class, "normal or important")
	address, err := netip.ParseAddrPort(j.Address)
	c.require(err == nil && address.Addr().Is4() && address.Port() != 0, "address", j.Address, "an IPv4 address and a port, for example 10.0.0.7:443")
	e.Address = address
	c.require(len(j.Names) <= maxHostNames, "names", fmt.Sprint(len(j.Names), " names"), fmt.Sprintf("at most %d names", maxHostNames))
	for i, name := range j.Names {
		c.require(hostNamePattern.MatchString(name), fmt.Sprintf("names[%d]", i), name, "a lower-case host name")
	}
	c.require(j.Owner != "" && len(j.Owner) <= 64, "owner", j.Owner, "a name of 1 to 64 bytes")
	c.requireRange("limits.slots", int64(e.Limits.Slots), 1, maxSlots)
	c.requireRange("limits.queue", int64(e.Limits.Queue), 0, maxQueue)
	c.requireRange("limits.connections", int64(e.Limits.Connections), 1, maxConnections)
	c.requireRange("limits.deadlineMillis", e.Limits.Deadline.Milliseconds(), 1, maxDeadline.Milliseconds())
	c.requireRange("limits.maxDeadlineMillis", e.Limits.MaxDeadline.Milliseconds(), e.Limits.Deadline.Milliseconds(), maxDeadline.Milliseconds())
	c.requireRange("limits.bodyBytes", int64(e.Limits.BodyBytes), 1, maxBodyBytes)
	budget := e.Limits.RetryBudget
	c.require(budget >= 0 && budget <= 1, "limits.retryBudget", fmt.Sprint(budget), "0 to 1")
}
