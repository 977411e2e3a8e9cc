package customers

import (
	"net/http"
	"strings"
)

const (
	// AuthorizationHeader carries a caller's key.
	AuthorizationHeader = "Authorization"
	// Scheme is the authentication scheme of keys.
	Scheme = "Bearer"
	// maxKeyBytes limits the keys that are looked up, so that a long header costs no hashing.
	maxKeyBytes = 4096
)

// ParseKey returns the key of an Authorization header. It returns false if the header is missing, repeated or malformed. A header with
// several values separated by commas is malformed.
func ParseKey(h http.Header) (key string, ok bool) {
	values := h[AuthorizationHeader]
	if len(values) != 1 {
		return "", false
	}
	value := strings.Trim(values[0], " \t")
	if len(value) <= len(Scheme) || !strings.EqualFold(value[:len(Scheme)], Scheme) || value[len(Scheme)] != ' ' && value[len(Scheme)] != '\t' {
		return "", false
	}
	key = strings.Trim(value[len(Scheme):], " \t")
	if key == "" || len(key) > maxKeyBytes {
		return "", false
	}
	for n := range len(key) {
		if c := key[n]; c <= ' ' || c == ',' || c == 0x7f {
			return "", false
		}
	}
	return key, true
}
