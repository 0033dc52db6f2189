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
	// packetSize leaves room for a frame's header on a path of 1280 bytes.
	packetSize        = 1200
	maxRequestsOpen   = 256
	maxWindowStream   = 1 << 20
	maxWindowFlow     = 2 << 20
	firstWindowStream = 64 << 10
	firstWindowFlow   = 128 << 10
)

// serveCallers listens for callers' connections until the group stops.
func (a *Agent) serveCallers() error {
	identity, err := tls.LoadX509KeyPair(a.settings.Callers.CertificateFile, a.settings.Callers.KeyFile)
	if err != nil {
		return errs.Wrap(err, errs.BadSettings, "callers.certificateFile and callers.keyFile are no pair")
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
		InitialPacketSize:              packetSize,
		DisablePathMTUDiscovery:        true,
		MaxIncomingStreams:             maxRequestsOpen,
		InitialStreamReceiveWindow:     firstWindowStream,
		MaxStreamReceiveWindow:         maxWindowStream,
		InitialConnectionReceiveWindow: firstWindowFlow,
		MaxConnectionReceiveWindow:     maxWindowFlow,
	})
	if err != nil {
		return errs.Wrap(err, errs.Internal, "callers can't be listened for")
	}
	a.group.Go("caller listener", func(ctx context.Context) error {
		return a.acceptCallers(ctx, listener)
	})
	return nil
}

// acceptCallers gives each connection to the HTTP/3 server of the present phase.
func (a *Agent) acceptCallers(ctx context.Context, listener *quic.Listener) error {
	for {
		c, err := listener.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, quic.ErrServerClosed) {
				return nil
			}
			return errs.Wrap(err, errs.Internal, "caller listener")
		}
		a.flows.add(c)
		a.group.Task(func() {
			a.serveCaller(c)
			_ = c.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
		})
	}
}

// serveCaller serves a connection to its end. A server that was shut down between its choice and its use
// is replaced by the present one.
func (a *Agent) serveCaller(c *quic.Conn) {
	for c.Context().Err() == nil {
		server := a.http.Load()
		// Other errors tell how the caller left; that is no fault of this agent.
		err := server.ServeQUICConn(c)
		if !errors.Is(err, http.ErrServerClosed) || server == a.http.Load() {
			return
		}
	}
}

func (a *Agent) newHTTPServer() *http3.Server {
	return &http3.Server{
		Handler: http.Handler(a),
		ConnContext: func(ctx context.Context, c *quic.Conn) context.Context {
			return context.WithValue(ctx, flowKey{}, c)
		},
	}
}

// closeCallers closes the transport and the socket under it.
func (a *Agent) closeCallers() {
	if err := a.transport.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		a.log.Debug("the caller transport could not be closed", "err", errs.Text(err))
	}
	_ = a.conn.Close()
}
