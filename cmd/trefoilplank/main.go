// Command trefoilplank runs a node or the development fleet.
package main

func main() {}
