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
	// attemptHeartbeatInterval is the time between two heartbeats in the replies of an attempt.
	attemptHeartbeatInterval = time.Second
	// attemptHeartbeatTimeout is how long a peer may send nothing during an attempt before its connection is
	// dropped as unresponsive.
	attemptHeartbeatTimeout = 4 * time.Second
)

// peerClient sends attempts to other agents.
type peerClient struct {
	pool *peers.Pool
}

// run makes one attempt through the agent at a peer address. If asOwner is true, that agent runs the request as
// the owner of its idempotency key.
func (c *peerClient) run(ctx context.Context, peer netip.AddrPort, r *request, asOwner bool, to sink) result {
	conn, err := c.pool.ReadyConn(ctx, peer)
	if err != nil {
		return result{outcome: retry.NotRun, err: err, unreached: true}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sent := attemptToPB(r, asOwner)
	stream, err := wirepb.NewPeerClient(conn).Attempt(ctx, sent)
	if err != nil {
		return unknownResult(errs.Wrap(err, errs.OutcomeUnknown, "attempt through the agent at %s failed", peer))
	}
	timer := time.AfterFunc(attemptHeartbeatTimeout, func() { c.pool.Drop(peer, conn) })
	defer timer.Stop()
	return receiveReplies(stream, sent.GetId(), timer, to)
}

// receiveReplies passes the replies of an attempt to the sink until the response is complete or has failed.
func receiveReplies(stream grpc.ServerStreamingClient[wirepb.AttemptReply], id []byte, timer *time.Timer, to sink) result {
	var res result
	res.outcome = retry.Unknown
	for {
		reply, err := stream.Recv()
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = errs.New(errs.OutcomeUnknown, "the replies ended before the response was complete")
			}
			res.err = errs.Wrap(err, errs.OutcomeUnknown, "the peer's replies ended early")
			return res
		}
		timer.Reset(attemptHeartbeatTimeout)
		if !bytes.Equal(reply.GetId(), id) {
			res.err = errs.New(errs.OutcomeUnknown, "the peer replied to a different attempt")
			return res
		}
		if load := reply.GetLoad(); load != nil {
			res.load, res.hasLoad = wire.LoadFromPB(load), true
		}
		switch part := reply.GetPart().(type) {
		case *wirepb.AttemptReply_Refused:
			return refusedResult(res, part.Refused)
		case *wirepb.AttemptReply_Head:
			res.outcome, res.headSent = retry.Answered, true
			res.status = int(part.Head.GetStatus())
			err = to.head(res.status, headersFromPB(part.Head.GetHeaders()))
		case *wirepb.AttemptReply_Chunk:
			err = to.chunk(part.Chunk)
		case *wirepb.AttemptReply_End:
			return res
		}
		if err != nil {
			res.err = err
			return res
		}
	}
}

// refusedResult completes the result of an attempt that the peer refused. The kind of error tells whether the
// request may have run.
func refusedResult(res result, refused *wirepb.Refused) result {
	kind := errs.Kind(refused.GetKind())
	res.outcome = retry.Unknown
	if kind.Response().NotRun {
		res.outcome = retry.NotRun
	}
	res.err = errs.New(kind, "%s", refused.GetText())
	res.retryAfter = time.Duration(refused.GetRetryAfterMillis()) * time.Millisecond
	return res
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
	r.key, r.atMostOnce = key, true
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
