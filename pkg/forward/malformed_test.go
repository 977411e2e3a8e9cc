package forward

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an upstream in trouble whose answer is none and reaches the caller, or costs the caller the answer: what may be repeated is served
// by another run, and what may not gets a true 502.
func TestMalformedAnswersAreNotPassedOn(t *testing.T) {
	for name, head := range map[string]string{
		"status 000": "000 Trouble\r\nContent-Length: 5\r\n", "status 099": "099 Trouble\r\nContent-Length: 5\r\n", "status +20": "+20 Trouble\r\nContent-Length: 5\r\n",
		"status 101": "101 Switching Protocols\r\n", "blank before the colon": "200 OK\r\nContent-Length : 3\r\n", "blank in a name": "200 OK\r\nContent-Length: 5\r\nX Y: z\r\n",
		"control character in a name": "200 OK\r\nContent-Length: 5\r\nX\x01: z\r\n", "control character in a value": "200 OK\r\nContent-Length: 5\r\nX: \x01\r\n",
		"chunks behind a blank": "200 OK\r\nTransfer-Encoding : chunked\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for target, want := range map[string]struct {
				status int
				runs   int
			}{"/idempotent/a": {http.StatusOK, 2}, "/unsafe/a": {http.StatusBadGateway, 1}} {
				var runs atomic.Int64
				inTrouble := func(_ *fixture, w http.ResponseWriter, r *http.Request) {
					if runs.Add(1) > 1 {
						fmt.Fprint(w, "whole")
						return
					}
					conn, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						panic(err)
					}
					defer conn.Close()
					fmt.Fprintf(conn, "HTTP/1.1 %sX-Id: %s\r\nX-Stamp: u\r\n\r\nhello", head, r.Header.Get(testHeaders.RequestID))
				}
				f := newFixture(t, inTrouble, inTrouble, inTrouble)
				resp, body, err := f.call(t, target, "prompt")
				assert.NilError(t, err, target)
				assert.Equal(t, resp.StatusCode, want.status, target)
				assert.Equal(t, int(runs.Load()), want.runs, target)
				if want.status == http.StatusOK {
					assert.Equal(t, body, "whole")
				} else {
					assert.Equal(t, resp.Header.Get(testHeaders.Signature), "", "the failure bears the upstream's signature")
				}
			}
		})
	}
}
