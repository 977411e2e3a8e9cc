package peer

import (
	"expvar"
	"net"
)

// traffic counts the bytes of messages on all peer connections of the process, as "sent" and "received", without the
// handshakes and the headers of TLS and TCP/IP.
var traffic = expvar.NewMap("peer_bytes")

// requestBytes counts the bytes of the requests sent, by method, with the type descriptions that gob sends once for each
// connection.
var requestBytes = expvar.NewMap("peer_request_bytes")

// connects counts the connections opened to other nodes.
var connects = expvar.NewInt("peer_connects")

// countedConn adds what passes through a connection to traffic.
type countedConn struct{ net.Conn }

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	traffic.Add("received", int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	traffic.Add("sent", int64(n))
	return n, err
}
