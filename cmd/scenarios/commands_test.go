package scenarios

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"trefoilplank.example/standin/faults"
)

// sleep waits for a duration: sleep DURATION.
func sleep(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

// sendHTTP sends a request and returns "status=" with the status code, the headers and the body as text. args are
// METHOD ADDRESS/PATH [BODY] [HEADER: VALUE]...
func sendHTTP(key string, args []string) (string, error) {
	method, url, body := args[0], args[1], ""
	var header []string
	for _, a := range args[2:] {
		if name, _, ok := strings.Cut(a, ": "); ok && !strings.HasPrefix(a, "{") && !strings.Contains(name, " ") {
			header = append(header, a)
			continue
		}
		body = a
	}
	r, err := http.NewRequest(method, "http://"+url, strings.NewReader(body))
	if err != nil {
		return "", err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	for _, h := range header {
		name, value, _ := strings.Cut(h, ": ")
		r.Header.Set(name, value)
	}
	client := http.Client{Timeout: time.Minute}
	answer, err := client.Do(r)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return "", err
	}
	var text bytes.Buffer
	fmt.Fprintf(&text, "status=%d\n", answer.StatusCode)
	_ = answer.Header.Write(&text)
	text.WriteByte('\n')
	text.Write(data)
	return text.String(), nil
}

// httpCall sends a request and prints the answer: http KEY METHOD ADDRESS/PATH [BODY] [HEADER: VALUE]... With ! the
// request must get no answer.
func httpCall(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 3 {
		ts.Fatalf("usage: http KEY METHOD ADDRESS/PATH [BODY] [HEADER: VALUE]...")
	}
	text, err := sendHTTP(args[0], args[1:])
	if neg != (err != nil) {
		ts.Fatalf("http request: unexpected result, error %v", err)
	}
	_, _ = io.WriteString(ts.Stdout(), text)
}

// awaitAnswer repeats a request until its answer matches the pattern, or with ! until it does not: await DURATION PATTERN
// KEY METHOD ADDRESS/PATH [BODY] [HEADER: VALUE]...
func awaitAnswer(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 5 {
		ts.Fatalf("usage: await DURATION PATTERN KEY METHOD ADDRESS/PATH ...")
	}
	limit, err := time.ParseDuration(args[0])
	ts.Check(err)
	pattern, err := regexp.Compile("(?m)" + args[1])
	ts.Check(err)
	var text string
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if text, err = sendHTTP(args[2], args[3:]); err == nil && pattern.MatchString(text) != neg {
			_, _ = io.WriteString(ts.Stdout(), text)
			return
		}
	}
	ts.Fatalf("no matching answer within %s; last: %v\n%s", limit, err, text)
}

// standinAddress returns the address of the stand-in of an upstream by its name, or of the object store ("store"), the
// VM list ("vms") or the weight store ("weights").
func (f *fleet) standinAddress(ts *testscript.TestScript, name string) string {
	switch name {
	case "store":
		return f.standins.StoreAddress
	case "vms":
		return f.standins.VMListAddress
	case "weights":
		return f.standins.WeightStoreAddress
	}
	for _, u := range f.standins.Register.Upstreams {
		if u.Name == name {
			return u.Address
		}
	}
	ts.Fatalf("there is no stand-in %q", name)
	return ""
}

// setFault sets the faults of the named stand-ins: fault JSON NAME...
func setFault(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	for _, name := range args[1:] {
		text, err := sendHTTP("", []string{http.MethodPost, f.standinAddress(ts, name) + "/standin/faults", args[0]})
		ts.Check(err)
		if !strings.HasPrefix(text, "status=200") {
			ts.Fatalf("stand-in %s did not accept the fault: %s", name, text)
		}
	}
}

// executions returns the runs of each upstream by its name.
func (f *fleet) executions(ts *testscript.TestScript) map[string][]faults.Execution {
	all := map[string][]faults.Execution{}
	for _, u := range f.standins.Register.Upstreams {
		r, err := http.Get("http://" + u.Address + "/standin/executions")
		ts.Check(err)
		var rows []faults.Execution
		ts.Check(json.NewDecoder(r.Body).Decode(&rows))
		ts.Check(r.Body.Close())
		all[u.Name] = rows
	}
	return all
}

