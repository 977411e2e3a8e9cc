package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"slices"
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/decision/address"
	"trefoilplank.example/pkg/serving"
)

// modelObject is the OpenAI model object.
type modelObject struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	// Created is a required field of the OpenAI API. The register holds no such time, so it is always 0.
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// granted returns the models and adapters that the caller may use.
func (g *Gateway) granted(r *http.Request) []modelObject {
	who, _ := serving.IdentityFrom(r.Context())
	list := []modelObject{}
	register := g.Board.Config.Value().Register
	for _, m := range register.Models {
		if who.MayUseModel(m.Name) {
			list = append(list, modelObject{ID: m.Name, Object: "model", OwnedBy: "trefoilplank"})
		}
	}
	for _, a := range register.Adapters {
		if who.MayUseModel(a.Name) {
			list = append(list, modelObject{ID: a.Name, Object: "model", OwnedBy: a.Model})
		}
	}
	return list
}

// models lists the models and adapters that the caller is granted.
func (g *Gateway) models(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, map[string]any{"object": "list", "data": g.granted(r)})
}

// model shows one model or adapter that the caller is granted.
func (g *Gateway) model(w http.ResponseWriter, r *http.Request) {
	list, name := g.granted(r), r.PathValue("name")
	i := slices.IndexFunc(list, func(m modelObject) bool { return m.ID == name })
	if i < 0 {
		refuse(w, r, api.Errorf(http.StatusNotFound, api.CodeNotFound, api.NotRun, "no model %q is granted", name))
		return
	}
	writeJSON(w, list[i])
}

// addressAnswer is the body of GET /v1/addresses.
type addressAnswer struct {
	Addresses  []nodeAddress `json:"addresses"`
	TTLSeconds int           `json:"ttl_seconds"`
	Version    int64         `json:"version"`
}

type nodeAddress struct {
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability_zone"`
}

func (g *Gateway) addresses(w http.ResponseWriter, r *http.Request) {
	// A node that drains waits for the answers that name it. The time is stored before the look at Draining, so
	// that a drain that begins in between either is seen here or sees the time.
	g.answersUntil.Store(time.Now().Add(g.AddressTTL).UnixNano())
	members := g.Board.Members.Value()
	live := maps.Clone(members.Live)
	self := live[members.Self]
	if g.Board.Draining.Value() {
		// The member list may not show the own drain yet.
		delete(live, members.Self)
	}
	answer := addressAnswer{
		Addresses: []nodeAddress{}, TTLSeconds: int(g.AddressTTL / time.Second),
		Version: g.Board.Config.Value().Version,
	}
	for _, m := range address.Decide(address.Question{
		AvailabilityZone: r.URL.Query().Get("availability_zone"), Region: self.Region, Members: live,
		VMs: g.Board.VMs.Value(), Load: g.MemberLoad, Random: g.Random,
	}) {
		answer.Addresses = append(answer.Addresses, nodeAddress{m.Address, m.AvailabilityZone})
	}
	writeJSON(w, answer)
}

func (g *Gateway) inference(w http.ResponseWriter, r *http.Request) {
	j, err := g.inferenceJob(w, r)
	if err != nil {
		refuse(w, r, err)
		return
	}
	g.serve(w, r, j)
}

func (g *Gateway) service(w http.ResponseWriter, r *http.Request) {
	j, err := g.serviceJob(w, r)
	if err != nil {
		refuse(w, r, err)
		return
	}
	g.serve(w, r, j)
}

// serve takes the institution's limits, runs the job and answers.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, j *job) {
	leave, err := g.enter(r.Context(), j.req.Institution)
	if err != nil {
		g.record(j, "", "refuse", err.Error(), map[string]any{"institution": j.req.Institution})
		WriteError(w, r, err)
		return
	}
	defer leave()
	ctx, stop := j.deadline(r.Context())
	defer stop()
	if j.call.IdempotencyKey != "" && g.Idempotency != nil {
		g.serveKeyed(ctx, w, r, j)
		return
	}
	g.runAndAnswer(ctx, w, r, j)
}

// runAndAnswer runs the job, answers, and returns the result.
func (g *Gateway) runAndAnswer(ctx context.Context, w http.ResponseWriter, r *http.Request, j *job) (*serving.Result, error) {
	if j.stream {
		j.events = newEventWriter(w, g.StallTimeout)
	}
	arrived := time.Now()
	res, err := g.execute(ctx, j)
	g.observe(ctx, j, res, err, arrived)
	if err != nil {
		g.withdraw(ctx, j, err)
	}
	g.answer(w, r, j, res, err)
	return res, err
}

// enter books the request against the institution's limits.
func (g *Gateway) enter(ctx context.Context, institution string) (leave func(), err error) {
	if g.Limiter == nil {
		return func() {}, nil
	}
	if err := g.Limiter.Take(ctx, institution); err != nil {
		return nil, err
	}
	return g.Limiter.Enter(ctx, institution)
}

// answer writes the result of a job that is not yet written.
func (g *Gateway) answer(w http.ResponseWriter, r *http.Request, j *job, res *serving.Result, err error) {
	switch {
	case err != nil && j.stream && j.events.started():
		j.events.fail(r, err)
	case err != nil:
		WriteError(w, r, err)
	case j.stream && res.Status == http.StatusOK:
		j.events.finish()
	case j.engine() && res.Status >= 300:
		WriteError(w, r, engineError(res))
	default:
		writeResult(w, j.call.Method, res)
	}
}

// engineError turns an engine's own refusal into an error of the contract.
func engineError(res *serving.Result) error {
	status, code := res.Status, api.CodeInvalid
	switch {
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		status, code = http.StatusServiceUnavailable, api.CodeNoCapacity
	case status >= 500 || status < 400:
		status, code = http.StatusBadGateway, api.CodeUpstream
	case status == http.StatusBadRequest:
		code = api.CodeMalformed
	case status == http.StatusNotFound:
		code = api.CodeNotFound
	case status == http.StatusRequestEntityTooLarge:
		code = api.CodeTooLarge
	}
	e := api.Errorf(status, code, api.Failed, "the engine answered %d: %s", res.Status, engineMessage(res.Body))
	if status >= 500 {
		e.RetryAfter = retryAfter
	}
	return e
}

// maxMessageBytes bounds the part of an engine's error body that is passed on.
const maxMessageBytes = 1000

func engineMessage(body []byte) string {
	var known struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &known) == nil && known.Error.Message != "" {
		return known.Error.Message
	}
	return string(bytes.ToValidUTF8(body[:min(len(body), maxMessageBytes)], nil))
}

// writeResult passes an upstream's whole answer on.
func writeResult(w http.ResponseWriter, method string, res *serving.Result) {
	copyHeader(w.Header(), res.Header)
	switch {
	case res.Status == http.StatusBadGateway || res.Status == http.StatusGatewayTimeout:
		// The service passes on that it does not know itself.
		w.Header().Set(api.HeaderOutcome, string(api.Unknown))
	case res.Status >= 300:
		w.Header().Set(api.HeaderOutcome, string(api.Failed))
	}
	switch {
	case method == http.MethodHead:
		if length := res.Header.Get("Content-Length"); length != "" {
			w.Header().Set("Content-Length", length)
		}
	case res.Status != http.StatusNoContent && res.Status != http.StatusNotModified:
		w.Header().Set("Content-Length", itoa(len(res.Body)))
	}
	w.WriteHeader(res.Status)
	_, _ = w.Write(res.Body)
}

// errCallerGone ends a stream whose caller can't be written to.
var errCallerGone = errors.New("the caller has gone")
