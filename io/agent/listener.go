package agent

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"monsoonstep/core/errs"
	"monsoonstep/core/proto/connid"
)

const (
	// initialPacketSize leaves space for a frame's header on a path with an MTU of 1280 bytes.
	initialPacketSize = 1200
	// maxOpenRequests is the limit for one connection.
	maxOpenRequests     = 256
	maxStreamWindow     = 1 << 20
	maxConnWindow       = 2 << 20
	initialStreamWindow = 64 << 10
	initialConnWindow   = 128 << 10
)

// listenForCallers starts to accept callers' connections; it stops when the group does.
func (a *Agent) listenForCallers() error {
	identity, err := tls.LoadX509KeyPair(a.settings.Callers.CertificateFile, a.settings.Callers.KeyFile)
	if err != nil {
		return errs.Wrap(err, errs.BadSettings, "callers.certificateFile and callers.keyFile can't be loaded as a key pair")
	}
	keys := a.node.View().Keys
	reset := quic.StatelessResetKey(keys.ResetKey)
	token := quic.TokenGeneratorKey(keys.TokenKey)
	a.transport = &quic.Transport{
		Conn:                  a.conn,
		ConnectionIDLength:    connid.Size,
		ConnectionIDGenerator: a.conn.ids,
		StatelessResetKey:     &reset,
		TokenGeneratorKey:     &token,
	}
	config := http3.ConfigureTLSConfig(&tls.Config{Certificates: []tls.Certificate{identity}, MinVersion: tls.VersionTLS13})
	listener, err := a.transport.Listen(config, &quic.Config{
		MaxIdleTimeout:                 a.settings.IdleTimeout,
		InitialPacketSize:              initialPacketSize,
		DisablePathMTUDiscovery:        true,
		MaxIncomingStreams:             maxOpenRequests,
		InitialStreamReceiveWindow:     initialStreamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: initialConnWindow,
		MaxConnectionReceiveWindow:     maxConnWindow,
	})
	if err != nil {
		return errs.Wrap(err, errs.Internal, "can't listen for callers' connections")
	}
	a.group.Go("caller listener", func(ctx context.Context) error {
		return a.acceptCallers(ctx, listener)
	})
	return nil
}

// acceptCallers accepts connections and serves each in a task of its own.
func (a *Agent) acceptCallers(ctx context.Context, listener *quic.Listener) error {
	for {
		c, err := listener.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, quic.ErrServerClosed) {
				return nil
			}
			return errs.Wrap(err, errs.Internal, "can't accept callers' connections")
		}
		a.flows.add(c)
		a.group.Task(func() {
			a.serveCaller(c)
			_ = c.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
		})
	}
}

// serveCaller serves a connection until it closes. If a round of GOAWAY shuts the HTTP/3 server down before it
// has the connection, the connection is given to the new server.
func (a *Agent) serveCaller(c *quic.Conn) {
	for c.Context().Err() == nil {
		server := a.httpServer.Load()
		// Other errors say how the caller's connection ended, which is no error of this agent.
		err := server.ServeQUICConn(c)
		if !errors.Is(err, http.ErrServerClosed) || server == a.httpServer.Load() {
			return
		}
	}
}

func (a *Agent) newHTTPServer() *http3.Server {
	return &http3.Server{
		Handler: http.Handler(a),
		ConnContext: func(ctx context.Context, c *quic.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, c)
		},
	}
}

// closeTransport closes the QUIC transport and its socket.
func (a *Agent) closeTransport() {
	if err := a.transport.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		a.log.Debug("failed to close the QUIC transport of callers", "err", errs.Text(err))
	}
	_ = a.conn.Close()
}
