// Package bitset implements a set of small non-negative integers whose JSON form is a base64 string.
package bitset

import "math/bits"

// Set is a set of integers: bit i%8 of byte i/8 is set if i is a member. The zero value is empty. Methods do not change
// the set but return a changed copy.
type Set []byte

// Has reports whether i is a member.
func (s Set) Has(i int) bool {
	return i >= 0 && i/8 < len(s) && s[i/8]&(1<<(i%8)) != 0
}

// With returns a copy of the set with the given members added.
func (s Set) With(members ...int) Set {
	size := len(s)
	for _, i := range members {
		size = max(size, i/8+1)
	}
	c := make(Set, size)
	copy(c, s)
	for _, i := range members {
		c[i/8] |= 1 << (i % 8)
	}
	return c
}

// Count returns the number of members.
func (s Set) Count() int {
	n := 0
	for _, b := range s {
		n += bits.OnesCount8(b)
	}
	return n
}
