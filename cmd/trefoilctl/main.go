// Command trefoilctl is the command line for operators and for users who submit batch jobs.
package main

import (
	"os"

	"trefoilplank.example/pkg/ctl"
)

func main() { os.Exit(ctl.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
