package errs_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"monsoonstep/core/errs"
)

func TestEveryKindHasARow(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for _, k := range errs.Kinds() {
		a := k.Response()
		is.True(a.Name != "" && !seen[a.Name]) // each kind has a name of its own
		is.True(a.Status >= 400 && a.ExitCode > 0)
		is.True(a.Status != 503 || a.RetryAfter > 0) // a refusal tells when to come back
		seen[a.Name] = true
	}
}

func TestKindSurvivesWrapping(t *testing.T) {
	is := is.New(t)
	err := errs.Wrap(errors.New("cause"), errs.StoreDown, "read of %q", "x")
	is.Equal(errs.KindOf(err), errs.StoreDown)
	is.Equal(errs.KindOf(errs.Wrap(err, errs.OutcomeUnknown, "edit")), errs.OutcomeUnknown)
	is.Equal(errs.KindOf(errors.New("other")), errs.Internal)
}
