package peer

import (
	"expvar"
	"net"
)

// byteCounts counts the bytes of messages on all peer connections of the process, as "sent" and "received". It excludes
// handshakes and the headers of TLS and TCP/IP.
var byteCounts = expvar.NewMap("peer_bytes")

// requestBytes counts the bytes of the requests sent, by method. It includes the type descriptions that gob sends once
// for each connection.
var requestBytes = expvar.NewMap("peer_request_bytes")

// connectCount counts the connections opened to other nodes.
var connectCount = expvar.NewInt("peer_connects")

// countedConn counts the bytes read from and written to a connection in byteCounts.
type countedConn struct{ net.Conn }

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	byteCounts.Add("received", int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	byteCounts.Add("sent", int64(n))
	return n, err
}
