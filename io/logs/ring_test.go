package logs_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"monsoonstep/io/logs"
)

func TestRingDropsAndCountsLinesBeyondRate(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	ring := logs.NewRing(&out, 4, 0.001)
	for range 10 {
		n, err := ring.Write([]byte("line\n"))
		is.NoErr(err)
		is.Equal(n, 5)
	}
	is.Equal(ring.Dropped(), uint64(6))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.NoErr(ring.Run(ctx)) // buffered lines are written even though the context has ended
	ring.Flush()
	is.Equal(strings.Count(out.String(), "line"), 4)
}
