// Package conf reads and checks the settings file of each role.
//
// A file is one JSON object with camelCase keys. All problems are reported in one run: unknown keys,
// missing keys, wrong types, and values out of range, each with the path of the key, the value and what
// is allowed.
package conf

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"monsoonstep/core/errs"
)

// Problem is one invalid, missing or unknown key of a settings file.
type Problem struct {
	Path    string
	Value   string
	Allowed string
}

// String returns the problem as one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s is not allowed; it must be %s", p.Path, p.Value, p.Allowed)
}

// reader reads one JSON object and collects its problems. Sections within it are read by readers of their own.
type reader struct {
	path      string
	fields    map[string]json.RawMessage
	knownKeys map[string]bool
	problems  *[]Problem
}

const maxShownValueBytes = 80

// loadFile reads a file, passes a reader of its object to fill, and returns all problems as one error of kind
// BadSettings.
func loadFile(file string, fill func(*reader)) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return errs.New(errs.BadSettings, "can't read settings file %s: %v", file, err)
	}
	var problems []Problem
	r := &reader{problems: &problems}
	if !r.parseObject(raw) {
		return errs.New(errs.BadSettings, "settings file %s is not a JSON object%s", file, syntaxHint(raw))
	}
	fill(r)
	r.reportUnknownKeys()
	if len(problems) == 0 {
		return nil
	}
	lines := make([]string, 0, len(problems))
	for _, p := range problems {
		lines = append(lines, "  "+p.String())
	}
	plural := "s"
	if len(lines) == 1 {
		plural = ""
	}
	return errs.New(errs.BadSettings, "settings file %s has %d problem%s:\n%s", file, len(lines), plural, strings.Join(lines, "\n"))
}

// syntaxHint returns why a text is not a JSON object, as a suffix of an error text, or "" if it is JSON
// without an object.
func syntaxHint(raw []byte) string {
	var object map[string]json.RawMessage
	err := json.Unmarshal(raw, &object)
	if err == nil {
		return ""
	}
	return ": " + err.Error()
}

// parseObject sets the fields to those of a JSON object and reports whether it is one.
func (r *reader) parseObject(raw json.RawMessage) bool {
	r.fields = nil
	r.knownKeys = make(map[string]bool)
	return json.Unmarshal(raw, &r.fields) == nil && r.fields != nil
}

// keyPath returns the path of a key from the root of the file, with dots between sections.
func (r *reader) keyPath(key string) string {
	if r.path == "" {
		return key
	}
	return r.path + "." + key
}

// report adds a problem. Long values are truncated.
func (r *reader) report(key, value, allowed string) {
	if len(value) > maxShownValueBytes {
		value = value[:maxShownValueBytes] + "..."
	}
	*r.problems = append(*r.problems, Problem{Path: r.keyPath(key), Value: value, Allowed: allowed})
}

// decodeValue unmarshals the value of a key and reports whether it is present and of the right type. A null
// counts as missing.
func (r *reader) decodeValue(key string, into any, required bool, allowed string) bool {
	r.knownKeys[key] = true
	raw, ok := r.fields[key]
	if !ok || bytes.Equal(raw, []byte("null")) {
		if required {
			r.report(key, "a missing value", allowed)
		}
		return false
	}
	if err := json.Unmarshal(raw, into); err != nil {
		r.report(key, string(raw), allowed)
		return false
	}
	return true
}

// has reports whether the object has a key, and marks the key as known.
func (r *reader) has(key string) bool {
	r.knownKeys[key] = true
	_, ok := r.fields[key]
	return ok
}

// reportUnknownKeys adds a problem for each key that was not read. It is called after all known keys were.
func (r *reader) reportUnknownKeys() {
	var unknown []string
	for key := range r.fields {
		if !r.knownKeys[key] {
			unknown = append(unknown, key)
		}
	}
	slices.Sort(unknown)
	known := make([]string, 0, len(r.knownKeys))
	for key := range r.knownKeys {
		known = append(known, key)
	}
	slices.Sort(known)
	for _, key := range unknown {
		r.report(key, "an unknown key", "one of "+strings.Join(known, ", "))
	}
}

