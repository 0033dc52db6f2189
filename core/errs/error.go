package errs

import (
	"strings"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("monsoonstep")
	types     = newTypes()
)

func newTypes() [kindCount]*errorx.Type {
	var made [kindCount]*errorx.Type
	for k := range kindCount {
		made[k] = errorx.NewType(namespace, answers[k].Name)
	}
	return made
}

// New returns an error of kind k. The message has the form of fmt.Sprintf.
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

// HasKind reports whether err is an error of this package.
func HasKind(err error) bool { return errorx.Cast(err) != nil }

// Text returns the message of an error and of its causes without the names of their kinds, which the
// table of answers gives.
func Text(err error) string {
	text := err.Error()
	for k := range kindCount {
		text = strings.ReplaceAll(text, types[k].FullName()+": ", "")
	}
	return text
}
