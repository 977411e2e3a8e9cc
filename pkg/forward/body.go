package forward

import (
	"errors"
	"net/http"

	"trefoilplank.example/pkg/controller/callerbudget"
	"trefoilplank.example/pkg/pieces"
)

// ReadBody reads a request body of at most limit bytes. If the body is too long, incomplete or refused, status is the response
// status to send; otherwise it is 0.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int) (body []byte, status int) {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.ContentLength == 0 {
		return nil, 0
	}
	var err error = &http.MaxBytesError{Limit: int64(limit)}
	if r.ContentLength <= int64(limit) {
		body, err = pieces.Read(http.MaxBytesReader(w, r.Body, int64(limit)), r.ContentLength)
	}
	if err == nil {
		return body, 0
	}
	w.Header()["Connection"] = []string{"close"} // The rest of the body is not read.
	w.Header()["Content-Length"] = []string{"0"}
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		// Many clients read the answer only after they have sent the body.
		callerbudget.Discard(r.Body, int64(limit))
		return nil, http.StatusRequestEntityTooLarge
	case errors.Is(err, callerbudget.ErrNoRoom):
		setRetryAfter(w, noRoomRetry)
		return nil, http.StatusServiceUnavailable
	case errors.Is(err, callerbudget.ErrTooSlow):
		return nil, http.StatusRequestTimeout
	}
	return nil, http.StatusBadRequest
}