// section reads an object within the object and reports whether it is present. If the key is missing, fill gets a
// reader of an empty object, so that defaults apply and required keys are reported.
func (r *reader) section(key string, fill func(*reader)) bool {
	inner := &reader{path: r.keyPath(key), problems: r.problems}
	var raw json.RawMessage
	present := r.decodeValue(key, &raw, false, "an object")
	if !present {
		raw = json.RawMessage("{}")
	}
	if !inner.parseObject(raw) {
		r.report(key, string(raw), "an object")
		return false
	}
	fill(inner)
	inner.reportUnknownKeys()
	return present
}

// text reads a string that must match a pattern.
func (r *reader) text(key string, required bool, pattern *regexp.Regexp, allowed string) string {
	var s string
	if r.decodeValue(key, &s, required, allowed) && !pattern.MatchString(s) {
		r.report(key, fmt.Sprintf("%q", s), allowed)
	}
	return s
}

// number reads an integer from low to high.
func (r *reader) number(key string, fallback, low, high int) int {
	n := fallback
	allowed := fmt.Sprintf("a whole number from %d to %d", low, high)
	if r.decodeValue(key, &n, false, allowed) && (n < low || n > high) {
		r.report(key, fmt.Sprint(n), allowed)
	}
	return n
}

// boolean reads true or false; a missing key is false.
func (r *reader) boolean(key string) bool {
	var b bool
	r.decodeValue(key, &b, false, "true or false")
	return b
}

// millis reads a duration in whole milliseconds.
func (r *reader) millis(key string, fallback, low, high time.Duration) time.Duration {
	n := r.number(key, int(fallback.Milliseconds()), int(low.Milliseconds()), int(high.Milliseconds()))
	return time.Duration(n) * time.Millisecond
}

// seconds reads a duration in seconds, which may have a fraction.
func (r *reader) seconds(key string, fallback, low, high time.Duration) time.Duration {
	n := fallback.Seconds()
	allowed := fmt.Sprintf("a number of seconds from %g to %g", low.Seconds(), high.Seconds())
	if r.decodeValue(key, &n, false, allowed) && (n < low.Seconds() || n > high.Seconds()) {
		r.report(key, fmt.Sprint(n), allowed)
	}
	return time.Duration(n * float64(time.Second))
}

const addressForm = "an IP address and a port, for example 10.0.0.7:7400"

// address reads an IP address with a port above 0.
func (r *reader) address(key string, required bool) netip.AddrPort {
	var s string
	if !r.decodeValue(key, &s, required, addressForm) {
		return netip.AddrPort{}
	}
	return r.parseAddress(key, s)
}

func (r *reader) parseAddress(key, s string) netip.AddrPort {
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 {
		r.report(key, fmt.Sprintf("%q", s), addressForm)
		return netip.AddrPort{}
	}
	return a
}

func (r *reader) addresses(key string, required bool) []netip.AddrPort {
	var list []string
	if !r.decodeValue(key, &list, required, "a list of addresses, each "+addressForm) {
		return nil
	}
	var out []netip.AddrPort
	for i, s := range list {
		out = append(out, r.parseAddress(fmt.Sprintf("%s[%d]", key, i), s))
	}
	return out
}

func (r *reader) ipAddress(key string) netip.Addr {
	var s string
	if !r.decodeValue(key, &s, false, "an IP address") {
		return netip.Addr{}
	}
	a, err := netip.ParseAddr(s)
	if err != nil {
		r.report(key, fmt.Sprintf("%q", s), "an IP address, for example 10.0.0.7")
	}
	return a
}

// readableFile reads the name of a file, which must exist and be readable now.
func (r *reader) readableFile(key string, required bool) string {
	var s string
	if !r.decodeValue(key, &s, required, "the name of a readable file") {
		return ""
	}
	f, err := os.Open(s)
	if err != nil {
		r.report(key, fmt.Sprintf("%q", s), "the name of a readable file")
		return s
	}
	_ = f.Close()
	return s
}
