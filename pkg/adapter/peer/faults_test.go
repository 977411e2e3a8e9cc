package peer_test

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/peer"
)

// TestReconnect guards against a client that does not reconnect after its peer restarted, and against a call in
// progress at the restart being reported as not sent.
func TestReconnect(t *testing.T) {
	s, address := startEcho(t, "secret")
	var answered, failed atomic.Int64
	c := peer.NewClient(peer.ClientOptions{
		Secret: "secret", Resolve: func(string) (string, bool) { return address, true },
		Observe: func(_ string, ok bool) {
			if ok {
				answered.Add(1)
			} else {
				failed.Add(1)
			}
		},
	})
	defer c.Close()
	assert.NilError(t, c.Call(t.Context(), "other", "Echo.Say", Text{"x"}, &Text{}))
	inProgress := make(chan error)
	go func() { inProgress <- c.Call(t.Context(), "other", "Echo.Block", Text{}, &Text{}) }()
	time.Sleep(50 * time.Millisecond)
	assert.NilError(t, s.Close())
	err := <-inProgress
	assert.ErrorIs(t, err, peer.ErrConnectionLost)
	assert.Assert(t, !errors.Is(err, peer.ErrUnreachable), "the peer may have acted")
	assert.ErrorIs(t, c.Call(t.Context(), "other", "Echo.Say", Text{}, &Text{}), peer.ErrUnreachable)
	assert.Equal(t, answered.Load(), int64(1))
	assert.Equal(t, failed.Load(), int64(2))

	restarted := peer.NewServer("secret", nil)
	assert.NilError(t, restarted.Register("Echo", &Echo{}))
	l, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	go restarted.Serve(l)
	defer restarted.Close()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if err = c.Call(t.Context(), "other", "Echo.Say", Text{}, &Text{}); err == nil || time.Now().After(deadline) {
			break
		}
	}
	assert.NilError(t, err)
}

// TestMessageBound guards against sending a message larger than MaxMessageBytes, and against a client that can't make
// further calls after it refused one.
func TestMessageBound(t *testing.T) {
	s, address := startEcho(t, "secret")
	c := newClient(t, s, "secret", address)
	var out Text
	err := c.Call(t.Context(), "other", "Echo.Say", Text{string(make([]byte, peer.MaxMessageBytes+1))}, &out)
	assert.ErrorIs(t, err, peer.ErrTooLarge)
	for range 50 {
		if err = c.Call(t.Context(), "other", "Echo.Say", Text{"small"}, &out); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	assert.NilError(t, err)
	assert.Equal(t, out.Value, "small")
}

// TestReceivedMessageBound guards against a server that reads a message of any size from a faulty peer, which would
// exhaust its memory.
func TestReceivedMessageBound(t *testing.T) {
	_, address := startEcho(t, "secret")
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, peer.ClientHandshake(conn, "secret"))
	// A gob message that announces 512 MB: the negated number of length bytes, then the length.
	_, err = conn.Write([]byte{0xfc, 0x20, 0, 0, 0})
	sent := 0
	for block := make([]byte, 1<<20); err == nil && sent < 100<<20; sent += len(block) {
		conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
		_, err = conn.Write(block)
	}
	assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "%d bytes: %v", sent, err)
}

// TestMutualTLS guards against a server that accepts a peer without TLS or without a certificate of the authority.
func TestMutualTLS(t *testing.T) {
	dir := t.TempDir()
	authority, key := createCertificate(t, nil, nil, dir, "ca")
	createCertificate(t, authority, key, dir, "node")
	config, err := peer.LoadTLS(filepath.Join(dir, "node.crt"), filepath.Join(dir, "node.key"), filepath.Join(dir, "ca.crt"))
	assert.NilError(t, err)
	s := peer.NewServer("secret", config)
	assert.NilError(t, s.Register("Echo", &Echo{}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go s.Serve(l)
	defer s.Close()
	for _, tt := range []struct {
		config *tls.Config
		ok     bool
	}{{config, true}, {nil, false}, {&tls.Config{RootCAs: config.RootCAs}, false}} {
		c := peer.NewClient(peer.ClientOptions{Secret: "secret", TLS: tt.config})
		err := c.CallAddress(t.Context(), l.Addr().String(), "Echo.Say", Text{"x"}, &Text{})
		assert.Equal(t, err == nil, tt.ok, "%v", err)
		c.Close()
	}
}

// createCertificate creates a certificate signed by parent, or a new authority when parent is nil, and writes it with
// its key to name.crt and name.key in dir.
func createCertificate(t *testing.T, parent *x509.Certificate, parentKey *ecdsa.PrivateKey, dir, name string) (*x509.Certificate, *ecdsa.PrivateKey) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour),
		IsCA: parent == nil, BasicConstraintsValid: true, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	if parent == nil {
		parent, parentKey = c, key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, parent, &key.PublicKey, parentKey)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	for file, block := range map[string]*pem.Block{
		name + ".crt": {Type: "CERTIFICATE", Bytes: der}, name + ".key": {Type: "EC PRIVATE KEY", Bytes: keyDER},
	} {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, file), pem.EncodeToMemory(block), 0o600))
	}
	parsed, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return parsed, key
}