// countRuns prints counts of the runs whose custom id, else idempotency key, else request id starts with PREFIX: runs
// PREFIX [SINCE]. "most" is the largest number of runs of one id. "late" counts the runs that started within the duration
// SINCE before now.
func countRuns(ts *testscript.TestScript, _ bool, args []string) {
	since := time.Now()
	if len(args) > 1 {
		d, err := time.ParseDuration(args[1])
		ts.Check(err)
		since = since.Add(-d)
	}
	byName := map[string]int{}
	total, mostPerName, crashed, cancelled, late, finished := 0, 0, 0, 0, 0, 0
	for _, rows := range fleetOf(ts).executions(ts) {
		for _, r := range rows {
			name := r.CustomID
			if name == "" {
				name = r.IdempotencyKey
			}
			if name == "" {
				name = r.RequestID
			}
			if !strings.HasPrefix(name, args[0]) {
				continue
			}
			total++
			byName[name]++
			mostPerName = max(mostPerName, byName[name])
			crashed += boolToInt(r.Crashed)
			cancelled += boolToInt(r.Cancelled)
			late += boolToInt(r.Started.After(since))
			finished += boolToInt(r.Finished != nil && !r.Crashed && !r.Cancelled)
		}
	}
	fmt.Fprintf(ts.Stdout(), "total=%d distinct=%d most=%d finished=%d crashed=%d cancelled=%d late=%d\n",
		total, len(byName), mostPerName, finished, crashed, cancelled, late)
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// printOrders prints the orders that the engine of an upstream has received: orders NAME.
func printOrders(ts *testscript.TestScript, _ bool, args []string) {
	text, err := sendHTTP("", []string{http.MethodGet, fleetOf(ts).standinAddress(ts, args[0]) + "/standin/orders"})
	ts.Check(err)
	_, _ = io.WriteString(ts.Stdout(), text)
}

// writeBatchFile writes a batch input file whose items have the custom ids PREFIX-0, PREFIX-1 and so on: batchfile FILE
// ITEMS MODEL PREFIX.
func writeBatchFile(ts *testscript.TestScript, _ bool, args []string) {
	var items int
	_, err := fmt.Sscan(args[1], &items)
	ts.Check(err)
	var b bytes.Buffer
	for i := range items {
		fmt.Fprintf(&b, `{"custom_id":"%s-%d","method":"POST","url":"/v1/chat/completions","body":{"model":%q,"max_tokens":8,"messages":[{"role":"user","content":"%s %d"}]}}`+"\n",
			args[3], i, args[2], args[3], i)
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), b.Bytes(), 0o600))
}

// checkResults checks that a result file has exactly one line for each item, with status 200: results FILE ITEMS PREFIX.
func checkResults(ts *testscript.TestScript, _ bool, args []string) {
	var items int
	_, err := fmt.Sscan(args[1], &items)
	ts.Check(err)
	seen := map[string]int{}
	for _, line := range strings.Split(strings.TrimSpace(ts.ReadFile(args[0])), "\n") {
		var row struct {
			CustomID string `json:"custom_id"`
			Response struct {
				StatusCode int `json:"status_code"`
			} `json:"response"`
		}
		ts.Check(json.Unmarshal([]byte(line), &row))
		if row.Response.StatusCode != http.StatusOK {
			ts.Fatalf("an item's status is not 200: %s", line)
		}
		seen[row.CustomID]++
	}
	for i := range items {
		if n := seen[fmt.Sprintf("%s-%d", args[2], i)]; n != 1 {
			ts.Fatalf("item %s-%d has %d results", args[2], i, n)
		}
	}
	if len(seen) != items {
		ts.Fatalf("the file has results of %d items instead of %d", len(seen), items)
	}
}

// writeCertificate writes a self-signed certificate for 127.0.0.1: certificate CERTFILE KEYFILE.
func writeCertificate(ts *testscript.TestScript, _ bool, args []string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	ts.Check(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: "scenario"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	ts.Check(err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}), 0o600))
}
