package jsontext

import "bytes"

// Measure returns how many values a JSON text has at most and how deep they are nested, without decoding it. Keys of objects count
// as values. The result for a text that is not valid JSON says nothing, but is found as fast.
func Measure(text []byte) (values, depth int) {
	level := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			values++
			i = stringEnd(text, i+1)
		case '{', '[':
			values++
			level++
			depth = max(depth, level)
		case '}', ']':
			level--
		case ',':
			values++
		}
	}
	return values, depth
}

// stringEnd returns the position of the quote that ends a string whose content begins at a position, or the end of the text.
func stringEnd(text []byte, at int) int {
	for at < len(text) {
		n := bytes.IndexByte(text[at:], '"')
		if n < 0 {
			break
		}
		end := at + n
		escapes := 0
		for end-escapes-1 >= at && text[end-escapes-1] == '\\' {
			escapes++
		}
		if at = end + 1; escapes%2 == 0 {
			return end
		}
	}
	return len(text)
}
