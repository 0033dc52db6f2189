package peers

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"monsoonstep/core/errs"
	"monsoonstep/core/proto/wire"
	"monsoonstep/core/proto/wire/wirepb"
	"monsoonstep/core/state"
	"monsoonstep/io/conf"
	"monsoonstep/io/group"
)

// AttemptStream is where the replies of an attempt go.
type AttemptStream = grpc.ServerStreamingServer[wirepb.AttemptReply]

// OutcomeStream is where outcomes come from that a leaving peer hands over.
type OutcomeStream = grpc.ClientStreamingServer[wirepb.Outcome, wirepb.HandOverReply]

// Server answers peers' calls. Its function fields are the duties of the process; one that is nil is
// not offered.
type Server struct {
	wirepb.UnimplementedPeerServer
	// HandleAttempt runs a request for another agent.
	HandleAttempt func(*wirepb.AttemptRequest, AttemptStream) error
	// HandleHandOver takes over outcomes of idempotency keys.
	HandleHandOver func(OutcomeStream) error
	// Known returns all that this process knows, for a starting one, or an error if it has not joined itself.
	Known func(context.Context) ([]state.Member, []state.Record, error)
}

const snapshotPart = 200

// Serve answers calls on an address until the group stops. Calls that run then are given up; an agent
// that stops gracefully has none left.
func Serve(g *group.Group, address netip.AddrPort, settings conf.TLS, s *Server) error {
	config, err := tlsConfig(settings)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return errs.Wrap(err, errs.BadSettings, "peerAddress %s can't be listened on", address)
	}
	server := grpc.NewServer(
		grpc.Creds(credentials.NewTLS(config)),
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minKeepalive, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
	)
	wirepb.RegisterPeerServer(server, s)
	g.Go("peer server", func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, server.Stop)
		defer stop()
		if err := server.Serve(listener); err != nil && ctx.Err() == nil {
			return errs.Wrap(err, errs.Internal, "peer server")
		}
		return nil
	})
	return nil
}

// Attempt implements the service.
func (s *Server) Attempt(request *wirepb.AttemptRequest, stream AttemptStream) error {
	if s.HandleAttempt == nil {
		return s.UnimplementedPeerServer.Attempt(request, stream)
	}
	return s.HandleAttempt(request, stream)
}

// HandOver implements the service.
func (s *Server) HandOver(stream OutcomeStream) error {
	if s.HandleHandOver == nil {
		return s.UnimplementedPeerServer.HandOver(stream)
	}
	return s.HandleHandOver(stream)
}

// Snapshot implements the service.
func (s *Server) Snapshot(_ *wirepb.SnapshotRequest, stream grpc.ServerStreamingServer[wirepb.SnapshotPart]) error {
	members, records, err := s.Known(stream.Context())
	if err != nil {
		return status.Error(errs.KindOf(err).Response().Code, errs.Text(err))
	}
	for len(members) > 0 || len(records) > 0 {
		part := &wirepb.SnapshotPart{}
		for _, m := range members[:min(snapshotPart, len(members))] {
			part.Members = append(part.Members, wire.MemberToPB(m))
		}
		for _, r := range records[:min(snapshotPart, len(records))] {
			part.Records = append(part.Records, wire.RecordToPB(r))
		}
		members = members[min(snapshotPart, len(members)):]
		records = records[min(snapshotPart, len(records)):]
		if err := stream.Send(part); err != nil {
			return err
		}
	}
	return nil
}

func isEnd(err error) bool { return errors.Is(err, io.EOF) }
