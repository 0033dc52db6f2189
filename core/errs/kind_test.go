package errs_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"monsoonstep/core/errs"
)

func TestEveryKindHasCompleteResponse(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for _, k := range errs.Kinds() {
		response := k.Response()
		is.True(response.Name != "" && !seen[response.Name]) // each kind has a name of its own
		is.True(response.Status >= 400 && response.ExitCode > 0)
		is.True(response.Status != 503 || response.RetryAfter > 0) // a refusal states when to retry
		seen[response.Name] = true
	}
}

func TestKindSurvivesWrapping(t *testing.T) {
	is := is.New(t)
	err := errs.Wrap(errors.New("cause"), errs.StoreDown, "read of %q", "x")
	is.Equal(errs.KindOf(err), errs.StoreDown)
	is.Equal(errs.KindOf(errs.Wrap(err, errs.OutcomeUnknown, "edit")), errs.OutcomeUnknown)
	is.Equal(errs.KindOf(errors.New("other")), errs.Internal)
}
