package dev

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// operatorCall makes a call of an operator at a node and returns its status and whether the answer is whole.
func (f *Fleet) operatorCall(client *http.Client, node int, method, path string, body []byte) (status int, answer string, err error) {
	r, err := http.NewRequest(method, "http://"+f.nodes[node].AdminAddress()+path, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	r.Header.Set("Authorization", "Bearer "+f.Ready.OperatorKey)
	resp, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// resetInConnect reports whether a call failed since its connection was reset before it was connected: the kernel does that with a connection that
// it has begun to establish for a listener that closes. Nothing of the call was sent.
func resetInConnect(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && errors.Is(err, syscall.ECONNRESET)
}

// Guards against calls of operators that are cut when their node has drained and stops: one that has begun gets its answer, also if it
// takes longer than the rest of the drain, as the change of a configuration does with a slow store.
func TestOperatorsAreAnsweredAtTheEndOfADrain(t *testing.T) {
	f, err := Start(Options{Nodes: 2, Seed: 1})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, f.Close()) })
	status, _, err := f.operatorCall(http.DefaultClient, 0, "POST", "/v1/admin/drain", nil)
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
	begun := time.Now()
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			closed := false
			for i := 0; ; i++ {
				sent := time.Now()
				status, answer, err := f.operatorCall(client, 0, "GET", "/v1/admin/status", nil)
				if errors.Is(err, syscall.ECONNREFUSED) {
					return
				}
				if resetInConnect(err) && !closed {
					closed = true // The next connection must be refused.
					continue
				}
				if err != nil || closed || !json.Valid([]byte(answer)) {
					t.Errorf("status call %d, %s after the drain began, %s later: %d %v", i, sent.Sub(begun), time.Since(sent), status, err)
					return
				}
			}
		})
	}
	// Address answers and the other nodes name the node for three seconds.
	time.Sleep(addressTTL + 1700*time.Millisecond)
	resp, err := http.Post("http://"+f.standins.StoreAddress+"/standin/faults", "application/json", strings.NewReader(`{"delay_ms":600}`))
	assert.NilError(t, err)
	_ = resp.Body.Close()
	register, err := json.Marshal(f.standins.Register)
	assert.NilError(t, err)
	status, answer, err := f.operatorCall(http.DefaultClient, 0, "POST", "/v1/admin/apply", register)
	t.Logf("applied %s after the drain began: %d %.200s", time.Since(begun), status, answer)
	assert.NilError(t, err)
	assert.Assert(t, status == 200 || strings.Contains(answer, `"outcome"`), "%d %s", status, answer)
	assert.Assert(t, time.Since(begun) > addressTTL+2*time.Second+300*time.Millisecond, "the answer came before the end of the drain: %s", time.Since(begun))
	resp, err = http.Post("http://"+f.standins.StoreAddress+"/standin/faults", "application/json", strings.NewReader(`{"delay_ms":0}`))
	assert.NilError(t, err)
	_ = resp.Body.Close()
	group.Wait()
}
