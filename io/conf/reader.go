// Package conf reads and checks the settings file of each role.
//
// A file is one JSON object with camelCase keys. All that is wrong with it is reported in one run:
// unknown keys, missing ones, wrong types, and values out of their range, each with the key's path,
// the value and what is allowed.
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

// Problem is one thing that is wrong with a settings file.
type Problem struct {
	Path    string
	Value   string
	Allowed string
}

// String returns the problem as one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s is not allowed; it must be %s", p.Path, p.Value, p.Allowed)
}

// reader reads one JSON object and collects its problems.
type reader struct {
	path     string
	fields   map[string]json.RawMessage
	read     map[string]bool
	problems *[]Problem
}

const maxShownValue = 80

// load reads a file, hands its object to fill, and returns all problems as one error of kind
// BadSettings.
func load(file string, fill func(*reader)) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return errs.New(errs.BadSettings, "settings file %s can't be read: %v", file, err)
	}
	var problems []Problem
	r := &reader{problems: &problems}
	if !r.object(raw) {
		return errs.New(errs.BadSettings, "settings file %s is not a JSON object%s", file, syntaxHint(raw))
	}
	fill(r)
	r.finish()
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

func syntaxHint(raw []byte) string {
	var object map[string]json.RawMessage
	err := json.Unmarshal(raw, &object)
	if err == nil {
		return ""
	}
	return ": " + err.Error()
}

func (r *reader) object(raw json.RawMessage) bool {
	r.fields = nil
	r.read = make(map[string]bool)
	return json.Unmarshal(raw, &r.fields) == nil && r.fields != nil
}

func (r *reader) at(key string) string {
	if r.path == "" {
		return key
	}
	return r.path + "." + key
}

func (r *reader) report(key, value, allowed string) {
	if len(value) > maxShownValue {
		value = value[:maxShownValue] + "..."
	}
	*r.problems = append(*r.problems, Problem{Path: r.at(key), Value: value, Allowed: allowed})
}

// value unmarshals a key's value and reports whether it was there and of the right type.
func (r *reader) value(key string, into any, required bool, allowed string) bool {
	r.read[key] = true
	raw, ok := r.fields[key]
	if !ok || bytes.Equal(raw, []byte("null")) {
		if required {
			r.report(key, "no value", allowed)
		}
		return false
	}
	if err := json.Unmarshal(raw, into); err != nil {
		r.report(key, string(raw), allowed)
		return false
	}
	return true
}

// has reports whether the file has a key, which is then one that is known.
func (r *reader) has(key string) bool {
	r.read[key] = true
	_, ok := r.fields[key]
	return ok
}

// finish reports the keys that nobody read.
func (r *reader) finish() {
	var unknown []string
	for key := range r.fields {
		if !r.read[key] {
			unknown = append(unknown, key)
		}
	}
	slices.Sort(unknown)
	known := make([]string, 0, len(r.read))
	for key := range r.read {
		known = append(known, key)
	}
	slices.Sort(known)
	for _, key := range unknown {
		r.report(key, "an unknown key", "one of "+strings.Join(known, ", "))
	}
}

// section reads an object within the object. It is empty if the key is missing.
func (r *reader) section(key string, fill func(*reader)) bool {
	inner := &reader{path: r.at(key), problems: r.problems}
	var raw json.RawMessage
	present := r.value(key, &raw, false, "an object")
	if !present {
		raw = json.RawMessage("{}")
	}
	if !inner.object(raw) {
		r.report(key, string(raw), "an object")
		return false
	}
	fill(inner)
	inner.finish()
	return present
}

func (r *reader) text(key string, required bool, pattern *regexp.Regexp, allowed string) string {
	var s string
	if r.value(key, &s, required, allowed) && !pattern.MatchString(s) {
		r.report(key, fmt.Sprintf("%q", s), allowed)
	}
	return s
}

func (r *reader) number(key string, fallback, low, high int) int {
	n := fallback
	allowed := fmt.Sprintf("a whole number from %d to %d", low, high)
	if r.value(key, &n, false, allowed) && (n < low || n > high) {
		r.report(key, fmt.Sprint(n), allowed)
	}
	return n
}

func (r *reader) millis(key string, fallback, low, high time.Duration) time.Duration {
	n := r.number(key, int(fallback.Milliseconds()), int(low.Milliseconds()), int(high.Milliseconds()))
	return time.Duration(n) * time.Millisecond
}

// seconds reads a time in seconds, which may have a fraction.
func (r *reader) seconds(key string, fallback, low, high time.Duration) time.Duration {
	n := fallback.Seconds()
	allowed := fmt.Sprintf("a number of seconds from %g to %g", low.Seconds(), high.Seconds())
	if r.value(key, &n, false, allowed) && (n < low.Seconds() || n > high.Seconds()) {
		r.report(key, fmt.Sprint(n), allowed)
	}
	return time.Duration(n * float64(time.Second))
}

const addressForm = "an IP number and a port, for example 10.0.0.7:7400"

func (r *reader) address(key string, required bool) netip.AddrPort {
	var s string
	if !r.value(key, &s, required, addressForm) {
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
	if !r.value(key, &list, required, "a list of addresses, each "+addressForm) {
		return nil
	}
	var out []netip.AddrPort
	for i, s := range list {
		out = append(out, r.parseAddress(fmt.Sprintf("%s[%d]", key, i), s))
	}
	return out
}

func (r *reader) ip(key string) netip.Addr {
	var s string
	if !r.value(key, &s, false, "an IP number") {
		return netip.Addr{}
	}
	a, err := netip.ParseAddr(s)
	if err != nil {
		r.report(key, fmt.Sprintf("%q", s), "an IP number, for example 10.0.0.7")
	}
	return a
}

// file reads the name of a file that must exist now.
func (r *reader) file(key string, required bool) string {
	var s string
	if !r.value(key, &s, required, "the name of a file that can be read") {
		return ""
	}
	f, err := os.Open(s)
	if err != nil {
		r.report(key, fmt.Sprintf("%q", s), "the name of a file that can be read")
		return s
	}
	_ = f.Close()
	return s
}
