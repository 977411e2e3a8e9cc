package peer

import "net"

// ClientHandshake exposes clientHandshake to the tests and fuzz targets of package peer_test.
func ClientHandshake(conn net.Conn, secret string) error {
	return clientHandshake(conn, []byte(secret), callProtocol)
}
