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
	// handshakeMagic identifies the protocol and its version.
	handshakeMagic = "trefoilplank-peer-1\n"
	nonceBytes     = 32
	// handshakeTimeout bounds the whole handshake, so that an unresponsive connection does not hold a goroutine.
	handshakeTimeout = 5 * time.Second
)

// Labels are part of each proof, so that the proof of one side can't be sent back as that of the other.
const (
	serverLabel = "server"
	clientLabel = "client"
)

// proof returns the HMAC of the label and both nonces under the shared secret.
func proof(secret []byte, label string, clientNonce, serverNonce []byte) []byte {
	m := hmac.New(sha256.New, secret)
	m.Write([]byte(label))
	m.Write(clientNonce)
	m.Write(serverNonce)
	return m.Sum(nil)
}

// clientHandshake checks that the server knows the secret and then proves to the server that the client does.
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
	serverNonce, serverProof := answer[:nonceBytes], answer[nonceBytes:]
	if !hmac.Equal(serverProof, proof(secret, serverLabel, nonce, serverNonce)) {
		return ErrHandshakeRefused
	}
	if _, err := conn.Write(proof(secret, clientLabel, nonce, serverNonce)); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(conn.SetDeadline(time.Time{}))
}

// serverHandshake proves to the client that the server knows the secret and checks that the client does.
func serverHandshake(conn net.Conn, secret []byte) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return Error.Wrap(err)
	}
	hello := make([]byte, len(handshakeMagic)+nonceBytes)
	if _, err := io.ReadFull(conn, hello); err != nil {
		return Error.Wrap(err)
	}
	if string(hello[:len(handshakeMagic)]) != handshakeMagic {
		return ErrHandshakeRefused
	}
	clientNonce := hello[len(handshakeMagic):]
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce)
	if _, err := conn.Write(append(nonce, proof(secret, serverLabel, clientNonce, nonce)...)); err != nil {
		return Error.Wrap(err)
	}
	clientProof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, clientProof); err != nil {
		return Error.Wrap(err)
	}
	if !hmac.Equal(clientProof, proof(secret, clientLabel, clientNonce, nonce)) {
		return ErrHandshakeRefused
	}
	return Error.Wrap(conn.SetDeadline(time.Time{}))
}
