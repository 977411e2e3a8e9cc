// Package jsontext encodes values as JSON without the escapes that only HTML needs, and returns how many bytes a value takes in
// that encoding, so that a limit on encoded bytes can be kept before anything is encoded.
package jsontext

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"unicode/utf8"
)

// Marshal is json.Marshal without escapes of <, > and &, which make markup up to six times as long.
func Marshal(v any) ([]byte, error) {
	var out bytes.Buffer
	e := json.NewEncoder(&out)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(out.Bytes(), []byte("\n")), nil
}

const (
	// quotes is the length of the quotes around a string.
	quotes = 2
	// unicodeEscape is the length of \uXXXX, and shortEscape that of a backslash with one character.
	unicodeEscape, shortEscape = 6, 2
)

// StringLen returns the length in bytes of a string as Marshal encodes it, with its quotes. Bytes that are no UTF-8 count as the
// replacement character that Marshal writes for each.
func StringLen(s string) int { return quotes + textLen(s) }

func textLen(s string) int {
	n := 0
	for i := 0; i < len(s); {
		size, encoded := runeLen(s[i:])
		i, n = i+size, n+encoded
	}
	return n
}

// runeLen returns the length of the first character of s, and its length as Marshal encodes it.
func runeLen(s string) (size, encoded int) {
	if s[0] < utf8.RuneSelf {
		switch {
		case s[0] == '"' || s[0] == '\\' || s[0] == '\b' || s[0] == '\f' || s[0] == '\n' || s[0] == '\r' || s[0] == '\t':
			return 1, shortEscape
		case s[0] < ' ':
			return 1, unicodeEscape
		}
		return 1, 1
	}
	r, size := utf8.DecodeRuneInString(s)
	if r == utf8.RuneError && size == 1 || r == '\u2028' || r == '\u2029' {
		return size, unicodeEscape
	}
	return size, size
}

// BytesLen returns the length in bytes of a byte slice as Marshal encodes it: a base64 string with its quotes.
func BytesLen(b []byte) int { return quotes + base64.StdEncoding.EncodedLen(len(b)) }

// SplitString splits a string between characters into parts of at most limit bytes each as Marshal encodes them. The parts have
// at least one character each.
func SplitString(s string, limit int) []string {
	var parts []string
	begin, n := 0, quotes
	for i := 0; i < len(s); {
		size, encoded := runeLen(s[i:])
		if n+encoded > limit && i > begin {
			parts = append(parts, s[begin:i])
			begin, n = i, quotes
		}
		i, n = i+size, n+encoded
	}
	return append(parts, s[begin:])
}
