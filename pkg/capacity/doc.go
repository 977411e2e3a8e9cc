// Package capacity computes what each role of a node takes at a given size of the fleet: state, messages, bytes,
// processor time and calls to the object API. Its inputs are slopes that the benchmarks of this package measure on
// the real controllers. It has no I/O.
package capacity
