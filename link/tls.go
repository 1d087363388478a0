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

// ErrPlaintext is matched (errors.Is) by the error for an attempt to dial, or listen on, an address outside loopback without
// TLS.
var ErrPlaintext = errors.New("connections without TLS are allowed on loopback only")

// Identity holds a process's certificate and key and the certificates of the authority that it trusts. An empty Identity
// is for connections without TLS, which are allowed on loopback only.
type Identity struct {
	config *tls.Config // nil for an empty Identity
}

// Plaintext returns an empty Identity.
func Plaintext() Identity { return Identity{} }

// LoadIdentity reads the process's certificate, its key and the authority's certificates from PEM files, for mutual TLS.
func LoadIdentity(certificateFile, keyFile, authorityFile string) (Identity, error) {
	certificate, err := tls.LoadX509KeyPair(certificateFile, keyFile)
	if err != nil {
		return Identity{}, trace.Wrap(err, "load certificate and key")
	}
	authorityPEM, err := os.ReadFile(authorityFile)
	if err != nil {
		return Identity{}, trace.Wrap(err, "read the authority's certificates")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(authorityPEM) {
		return Identity{}, trace.BadParameter("%s holds no PEM certificate", authorityFile)
	}
	return Identity{config: mutualTLS(certificate, authorities)}, nil
}

// mutualTLS returns a configuration for dialing and listening. The certificate of a process that listens must be valid for
// the DNS name lovageshift, whatever its address is.
func mutualTLS(certificate tls.Certificate, authorities *x509.CertPool) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    authorities,
		RootCAs:      authorities,
		MinVersion:   tls.VersionTLS13,
		ServerName:   "lovageshift",
	}
}

// Network dials and listens on addresses given as IP:port. Tests use an implementation that simulates faults of the network.
type Network interface {
	Dial(ctx context.Context, address string) (net.Conn, error)
	Listen(address string) (net.Listener, error)
}

type tcpNetwork struct {
	identity Identity
	dialer   net.Dialer
}

// NewNetwork returns the TCP network, with mutual TLS unless the identity is empty.
func NewNetwork(identity Identity) Network { return &tcpNetwork{identity: identity} }

// Dial connects to an address given as IP:port. With TLS, the handshake is complete when Dial returns.
func (t *tcpNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	if err := t.checkAddress(address); err != nil {
		return nil, err
	}
	conn, err := t.dialer.DialContext(ctx, "tcp", address)
	if err != nil || t.identity.config == nil {
		return conn, err
	}
	tlsConn := tls.Client(conn, t.identity.config)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, trace.Wrap(err, "TLS handshake")
	}
	return tlsConn, nil
}

// Listen returns a listener on an address given as IP:port. With TLS, the handshake takes place after a connection has
// been accepted.
func (t *tcpNetwork) Listen(address string) (net.Listener, error) {
	if err := t.checkAddress(address); err != nil {
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

// checkAddress returns an error if the address is not IP:port, or if it is outside loopback and the identity is empty, so
// that connections would be without TLS.
func (t *tcpNetwork) checkAddress(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return trace.BadParameter("%q is not IP:port", address)
	}
	if t.identity.config == nil && !parsed.Addr().IsLoopback() {
		return trace.Wrap(ErrPlaintext, "%s", address)
	}
	return nil
}
