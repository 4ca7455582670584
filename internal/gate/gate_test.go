package gate_test

import (
	"bufio"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"tarragongauge.example/tarragongauge/internal/gate"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// certificate returns a new self-signed certificate.
func certificate(t *testing.T) tls.Certificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	require.NoError(t, err)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

// serve starts an HTTP server on a gate. It answers every request with whether
// the request came over TLS.
func serve(t *testing.T, opts ...gate.Option) *gate.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g := gate.New(l, &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate(t)}}, opts...)
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprintf(w, "tls=%t", r.TLS != nil)
	})}
	workers := pond.NewPool(1)
	workers.Submit(func() { _ = server.Serve(g) })
	t.Cleanup(func() {
		require.NoError(t, server.Close())
		workers.StopAndWait()
	})
	return g
}

// dial opens a TCP connection to a gate and sends nothing.
func dial(t *testing.T, g *gate.Listener) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", g.Addr().String())
	require.NoError(t, err)
	require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// get sends one request and returns the body of the answer.
func get(conn net.Conn) (string, error) {
	if _, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"); err != nil {
		return "", err
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	body := make([]byte, 64)
	n, _ := res.Body.Read(body)
	return string(body[:n]), nil
}

// client returns a TLS client over a connection.
func client(conn net.Conn) *tls.Conn { return tls.Client(conn, &tls.Config{InsecureSkipVerify: true}) }

// Guards against a gate that accepts plain connections although it requires TLS,
// and against one with optional TLS that refuses either kind of connection or
// takes one for the other.
func TestPlainAndTLSConnections(t *testing.T) {
	required := serve(t)
	body, err := get(client(dial(t, required)))
	require.NoError(t, err)
	require.Equal(t, "tls=true", body)
	body, err = get(dial(t, required))
	require.NoError(t, err)
	require.Equal(t, "this port needs TLS; use https\n", body)
	_, err = get(client(dial(t, required)))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return required.Stats().Failed == 1 }, 5*time.Second, time.Millisecond)

	optional := serve(t, gate.WithOptionalTLS())
	body, err = get(client(dial(t, optional)))
	require.NoError(t, err)
	require.Equal(t, "tls=true", body)
	body, err = get(dial(t, optional))
	require.NoError(t, err)
	require.Equal(t, "tls=false", body)
	require.Equal(t, uint64(1), optional.Stats().Unencrypted)
}

// Guards against one address that takes all handshakes in progress with
// connections that send nothing, so that other addresses are not served.
func TestSilentConnectionsAreBounded(t *testing.T) {
	for _, opts := range [][]gate.Option{nil, {gate.WithOptionalTLS()}} {
		g := serve(t, append(opts, gate.WithHandshakeLimits(8, 4), gate.WithHandshakeTimeout(time.Hour))...)
		for range 12 {
			dial(t, g)
		}
		require.Eventually(t, func() bool { s := g.Stats(); return s.InProgress == 4 && s.Refused == 8 }, 5*time.Second, time.Millisecond)
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}
		other, err := dialer.Dial("tcp", g.Addr().String())
		require.NoError(t, err)
		body, err := get(client(other))
		require.NoError(t, err)
		require.Equal(t, "tls=true", body)
		require.NoError(t, other.Close())
	}
}

// Guards against connections that send nothing and take up a handshake in
// progress without a time limit.
func TestSilentConnectionsTimeOut(t *testing.T) {
	g := serve(t, gate.WithHandshakeLimits(1, 1), gate.WithHandshakeTimeout(20*time.Millisecond))
	dial(t, g)
	require.Eventually(t, func() bool { return g.Stats().Failed == 1 }, 5*time.Second, time.Millisecond)
	require.Zero(t, g.Stats().InProgress)
}

// Guards against a Close that waits for handshakes in progress instead of ending them.
func TestCloseEndsHandshakes(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g := gate.New(l, &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate(t)}}, gate.WithHandshakeTimeout(time.Hour))
	dial(t, g)
	require.Eventually(t, func() bool { return g.Stats().InProgress == 1 }, 5*time.Second, time.Millisecond)
	require.NoError(t, g.Close())
	_, err = g.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
}