// FuzzServer guards against a panic, a hang or a long answer when a client that does not know the secret sends
// arbitrary bytes.
func FuzzServer(f *testing.F) {
	f.Add([]byte("trefoilplank-peer-1\n"))
	f.Add(bytes.Repeat([]byte{0xff}, 100))
	f.Fuzz(func(t *testing.T, data []byte) {
		server, client := net.Pipe()
		s := peer.NewServer("secret", nil)
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.ServeConn(server)
		}()
		client.SetDeadline(time.Now().Add(time.Second))
		go client.Write(data)
		time.AfterFunc(5*time.Millisecond, func() { client.Close() })
		answer := make([]byte, 256)
		for n := 0; ; {
			m, err := client.Read(answer[n:])
			if n += m; err != nil {
				break
			}
			if n > 64 {
				t.Fatalf("%d bytes before the proof", n)
			}
		}
		<-done
	})
}

// FuzzMessages guards against a panic or a hang when a peer that knows the secret sends arbitrary bytes.
func FuzzMessages(f *testing.F) {
	f.Add([]byte{})
	f.Add(bytes.Repeat([]byte{0x03, 0xff, 0x82}, 30))
	f.Fuzz(func(t *testing.T, data []byte) {
		server, client := net.Pipe()
		s := peer.NewServer("secret", nil)
		if err := s.Register("Echo", &Echo{}); err != nil {
			t.Fatal(err)
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.ServeConn(server)
		}()
		if err := peer.ClientHandshake(client, "secret"); err != nil {
			t.Fatal(err)
		}
		go client.Write(data)
		time.AfterFunc(5*time.Millisecond, func() { client.Close() })
		<-done
	})
}

// BenchmarkCall reports the time of one call over a loopback connection and in process.
func BenchmarkCall(b *testing.B) {
	s := peer.NewServer("secret", nil)
	if err := s.Register("Echo", &Echo{}); err != nil {
		b.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go s.Serve(l)
	defer s.Close()
	c := peer.NewClient(peer.ClientOptions{Self: "self", Server: s, Secret: "secret", Resolve: func(string) (string, bool) {
		return l.Addr().String(), true
	}})
	defer c.Close()
	for _, node := range []string{"self", "other"} {
		b.Run(node, func(b *testing.B) {
			for b.Loop() {
				if err := c.Call(b.Context(), node, "Echo.Say", Text{"x"}, &Text{}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// TestRelayNeedsNodeThatRelays guards against a connection to a node that can't relay, such as one of an earlier version, that is
// taken for a relayed one, and against an error of the node that loses its kind.
func TestRelayNeedsNodeThatRelays(t *testing.T) {
	s, address := startEcho(t, "secret")
	c := peer.NewClient(peer.ClientOptions{Secret: "secret", Resolve: func(string) (string, bool) { return address, true }})
	defer c.Close()
	_, err := c.Relay(t.Context(), "other", "127.0.0.1:1")
	assert.ErrorIs(t, err, peer.ErrUnknownMethod)

	other := peer.NewClient(peer.ClientOptions{Secret: "another", Resolve: func(string) (string, bool) { return address, true }})
	defer other.Close()
	_, err = other.Relay(t.Context(), "other", "127.0.0.1:1")
	assert.ErrorIs(t, err, peer.ErrUnreachable)
	assert.NilError(t, s.Close())

	// A node of an earlier version closes a connection whose first line it does not know.
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			conn.Close()
		}
	}()
	earlier := peer.NewClient(peer.ClientOptions{Secret: "secret", Resolve: func(string) (string, bool) { return l.Addr().String(), true }})
	defer earlier.Close()
	begun := time.Now()
	_, err = earlier.Relay(t.Context(), "other", "127.0.0.1:1")
	assert.ErrorIs(t, err, peer.ErrUnreachable)
	assert.Assert(t, time.Since(begun) < time.Second)
}
