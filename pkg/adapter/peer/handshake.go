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
	nonceBytes = 32
	// handshakeTimeout bounds the whole handshake, so that an unresponsive connection does not hold a goroutine.
	handshakeTimeout = 5 * time.Second
)

// protocol is the first line that a client sends. It identifies what the connection is for, with a version.
type protocol string

// Protocols, which have the same length.
const (
	// callProtocol carries calls by net/rpc, relayProtocol one relayed connection.
	callProtocol  protocol = "trefoilplank-peer-1\n"
	relayProtocol protocol = "trefoilplank-pipe-1\n"
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
func clientHandshake(conn net.Conn, secret []byte, p protocol) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return Error.Wrap(err)
	}
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce)
	if _, err := conn.Write(append([]byte(p), nonce...)); err != nil {
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

// serverHandshake proves to the client that the server knows the secret and checks that the client does. It returns the
// protocol that the client asked for.
func serverHandshake(conn net.Conn, secret []byte) (protocol, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return "", Error.Wrap(err)
	}
	hello := make([]byte, len(callProtocol)+nonceBytes)
	if _, err := io.ReadFull(conn, hello); err != nil {
		return "", Error.Wrap(err)
	}
	asked := protocol(hello[:len(callProtocol)])
	if asked != callProtocol && asked != relayProtocol {
		return "", ErrHandshakeRefused
	}
	clientNonce := hello[len(callProtocol):]
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce)
	if _, err := conn.Write(append(nonce, proof(secret, serverLabel, clientNonce, nonce)...)); err != nil {
		return "", Error.Wrap(err)
	}
	clientProof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, clientProof); err != nil {
		return "", Error.Wrap(err)
	}
	if !hmac.Equal(clientProof, proof(secret, clientLabel, clientNonce, nonce)) {
		return "", ErrHandshakeRefused
	}
	return asked, Error.Wrap(conn.SetDeadline(time.Time{}))
}
