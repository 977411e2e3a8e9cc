package api

import (
	"encoding/json"
	"fmt"
	"math"
	"time"
)

// Outcome says whether a request without a successful answer may have run.
type Outcome string

// Outcomes of a request without a successful answer.
const (
	// NotRun means that no upstream can have begun the request.
	NotRun Outcome = "not-run"
	// Failed means that the request ran and failed, and has no answer.
	Failed Outcome = "failed"
	// Unknown means that an upstream may have begun the request.
	Unknown Outcome = "unknown"
)

// Code is the machine-readable reason in an error answer.
type Code string

// Codes of error answers.
const (
	CodeMalformed    Code = "malformed"
	CodeUnauthorized Code = "unauthorized"
	CodeForbidden    Code = "forbidden"
	CodeNotFound     Code = "not_found"
	CodeDeadline     Code = "deadline_exceeded"
	CodeConflict     Code = "conflict"
	CodeTooLarge     Code = "too_large"
	CodeInvalid      Code = "invalid"
	CodeQuarantined  Code = "request_quarantined"
	CodeRateLimited  Code = "rate_limited"
	CodeNoCapacity   Code = "no_capacity"
	CodeNotReady     Code = "not_ready"
	CodeUpstream     Code = "upstream_failed"
	CodeVersionRace  Code = "version_race"
	CodeStore        Code = "store_unavailable"
	CodeInternal     Code = "internal"
)

// Error is the content of an error answer to a caller or operator.
type Error struct {
	// Status is the HTTP status.
	Status     int
	Code       Code
	Message    string
	Outcome    Outcome
	RequestID  string
	RetryAfter time.Duration
}

// Error returns the code and the message.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Message) }

// Errorf returns an Error with a formatted message, without request id and retry time.
func Errorf(status int, code Code, outcome Outcome, format string, args ...any) *Error {
	return &Error{Status: status, Code: code, Outcome: outcome, Message: fmt.Sprintf(format, args...)}
}

// ErrorBody is the JSON form of an Error.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the content of an ErrorBody.
type ErrorDetail struct {
	Code      Code    `json:"code"`
	Message   string  `json:"message"`
	Outcome   Outcome `json:"outcome"`
	RequestID string  `json:"request_id"`
	// RetryAfterSeconds is 0 when sending the request again is not useful.
	RetryAfterSeconds int `json:"retry_after_seconds"`
}

// Body returns the JSON form; the retry time is rounded up to whole seconds.
func (e *Error) Body() ErrorBody {
	return ErrorBody{Error: ErrorDetail{
		Code: e.Code, Message: e.Message, Outcome: e.Outcome, RequestID: e.RequestID,
		RetryAfterSeconds: int(math.Ceil(e.RetryAfter.Seconds())),
	}}
}

// MarshalJSON returns the JSON form of Body.
func (e *Error) MarshalJSON() ([]byte, error) { return json.Marshal(e.Body()) }

// Headers of the caller interface.
const (
	HeaderRequestID      = "Trefoil-Request-Id"
	HeaderOutcome        = "Trefoil-Outcome"
	HeaderNonIdempotent  = "Trefoil-Non-Idempotent"
	HeaderTimeoutMs      = "Trefoil-Timeout-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderUpstreamRequestID carries the request id to an upstream and back.
	HeaderUpstreamRequestID = "X-Request-Id"
	// HeaderUpstreamCustomID carries a batch item's custom id to an upstream, for its logs.
	HeaderUpstreamCustomID = "X-Custom-Id"
)
