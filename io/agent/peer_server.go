package agent

import (
	"context"
	"net/http"
	"sync"

	"monsoonstep/io/group"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"monsoonstep/core/coord/picks"
	"monsoonstep/core/errs"
	"monsoonstep/core/proto/wire"
	"monsoonstep/core/proto/wire/wirepb"
	"monsoonstep/core/state"
	"monsoonstep/io/peers"
)

// serveAttempt runs an attempt at a request that another agent forwarded.
func (a *Agent) serveAttempt(pb *wirepb.AttemptRequest, stream peers.AttemptStream) error {
	replies := &attemptReplies{id: pb.GetId(), stream: stream, load: a.target.gate.load}
	entry, ok := a.entry()
	if !ok || state.ServiceID(pb.GetService()) != a.serviceID {
		return replies.refuse(notRunResult(errs.New(errs.NoTarget, "this agent does not serve the requested service")))
	}
	r, err := attemptFromPB(pb, entry)
	if err != nil {
		return replies.refuse(notRunResult(err))
	}
	a.openRequests.Add(1)
	defer a.openRequests.Add(-1)
	ctx, stop := context.WithCancel(stream.Context())
	defer stop()
	defer replies.close()
	a.group.Task(func() { replies.sendHeartbeats(ctx) })
	var res result
	switch {
	case r.atMostOnce:
		res = a.atMostOnce.runAsOwner(ctx, r, replies.sink())
	case !a.acceptsWork():
		res = notRunResult(errs.New(errs.Draining, "this agent accepts no new requests: it is starting or draining, or its data centre is evacuated"))
	default:
		res = a.runAtTarget(ctx, r, replies.sink())
	}
	if res.err == nil {
		return replies.end()
	}
	if res.headSent {
		return status.Error(codes.Aborted, "the response was aborted after its head was sent")
	}
	return replies.refuse(res)
}

// runAtTarget makes an attempt at this agent's own target on behalf of another agent.
func (a *Agent) runAtTarget(ctx context.Context, r *request, to sink) result {
	ctx, cancel := r.context(ctx)
	defer cancel()
	return a.target.run(ctx, r, to)
}

// attemptReplies sends the replies of one attempt, one at a time: a gRPC stream does not allow concurrent
// sends.
type attemptReplies struct {
	id     []byte
	stream peers.AttemptStream
	load   func() picks.Load

	mu sync.Mutex
	// closed is true once the call has returned; the stream must not be used after that.
	closed bool
}

func (o *attemptReplies) sink() sink {
	return sink{
		head: func(code int, headers http.Header) error {
			return o.send(&wirepb.AttemptReply{Part: &wirepb.AttemptReply_Head{
				Head: &wirepb.Head{Status: int32(code), Headers: headersToPB(headers)},
			}})
		},
		chunk: func(b []byte) error {
			return o.send(&wirepb.AttemptReply{Part: &wirepb.AttemptReply_Chunk{Chunk: b}})
		},
	}
}

func (o *attemptReplies) end() error {
	return o.send(&wirepb.AttemptReply{Part: &wirepb.AttemptReply_End{End: &wirepb.End{}}})
}

func (o *attemptReplies) refuse(res result) error {
	err := res.callerError()
	kind := errs.KindOf(err)
	after := res.retryAfter
	if after == 0 {
		after = kind.Response().RetryAfter
	}
	return o.send(&wirepb.AttemptReply{Part: &wirepb.AttemptReply_Refused{Refused: &wirepb.Refused{
		Kind:             uint32(kind),
		Text:             errs.Text(err),
		RetryAfterMillis: after.Milliseconds(),
	}}})
}

// sendHeartbeats sends empty replies until the context ends, so that the peer can tell a slow attempt from a
// connection that is unresponsive.
func (o *attemptReplies) sendHeartbeats(ctx context.Context) {
	for group.Sleep(ctx, attemptHeartbeatInterval) {
		if o.send(&wirepb.AttemptReply{}) != nil {
			return
		}
	}
}

func (o *attemptReplies) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
}

func (o *attemptReplies) send(reply *wirepb.AttemptReply) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return errs.New(errs.Internal, "the attempt has already returned")
	}
	reply.Id = o.id
	reply.Load = wire.LoadToPB(o.load())
	return o.stream.Send(reply)
}
