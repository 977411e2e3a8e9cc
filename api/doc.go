// Package api holds the domain types of trefoilplank: the register and the rules that operators edit,
// the outcome of a request, and the checks on operator documents. It performs no I/O.
package api
