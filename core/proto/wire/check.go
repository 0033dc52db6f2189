package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"monsoonstep/core/errs"
)

// strictUnmarshal decodes exactly one JSON value and refuses unknown fields.
func strictUnmarshal(raw []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return errs.Wrap(err, errs.BadInput, "JSON is malformed")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errs.New(errs.BadInput, "JSON value is followed by more text")
	}
	return nil
}

// checker collects all problems of a decoded value, so that they are reported in one error.
type checker struct {
	problems []string
}

// require adds a problem with the field at path unless ok. The problem's text names the value and those that are allowed.
func (c *checker) require(ok bool, path, value, allowed string) {
	if !ok {
		c.problems = append(c.problems, fmt.Sprintf("%s: %q is not allowed; it must be %s", path, value, allowed))
	}
}

// requireRange adds a problem unless value is between low and high, both included.
func (c *checker) requireRange(path string, value, low, high int64) {
	c.require(value >= low && value <= high, path, fmt.Sprint(value), fmt.Sprintf("%d to %d", low, high))
}

// err returns one error with all problems of the subject, or nil if there are none.
func (c *checker) err(subject string) error {
	if len(c.problems) == 0 {
		return nil
	}
	return errs.New(errs.BadInput, "%s is not valid: %s", subject, strings.Join(c.problems, "; "))
}
