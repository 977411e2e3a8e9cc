package batch

import (
	"context"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/batch/faultstore"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/serving"
)

// benchCalls reports the store calls per item of one job, from its submission to its end, in virtual time. answer is the
// run time of one item.
func benchCalls(b *testing.B, items, nodes, slots int, answer time.Duration) {
	var reads, writes int64
	var took time.Duration
	for range b.N {
		t := &testing.T{}
		done := make(chan struct{})
		go func() {
			defer close(done)
			synctest.Test(t, func(t *testing.T) {
				s := &faultstore.Store{Store: memstore.New()}
				invoker := &fakeInvoker{answer: answerAfter(answer)}
				var fleet []*testNode
				for n := range nodes {
					fleet = append(fleet, startNode(t, s, fmt.Sprint("node-", n), invoker, slots, nil))
				}
				members := blackboard.Members{Live: map[string]blackboard.Member{}}
				for _, n := range fleet {
					members.Live[n.Node] = blackboard.Member{Name: n.Node}
				}
				for _, n := range fleet {
					n.board.Members.Set(members)
				}
				// The polls for the end of the job are reads of the caller and are subtracted.
				polls := int64(0)
				start, startWrites := s.Reads(), s.Writes()
				job := fleet[0].submit(t, fleet[0].upload(t, chatFile(items)))
				started := time.Now()
				for {
					before := s.Reads()
					o := fleet[0].getBatch(t, job)
					polls += s.Reads() - before
					if o.Status == "completed" {
						break
					}
					time.Sleep(time.Second)
				}
				took = time.Since(started)
				reads, writes = s.Reads()-start-polls, s.Writes()-startWrites
				for _, n := range fleet {
					n.close()
				}
			})
		}()
		<-done
	}
	b.ReportMetric(float64(writes)/float64(items), "writes/item")
	b.ReportMetric(float64(reads)/float64(items), "reads/item")
	b.ReportMetric(float64(items)*answer.Seconds()/float64(nodes*slots)/took.Seconds(), "slot-use")
}

// BenchmarkStoreCalls reports the store calls per item for jobs of several sizes on 8 nodes with 16 slots each.
func BenchmarkStoreCalls(b *testing.B) {
	for _, items := range []int{20, 1000, 100_000} {
		b.Run(fmt.Sprint(items), func(b *testing.B) { benchCalls(b, items, 8, 16, time.Second) })
	}
}

// BenchmarkStoreCallsSlow runs at the rate of the two-year target, about 0.5 items/s per node.
func BenchmarkStoreCallsSlow(b *testing.B) { benchCalls(b, 20_000, 40, 2, 4*time.Second) }

// spillStore keeps values above 1 KB in a file, so that memory figures don't include the stored data.
type spillStore struct {
	store.Store
	file *os.File
	end  atomic.Int64
}

func (s *spillStore) Put(ctx context.Context, key string, value []byte, expect int64) (int64, error) {
	if len(value) > 1024 {
		at := s.end.Add(int64(len(value))) - int64(len(value))
		if _, err := s.file.WriteAt(value, at); err != nil {
			return 0, err
		}
		value = fmt.Appendf(nil, "spilled %d %d", at, len(value))
	}
	return s.Store.Put(ctx, key, value, expect)
}

func (s *spillStore) load(o *store.Object) {
	var at int64
	var n int
	if c, err := fmt.Sscanf(string(o.Value), "spilled %d %d", &at, &n); err == nil && c == 2 {
		o.Value = make([]byte, n)
		_, _ = s.file.ReadAt(o.Value, at)
	}
}

func (s *spillStore) Get(ctx context.Context, key string) (store.Object, error) {
	o, err := s.Store.Get(ctx, key)
	s.load(&o)
	return o, err
}

func (s *spillStore) List(ctx context.Context, prefix, after string, limit int) (store.Page, error) {
	p, err := s.Store.List(ctx, prefix, after, limit)
	for i := range p.Objects {
		s.load(&p.Objects[i])
	}
	return p, err
}

// generatedFile is an input file whose lines are generated while it is read.
type generatedFile struct {
	next, items int
	rest        []byte
}

