// Command trefoilplank runs a node of the serving system, or an embedded development fleet.
package main

import (
	"os"

	"trefoilplank.example/cmd/internal/daemon"
)

func main() { os.Exit(daemon.Run()) }
