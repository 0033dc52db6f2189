package errs

import (
	"errors"
	"strings"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("monsoonstep")
	types     = newTypes()
)

func newTypes() [kindCount]*errorx.Type {
	var errorTypes [kindCount]*errorx.Type
	for k := range kindCount {
		errorTypes[k] = errorx.NewType(namespace, responses[k].Name)
	}
	return errorTypes
}

// New returns an error of kind k. The message is formatted as by fmt.Sprintf.
func New(k Kind, format string, args ...any) error {
	return types[k].New(format, args...)
}

// Wrap returns an error of kind k with a cause.
func Wrap(cause error, k Kind, format string, args ...any) error {
	return types[k].Wrap(cause, format, args...)
}

// KindOf returns the kind of the outermost error of this package, or Internal if there is none.
func KindOf(err error) Kind {
	for k := range kindCount {
		if errorx.IsOfType(err, types[k]) {
			return k
		}
	}
	return Internal
}

// HasKind reports whether err is an errorx error, as New and Wrap return them.
func HasKind(err error) bool { return errorx.Cast(err) != nil }

// IsTimeout reports whether err or one of its causes is a timeout, such as context.DeadlineExceeded or that of a connection attempt.
func IsTimeout(err error) bool {
	for err != nil {
		var timeout interface{ Timeout() bool }
		if errors.As(err, &timeout) && timeout.Timeout() {
			return true
		}
		wrapped := errorx.Cast(err)
		if wrapped == nil {
			return false
		}
		err = wrapped.Cause()
	}
	return false
}

// Text returns the message of an error and of its causes without the names of their kinds; for those, see
// Response.Name.
func Text(err error) string {
	text := err.Error()
	for k := range kindCount {
		text = strings.ReplaceAll(text, types[k].FullName()+": ", "")
	}
	return text
}