func (g *generatedFile) Read(b []byte) (int, error) {
	for len(g.rest) == 0 {
		if g.next == g.items {
			return 0, io.EOF
		}
		g.rest = append(g.rest, chatLine(fmt.Sprint("item-", g.next), fmt.Sprintf(`,"headers":{"Pad":"%0512d"}`, g.next))+"\n"...)
		g.next++
	}
	n := copy(b, g.rest)
	g.rest = g.rest[n:]
	return n, nil
}

// countingWriter is a response writer that counts the bytes of the body and discards them.
type countingWriter struct {
	header http.Header
	bytes  int64
}

func (d *countingWriter) Header() http.Header { return d.header }
func (d *countingWriter) WriteHeader(int)     {}
func (d *countingWriter) Write(b []byte) (int, error) {
	d.bytes += int64(len(b))
	return len(b), nil
}

// samplePeakMemory samples the memory in use until stop is called. stop returns the largest sample minus base, in MB.
func samplePeakMemory(base uint64) (stop func() float64) {
	var most atomic.Uint64
	end := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			most.Store(max(most.Load(), m.HeapInuse+m.StackInuse))
			select {
			case <-end:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	})
	return func() float64 {
		close(end)
		group.Wait()
		return float64(most.Load()-min(base, most.Load())) / (1 << 20)
	}
}

// instantInvoker answers each call at once and records nothing.
type instantInvoker struct{ *fakeInvoker }

func (instantInvoker) Do(_ context.Context, _ api.Upstream, c serving.Call) (*serving.Result, error) {
	return &serving.Result{Status: http.StatusOK, Body: []byte(`{"text":"` + c.CustomID + `"}`)}, nil
}

// writeUploadForm writes an upload form with content to w in the background and returns its content type.
func writeUploadForm(w *io.PipeWriter, content io.Reader) string {
	form := multipart.NewWriter(w)
	go func() {
		_ = form.WriteField("purpose", "batch")
		part, _ := form.CreateFormFile("file", "in.jsonl")
		_, err := io.Copy(part, content)
		_ = form.Close()
		w.CloseWithError(err)
	}()
	return form.FormDataContentType()
}

// BenchmarkMemory530000 uploads, runs and downloads a job of 530,000 items of about 700 bytes on one node. The memory
// figures include garbage that was not yet collected.
func BenchmarkMemory530000(b *testing.B) {
	const items = 530_000
	for range b.N {
		file, err := os.CreateTemp(b.TempDir(), "values")
		if err != nil {
			b.Fatal(err)
		}
		s := &spillStore{Store: memstore.New(), file: file}
		t := &testing.T{}
		n := startNode(t, s, "a", instantInvoker{}, 16, nil)
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		base := m.HeapInuse + m.StackInuse

		stop := samplePeakMemory(base)
		started := time.Now()
		r, w := io.Pipe()
		form := writeUploadForm(w, &generatedFile{items: items})
		request := httptest.NewRequest(http.MethodPost, "/v1/files", r)
		request.Header.Set("Content-Type", form)
		id := decode(t, n.serve(request), http.StatusOK).ID
		b.ReportMetric(stop(), "upload-MB")
		b.ReportMetric(time.Since(started).Seconds(), "upload-s")

		stop = samplePeakMemory(base)
		started = time.Now()
		o := n.await(t, n.submit(t, id), time.Hour)
		b.ReportMetric(stop(), "run-MB")
		b.ReportMetric(time.Since(started).Seconds(), "run-s")
		if o.Counts.Completed != items {
			b.Fatalf("%+v", o)
		}

		stop = samplePeakMemory(base)
		out := &countingWriter{header: http.Header{}}
		get := httptest.NewRequest(http.MethodGet, "/v1/files/"+o.OutputFileID+"/content", nil)
		n.Handler().ServeHTTP(out, get.WithContext(serving.WithIdentity(get.Context(), testIdentity)))
		b.ReportMetric(stop(), "download-MB")
		b.ReportMetric(float64(out.bytes)/(1<<20), "output-MB")
		n.close()
	}
}
