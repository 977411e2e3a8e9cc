// Package api holds the domain types of trefoilplank: the register and the rules that operators edit,
// the outcome of a request, and the decoding and checks of operator documents. It performs no I/O.
package api
