package plainservice

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a service that redirects paths which are not canonical, or refuses a call such as POST /load because the
// stand-in itself uses the path.
func TestTakesAnyPath(t *testing.T) {
	s := New("status")
	for _, c := range []struct{ method, target string }{
		{http.MethodGet, "/"}, {http.MethodPost, "/a//b"}, {http.MethodPut, "/a/../b"}, {http.MethodDelete, "/a/"}, {http.MethodPost, "/load"},
	} {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(c.method, c.target, nil))
		assert.Equal(t, w.Code, http.StatusOK, "%s %s", c.method, c.target)
	}
	assert.Equal(t, len(s.executions.Rows()), 5)
}
