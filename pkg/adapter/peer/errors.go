package peer

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/store"
)

// Further errors of calls; test with errors.Is.
var (
	// ErrConnectionLost means that the connection broke while the call was in progress. An error of this kind
	// also matches ErrTimeout, since the peer may have acted.
	ErrConnectionLost = Error.New("peer connection lost")
	// ErrTooLarge means that a message is larger than MaxMessageBytes.
	ErrTooLarge = Error.New("peer message too large")
	// ErrUnknownMethod means that the peer has no such method.
	ErrUnknownMethod = Error.New("unknown peer method")
	// ErrHandshakeRefused means that the handshake failed: the secrets differ or the peer speaks another protocol.
	ErrHandshakeRefused = Error.New("peer refused the handshake")
)

// Prefixes of error texts on the wire: a JSON api.Error, a registered error code with a text, or a text alone. net/rpc
// carries an error as text only.
const (
	apiPrefix  = "api:"
	codePrefix = "code:"
	textPrefix = "text:"
)

// registeredErrors maps codes to the errors registered with RegisterError; codes holds them in order of registration.
var registeredErrors = struct {
	sync.RWMutex
	byCode map[string]error
	codes  []string
}{byCode: map[string]error{}}

// RegisterError makes errors that match target at the receiver match it with errors.Is at the caller too. Both sides
// must register the same code, which must not contain a space.
func RegisterError(code string, target error) {
	registeredErrors.Lock()
	defer registeredErrors.Unlock()
	if _, ok := registeredErrors.byCode[code]; !ok {
		registeredErrors.codes = append(registeredErrors.codes, code)
	}
	registeredErrors.byCode[code] = target
}

func init() {
	RegisterError("peer.unknown_method", ErrUnknownMethod)
	RegisterError("peer.unknown_node", ErrUnknownNode)
	RegisterError("store.not_found", store.ErrNotFound)
	RegisterError("store.conflict", store.ErrConflict)
	RegisterError("store.unavailable", store.ErrUnavailable)
	RegisterError("store.unknown", store.ErrUnknown)
}

// wireError is the JSON form of an api.Error with all its fields.
type wireError struct {
	Status     int           `json:"status"`
	Code       api.Code      `json:"code"`
	Message    string        `json:"message"`
	Outcome    api.Outcome   `json:"outcome"`
	RequestID  string        `json:"request_id"`
	RetryAfter time.Duration `json:"retry_after"`
}

// encodeError returns the text form of an error that a receiver returned.
func encodeError(err error) string {
	var a *api.Error
	if errors.As(err, &a) {
		b, jsonErr := json.Marshal(wireError(*a))
		if jsonErr == nil {
			return apiPrefix + string(b)
		}
	}
	registeredErrors.RLock()
	defer registeredErrors.RUnlock()
	for _, code := range registeredErrors.codes {
		if errors.Is(err, registeredErrors.byCode[code]) {
			return codePrefix + code + " " + err.Error()
		}
	}
	return textPrefix + err.Error()
}

// RemoteError is an error that a receiver returned.
type RemoteError struct {
	Message string
	// kind is the registered error that the receiver's error matched, or nil.
	kind error
}

// Error returns the text of the receiver's error.
func (e *RemoteError) Error() string { return e.Message }

// Unwrap returns the registered error that the receiver's error matched, if any.
func (e *RemoteError) Unwrap() error { return e.kind }

// decodeError rebuilds an error from its text form.
func decodeError(text string) error {
	if rest, ok := strings.CutPrefix(text, apiPrefix); ok {
		var w wireError
		if err := json.Unmarshal([]byte(rest), &w); err != nil {
			return &RemoteError{Message: fmt.Sprintf("malformed remote error: %v", err)}
		}
		a := api.Error(w)
		return &a
	}
	if rest, ok := strings.CutPrefix(text, codePrefix); ok {
		code, message, _ := strings.Cut(rest, " ")
		registeredErrors.RLock()
		defer registeredErrors.RUnlock()
		return &RemoteError{Message: message, kind: registeredErrors.byCode[code]}
	}
	return &RemoteError{Message: strings.TrimPrefix(text, textPrefix)}
}
