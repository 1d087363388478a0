package link

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"net/netip"
	"os"

	"github.com/gravitational/trace"
)

// ErrPlaintext is returned for an address outside loopback without TLS.
var ErrPlaintext = errors.New("plain connections are for loopback only")

// Identity is a process's key, certificate and the authority that it trusts, or nothing for plain loopback.
type Identity struct {
	config *tls.Config
}

// Plaintext returns an identity that connects without TLS, on loopback only.
func Plaintext() Identity { return Identity{} }

// LoadIdentity reads PEM files for mutual TLS.
func LoadIdentity(certificateFile, keyFile, authorityFile string) (Identity, error) {
	certificate, err := tls.LoadX509KeyPair(certificateFile, keyFile)
	if err != nil {
		return Identity{}, trace.Wrap(err, "load certificate and key")
	}
	authority, err := os.ReadFile(authorityFile)
	if err != nil {
		return Identity{}, trace.Wrap(err, "read authority")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authority) {
		return Identity{}, trace.BadParameter("%s holds no PEM certificate", authorityFile)
	}
	return Identity{config: mutual(certificate, roots)}, nil
}

func mutual(certificate tls.Certificate, roots *x509.CertPool) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    roots,
		RootCAs:      roots,
		MinVersion:   tls.VersionTLS13,
		ServerName:   "lovageshift",
	}
}

// Network dials and listens; tests put their own in its place.
type Network interface {
	Dial(ctx context.Context, address string) (net.Conn, error)
	Listen(address string) (net.Listener, error)
}

type tcp struct {
	identity Identity
	dialer   net.Dialer
}

// NewNetwork returns the TCP network with the identity.
func NewNetwork(identity Identity) Network { return &tcp{identity: identity} }

// Dial connects to an IP address and port; the handshake is done when it returns.
func (t *tcp) Dial(ctx context.Context, address string) (net.Conn, error) {
	if err := t.check(address); err != nil {
		return nil, err
	}
	conn, err := t.dialer.DialContext(ctx, "tcp", address)
	if err != nil || t.identity.config == nil {
		return conn, err
	}
	secured := tls.Client(conn, t.identity.config)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, trace.Wrap(err, "TLS handshake")
	}
	return secured, nil
}

// Listen accepts connections on an IP address and port.
func (t *tcp) Listen(address string) (net.Listener, error) {
	if err := t.check(address); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err, "listen on %s", address)
	}
	if t.identity.config == nil {
		return listener, nil
	}
	return tls.NewListener(listener, t.identity.config), nil
}

func (t *tcp) check(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return trace.BadParameter("%q is not IP:port", address)
	}
	if t.identity.config == nil && !parsed.Addr().IsLoopback() {
		return trace.Wrap(ErrPlaintext, "%s", address)
	}
	return nil
}
