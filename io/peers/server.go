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

// AttemptStream is the stream on which the replies of an attempt are sent.
type AttemptStream = grpc.ServerStreamingServer[wirepb.AttemptReply]

// OutcomeStream is the stream on which a leaving peer sends the outcomes that it hands over.
type OutcomeStream = grpc.ClientStreamingServer[wirepb.Outcome, wirepb.HandOverReply]

// Server serves peers' calls with its function fields. A call whose HandleAttempt or HandleHandOver is nil
// returns the status Unimplemented; ExportSnapshot must be set.
type Server struct {
	wirepb.UnimplementedPeerServer
	// HandleAttempt runs a request for another agent.
	HandleAttempt func(*wirepb.AttemptRequest, AttemptStream) error
	// HandleHandOver imports the outcomes of idempotency keys that a leaving agent hands over.
	HandleHandOver func(OutcomeStream) error
	// ExportSnapshot returns all members and records that this process knows, for a peer that is starting. It returns an
	// error if this process has not joined the membership.
	ExportSnapshot func(context.Context) ([]state.Member, []state.Record, error)
}

// maxSnapshotPartEntries limits the members, and likewise the records, in one part of a snapshot.
const maxSnapshotPartEntries = 200

// Serve starts to serve calls on an address until the group stops. Calls in progress are cancelled then; an
// agent that stops gracefully has none left.
func Serve(g *group.Group, address netip.AddrPort, settings conf.TLS, s *Server) error {
	config, err := tlsConfig(settings)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return errs.Wrap(err, errs.BadSettings, "can't listen on peerAddress %s", address)
	}
	server := grpc.NewServer(
		grpc.Creds(credentials.NewTLS(config)),
		grpc.MaxRecvMsgSize(maxMessageSize),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minKeepaliveInterval, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
	)
	wirepb.RegisterPeerServer(server, s)
	g.Go("peer server", func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, server.Stop)
		defer stop()
		if err := server.Serve(listener); err != nil && ctx.Err() == nil {
			return errs.Wrap(err, errs.Internal, "can't serve peers' calls")
		}
		return nil
	})
	return nil
}

// Attempt implements wirepb.PeerServer.
func (s *Server) Attempt(request *wirepb.AttemptRequest, stream AttemptStream) error {
	if s.HandleAttempt == nil {
		return s.UnimplementedPeerServer.Attempt(request, stream)
	}
	return s.HandleAttempt(request, stream)
}

// HandOver implements wirepb.PeerServer.
func (s *Server) HandOver(stream OutcomeStream) error {
	if s.HandleHandOver == nil {
		return s.UnimplementedPeerServer.HandOver(stream)
	}
	return s.HandleHandOver(stream)
}

// Snapshot implements wirepb.PeerServer. It sends the members and records in parts.
func (s *Server) Snapshot(_ *wirepb.SnapshotRequest, stream grpc.ServerStreamingServer[wirepb.SnapshotPart]) error {
	members, records, err := s.ExportSnapshot(stream.Context())
	if err != nil {
		return status.Error(errs.KindOf(err).Response().Code, errs.Text(err))
	}
	for len(members) > 0 || len(records) > 0 {
		part := &wirepb.SnapshotPart{}
		for _, m := range members[:min(maxSnapshotPartEntries, len(members))] {
			part.Members = append(part.Members, wire.MemberToPB(m))
		}
		for _, r := range records[:min(maxSnapshotPartEntries, len(records))] {
			part.Records = append(part.Records, wire.RecordToPB(r))
		}
		members = members[min(maxSnapshotPartEntries, len(members)):]
		records = records[min(maxSnapshotPartEntries, len(records)):]
		if err := stream.Send(part); err != nil {
			return err
		}
	}
	return nil
}

func isEOF(err error) bool { return errors.Is(err, io.EOF) }
