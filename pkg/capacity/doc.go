// Package capacity computes what each role of a node costs at a given size of the fleet: memory, messages, bytes,
// processor time and calls to the object API. Its inputs are costs that the benchmarks of this package measure on the
// real controllers. It does no I/O.
package capacity
