package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"time"

	"google.golang.org/grpc"

	"monsoonstep/core/coord/dedup"
	"monsoonstep/core/coord/retry"
	"monsoonstep/core/errs"
	"monsoonstep/core/proto/wire"
	"monsoonstep/core/proto/wire/wirepb"
	"monsoonstep/core/state"
	"monsoonstep/io/peers"
)

const (
	// beatPeriod is the time between two signs of life in the replies of an attempt.
	beatPeriod = time.Second
	// silenceLimit is how long a peer may be silent during an attempt before its connection counts as lost.
	silenceLimit = 4 * time.Second
)

// remote makes attempts at the targets of other agents.
type remote struct {
	pool *peers.Pool
}

// run makes one attempt by way of the agent at an address. If asOwner is true, that agent is asked to
// own the request's idempotency key.
func (c *remote) run(ctx context.Context, at netip.AddrPort, r *request, asOwner bool, to sink) result {
	conn, err := c.pool.Connect(ctx, at)
	if err != nil {
		return result{outcome: retry.NotRun, err: err, unreached: true}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sent := attemptToPB(r, asOwner)
	stream, err := wirepb.NewPeerClient(conn).Attempt(ctx, sent)
	if err != nil {
		return unknown(errs.Wrap(err, errs.OutcomeUnknown, "attempt at %s", at))
	}
	silent := time.AfterFunc(silenceLimit, func() { c.pool.Drop(at, conn) })
	defer silent.Stop()
	return receive(stream, sent.GetId(), silent, to)
}

// receive hands the replies of an attempt on until its answer is whole.
func receive(stream grpc.ServerStreamingClient[wirepb.AttemptReply], id []byte, silent *time.Timer, to sink) result {
	var done result
	done.outcome = retry.Unknown
	for {
		reply, err := stream.Recv()
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = errs.New(errs.OutcomeUnknown, "the replies ended before the answer did")
			}
			done.err = errs.Wrap(err, errs.OutcomeUnknown, "the peer's answer was cut")
			return done
		}
		silent.Reset(silenceLimit)
		if !bytes.Equal(reply.GetId(), id) {
			done.err = errs.New(errs.OutcomeUnknown, "the peer answered another attempt")
			return done
		}
		if load := reply.GetLoad(); load != nil {
			done.load, done.loaded = wire.LoadFromPB(load), true
		}
		switch part := reply.GetPart().(type) {
		case *wirepb.AttemptReply_Refused:
			return refusedResult(done, part.Refused)
		case *wirepb.AttemptReply_Head:
			done.outcome, done.began = retry.Answered, true
			done.status = int(part.Head.GetStatus())
			err = to.head(done.status, headersFromPB(part.Head.GetHeaders()))
		case *wirepb.AttemptReply_Chunk:
			err = to.chunk(part.Chunk)
		case *wirepb.AttemptReply_End:
			return done
		}
		if err != nil {
			done.err = err
			return done
		}
	}
}

func refusedResult(done result, refused *wirepb.Refused) result {
	kind := errs.Kind(refused.GetKind())
	done.outcome = retry.Unknown
	if kind.Response().NotRun {
		done.outcome = retry.NotRun
	}
	done.err = errs.New(kind, "%s", refused.GetText())
	done.retryAfter = time.Duration(refused.GetRetryAfterMillis()) * time.Millisecond
	return done
}

func attemptToPB(r *request, asOwner bool) *wirepb.AttemptRequest {
	pb := &wirepb.AttemptRequest{
		Id:      newAttemptID(),
		Service: uint32(r.service.Service.ID()),
		Method:  r.method,
		Path:    r.path,
		Headers: headersToPB(r.headers),
		Body:    r.body,
		Class:   uint32(r.class),
		Stream:  r.stream,
	}
	if !r.deadline.IsZero() {
		pb.TimeoutMillis = max(1, time.Until(r.deadline).Milliseconds())
	}
	if asOwner {
		pb.Key = r.key.ID.String()
	}
	return pb
}

func attemptFromPB(pb *wirepb.AttemptRequest, entry state.Entry) (*request, error) {
	r := &request{
		service: entry,
		method:  pb.GetMethod(),
		path:    pb.GetPath(),
		headers: headersFromPB(pb.GetHeaders()),
		body:    pb.GetBody(),
		class:   min(state.Class(pb.GetClass()), state.ClassImportant),
		stream:  pb.GetStream(),
	}
	if !r.stream {
		r.deadline = time.Now().Add(time.Duration(pb.GetTimeoutMillis()) * time.Millisecond)
	}
	if pb.GetKey() == "" {
		return r, nil
	}
	key, err := dedup.ParseKey(pb.GetKey())
	r.key, r.keyed = key, true
	return r, err
}

func headersToPB(h http.Header) []*wirepb.Header {
	out := make([]*wirepb.Header, 0, len(h))
	for name, values := range h {
		out = append(out, &wirepb.Header{Name: name, Values: values})
	}
	return out
}

func headersFromPB(list []*wirepb.Header) http.Header {
	out := make(http.Header, len(list))
	for _, h := range list {
		out[h.GetName()] = h.GetValues()
	}
	return out
}
