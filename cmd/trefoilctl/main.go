// Command trefoilctl is the tool for operators and batch users.
package main

func main() {}
