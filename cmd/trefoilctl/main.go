// Command trefoilctl is the tool for operators and batch users.
package main

import (
	"os"

	"trefoilplank.example/pkg/ctl"
)

func main() { os.Exit(ctl.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
