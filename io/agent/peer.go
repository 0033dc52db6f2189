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

// serveAttempt runs a request that another agent sent.
func (a *Agent) serveAttempt(pb *wirepb.AttemptRequest, stream peers.AttemptStream) error {
	out := &attemptReplies{id: pb.GetId(), stream: stream, load: a.target.gate.load}
	entry, ok := a.entry()
	if !ok || state.ServiceID(pb.GetService()) != a.serviceID {
		return out.refuse(notRun(errs.New(errs.NoTarget, "this agent does not serve the service")))
	}
	r, err := attemptFromPB(pb, entry)
	if err != nil {
		return out.refuse(notRun(err))
	}
	ctx, stop := context.WithCancel(stream.Context())
	defer stop()
	defer out.close()
	a.group.Task(func() { out.beat(ctx) })
	var done result
	switch {
	case r.keyed:
		done = a.keyed.own(ctx, r, out.sink())
	case !a.takesWork():
		done = notRun(errs.New(errs.Draining, "this agent takes no new work"))
	default:
		done = a.runAtTarget(ctx, r, out.sink())
	}
	if done.err == nil {
		return out.end()
	}
	if done.began {
		return status.Error(codes.Aborted, "the answer was cut")
	}
	return out.refuse(done)
}

// runAtTarget makes an attempt at this agent's own target for another agent.
func (a *Agent) runAtTarget(ctx context.Context, r *request, to sink) result {
	a.attempts.Add(1)
	defer a.attempts.Add(-1)
	ctx, cancel := r.context(ctx)
	defer cancel()
	return a.target.run(ctx, r, to)
}

// attemptReplies sends the replies of one attempt. A stream takes one message at a time.
type attemptReplies struct {
	id     []byte
	stream peers.AttemptStream
	load   func() picks.Load

	mu sync.Mutex
	// closed is true once the call has returned; the stream must not be used from then on.
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

func (o *attemptReplies) refuse(done result) error {
	err := done.final()
	kind := errs.KindOf(err)
	after := done.retryAfter
	if after == 0 {
		after = kind.Response().RetryAfter
	}
	return o.send(&wirepb.AttemptReply{Part: &wirepb.AttemptReply_Refused{Refused: &wirepb.Refused{
		Kind:             uint32(kind),
		Text:             errs.Text(err),
		RetryAfterMillis: after.Milliseconds(),
	}}})
}

// beat sends signs of life, so that a peer notices a connection that has gone silent.
func (o *attemptReplies) beat(ctx context.Context) {
	for group.Sleep(ctx, beatPeriod) {
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
		return errs.New(errs.Internal, "the attempt has ended")
	}
	reply.Id = o.id
	reply.Load = wire.LoadToPB(o.load())
	return o.stream.Send(reply)
}
