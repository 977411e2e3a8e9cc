package peer

import "net"

// ClientHandshake exposes the client's side to fuzz targets.
func ClientHandshake(conn net.Conn, secret string) error {
	return clientHandshake(conn, []byte(secret))
}
