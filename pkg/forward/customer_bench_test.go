package forward

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"trefoilplank.example/pkg/controller/customers"
	"trefoilplank.example/pkg/decision/routing"
)

// benchCustomers returns customers with two keys each, of which north is the last.
func benchCustomers(n int) []routing.Customer {
	var list []routing.Customer
	for i := range n - 1 {
		list = append(list, routing.Customer{Name: fmt.Sprint("customer-", i), Keys: []routing.Digest{
			routing.KeyDigest(fmt.Sprint("key-", i)), routing.KeyDigest(fmt.Sprint("other-key-", i)),
		}})
	}
	return append(list, north())
}

// BenchmarkIdentify measures both checks of the key of a request and the two before it is sent, with 86 customers.
func BenchmarkIdentify(b *testing.B) {
	table := &customerTable{}
	table.set(benchCustomers(86)...)
	checker := customers.New(customers.Options{Table: table.get, KeysAge: func() time.Duration { return 0 }})
	h := http.Header{customers.AuthorizationHeader: {"Bearer " + testKey}}
	b.ReportAllocs()
	for b.Loop() {
		checker.Identify(h, false)
		caller, _ := checker.Identify(h, false)
		if checker.StillHolds(caller).Status+checker.StillHolds(caller).Status != 0 || caller.Name() != testCustomer {
			b.Fatal("key not found")
		}
	}
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRequest measures a whole request through the forwarder to an upstream in this process, with and without customers. The CPU time
// is that of the process, so it depends less on other load on the machine than the time that a request takes.
func BenchmarkRequest(b *testing.B) {
	for _, name := range []string{"without_customers", "with_customers"} {
		b.Run(name, func(b *testing.B) {
			f := newFixture(b, answersAll)
			table := useCustomers(f, nil)
			table.set()
			if name == "with_customers" {
				table.set(benchCustomers(86)...)
			}
			b.ReportAllocs()
			before := cpuTime(b)
			for b.Loop() {
				r := httptest.NewRequest(http.MethodPost, "/idempotent/a", strings.NewReader("body"))
				r.Host, r.RequestURI = testHost, "/idempotent/a"
				r.Header.Set(customers.AuthorizationHeader, "Bearer "+testKey)
				r.Header.Set(testHeaders.RequestID, "r1")
				w := httptest.NewRecorder()
				f.forwarder.ServeHTTP(w, r)
				if body, _ := io.ReadAll(w.Body); w.Code != http.StatusOK {
					b.Fatalf("status %d, %s", w.Code, body)
				}
			}
			b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/op")
		})
	}
}
