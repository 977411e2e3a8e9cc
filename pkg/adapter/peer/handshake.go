package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"
)

const (
	// handshakeMagic names the protocol and its version.
	handshakeMagic = "trefoilplank-peer-1\n"
	nonceBytes     = 32
	// handshakeTimeout bounds the exchange, so that a silent connection does not hold a goroutine.
	handshakeTimeout = 5 * time.Second
)

// Labels keep a proof of one side from being sent back as the other's.
const (
	serverLabel = "server"
	clientLabel = "client"
)

// proof is the HMAC over both nonces under the shared secret.
func proof(secret []byte, label string, clientNonce, serverNonce []byte) []byte {
	m := hmac.New(sha256.New, secret)
	m.Write([]byte(label))
	m.Write(clientNonce)
	m.Write(serverNonce)
	return m.Sum(nil)
}

// clientHandshake proves knowledge of the secret and checks that the server knows it.
func clientHandshake(conn net.Conn, secret []byte) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return Error.Wrap(err)
	}
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce)
	if _, err := conn.Write(append([]byte(handshakeMagic), nonce...)); err != nil {
		return Error.Wrap(err)
	}
	answer := make([]byte, nonceBytes+sha256.Size)
	if _, err := io.ReadFull(conn, answer); err != nil {
		return Error.Wrap(err)
	}
	serverNonce, theirs := answer[:nonceBytes], answer[nonceBytes:]
	if !hmac.Equal(theirs, proof(secret, serverLabel, nonce, serverNonce)) {
		return ErrRefused
	}
	if _, err := conn.Write(proof(secret, clientLabel, nonce, serverNonce)); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(conn.SetDeadline(time.Time{}))
}

// serverHandshake is the other side of clientHandshake.
func serverHandshake(conn net.Conn, secret []byte) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return Error.Wrap(err)
	}
	hello := make([]byte, len(handshakeMagic)+nonceBytes)
	if _, err := io.ReadFull(conn, hello); err != nil {
		return Error.Wrap(err)
	}
	if string(hello[:len(handshakeMagic)]) != handshakeMagic {
		return ErrRefused
	}
	clientNonce := hello[len(handshakeMagic):]
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce)
	if _, err := conn.Write(append(nonce, proof(secret, serverLabel, clientNonce, nonce)...)); err != nil {
		return Error.Wrap(err)
	}
	theirs := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, theirs); err != nil {
		return Error.Wrap(err)
	}
	if !hmac.Equal(theirs, proof(secret, clientLabel, clientNonce, nonce)) {
		return ErrRefused
	}
	return Error.Wrap(conn.SetDeadline(time.Time{}))
}
