// Package peers implements the gRPC connections between the processes of a fleet, agents and balancers, with
// mutual TLS.
package peers

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"os"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"monsoonstep/core/errs"
	"monsoonstep/core/proto/wire"
	"monsoonstep/core/proto/wire/wirepb"
	"monsoonstep/core/state"
	"monsoonstep/io/conf"
)

// FleetServerName is the DNS name in the certificate of every instance. Clients verify it instead of an address,
// because addresses are reused.
const FleetServerName = "fleet.monsoonstep"

const (
	connectTimeout       = 500 * time.Millisecond
	keepaliveInterval    = 10 * time.Second
	keepaliveTimeout     = 3 * time.Second
	minKeepaliveInterval = 5 * time.Second
	maxMessageSize       = 4 << 20
	snapshotTimeout      = 10 * time.Second
)

// Pool holds one connection to each peer. It is safe for concurrent use.
type Pool struct {
	config *tls.Config

	mu    sync.Mutex
	conns map[netip.AddrPort]*grpc.ClientConn
}

// NewPool returns a pool that authenticates with the certificate of the settings.
func NewPool(settings conf.TLS) (*Pool, error) {
	config, err := tlsConfig(settings)
	if err != nil {
		return nil, err
	}
	return &Pool{config: config, conns: make(map[netip.AddrPort]*grpc.ClientConn)}, nil
}

// ReadyConn returns an established connection to a peer. It creates one if there is none. An error means that
// nothing was sent.
func (p *Pool) ReadyConn(ctx context.Context, to netip.AddrPort) (*grpc.ClientConn, error) {
	conn, err := p.conn(to)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	for {
		current := conn.GetState()
		if current == connectivity.Ready {
			return conn, nil
		}
		if current == connectivity.TransientFailure {
			p.Drop(to, conn)
			return nil, errs.New(errs.NoTarget, "peer %s can't be reached", to)
		}
		conn.Connect()
		if !conn.WaitForStateChange(ctx, current) {
			p.Drop(to, conn)
			return nil, errs.New(errs.NoTarget, "connection to peer %s was not established within %v", to, connectTimeout)
		}
	}
}

// Drop closes a connection that failed or is unresponsive, so that the next call creates a new one.
func (p *Pool) Drop(to netip.AddrPort, conn *grpc.ClientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[to] == conn {
		delete(p.conns, to)
	}
	_ = conn.Close()
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for to, conn := range p.conns {
		_ = conn.Close()
		delete(p.conns, to)
	}
}

// Snapshot fetches all members and records that a peer knows.
func (p *Pool) Snapshot(ctx context.Context, from netip.AddrPort) ([]state.Member, []state.Record, error) {
	conn, err := p.ReadyConn(ctx, from)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	stream, err := wirepb.NewPeerClient(conn).Snapshot(ctx, &wirepb.SnapshotRequest{})
	if err != nil {
		return nil, nil, errs.Wrap(err, errs.Internal, "request for a snapshot from %s failed", from)
	}
	var members []state.Member
	var records []state.Record
	for {
		part, err := stream.Recv()
		if isEOF(err) {
			return members, records, nil
		}
		if err != nil {
			return nil, nil, errs.Wrap(err, errs.Internal, "snapshot from %s ended early", from)
		}
		for _, pb := range part.GetMembers() {
			m, err := wire.MemberFromPB(pb)
			if err != nil {
				return nil, nil, err
			}
			members = append(members, m)
		}
		for _, pb := range part.GetRecords() {
			records = append(records, wire.RecordFromPB(pb))
		}
	}
}

// conn returns the connection to a peer, established or not.
func (p *Pool) conn(to netip.AddrPort) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn, ok := p.conns[to]; ok {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+to.String(),
		grpc.WithTransportCredentials(credentials.NewTLS(p.config)),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageSize), grpc.MaxCallSendMsgSize(maxMessageSize)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
	)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "can't create a connection to peer %s", to)
	}
	p.conns[to] = conn
	return conn, nil
}

// tlsConfig returns a configuration for both ends of a connection: each verifies the other's certificate.
func tlsConfig(settings conf.TLS) (*tls.Config, error) {
	identity, err := tls.LoadX509KeyPair(settings.CertificateFile, settings.KeyFile)
	if err != nil {
		return nil, errs.Wrap(err, errs.BadSettings, "tls.certificateFile and tls.keyFile can't be loaded as a key pair")
	}
	raw, err := os.ReadFile(settings.CAFile)
	if err != nil {
		return nil, errs.Wrap(err, errs.BadSettings, "tls.caFile can't be read")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(raw) {
		return nil, errs.New(errs.BadSettings, "tls.caFile %s contains no PEM certificate", settings.CAFile)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{identity},
		RootCAs:      roots,
		ClientCAs:    roots,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   FleetServerName,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
