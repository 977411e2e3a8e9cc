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
	decision "trefoilplank.example/pkg/decision/drain"
	"trefoilplank.example/pkg/serving"
)

// modelObject is the model object of the OpenAI API.
type modelObject struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	// Created is required by the OpenAI API. The register holds no creation time, so it is always 0.
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// grantedModels returns the models and adapters that the caller is granted.
func (g *Gateway) grantedModels(r *http.Request) []modelObject {
	identity, _ := serving.IdentityFrom(r.Context())
	list := []modelObject{}
	register := g.Board.Config.Value().Register
	for _, m := range register.Models {
		if identity.MayUseModel(m.Name) {
			list = append(list, modelObject{ID: m.Name, Object: "model", OwnedBy: "trefoilplank"})
		}
	}
	for _, a := range register.Adapters {
		if identity.MayUseModel(a.Name) {
			list = append(list, modelObject{ID: a.Name, Object: "model", OwnedBy: a.Model})
		}
	}
	return list
}

// models lists the models and adapters that the caller is granted.
func (g *Gateway) models(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, map[string]any{"object": "list", "data": g.grantedModels(r)})
}

// model returns one model or adapter that the caller is granted.
func (g *Gateway) model(w http.ResponseWriter, r *http.Request) {
	list, name := g.grantedModels(r), r.PathValue("name")
	i := slices.IndexFunc(list, func(m modelObject) bool { return m.ID == name })
	if i < 0 {
		refuseUnread(w, r, api.Errorf(http.StatusNotFound, api.CodeNotFound, api.NotRun, "no model %q is granted", name))
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

// addresses lists the nodes that the caller should use, nearest first.
func (g *Gateway) addresses(w http.ResponseWriter, r *http.Request) {
	// A draining node keeps listening until the address answers that name it have expired. The expiry is stored
	// before Draining is read, so that a drain that begins in between is either seen here or sees the new expiry.
	g.addressesValidUntil.Store(time.Now().Add(g.AddressTTL).UnixNano())
	members := g.Board.Members.Value()
	live := maps.Clone(members.Live)
	self := live[members.Self]
	if g.Board.Draining.Value() {
		// The member list may not yet show that this node is draining.
		delete(live, members.Self)
	}
	answer := addressAnswer{
		Addresses: []nodeAddress{}, TTLSeconds: int(g.AddressTTL / time.Second),
		Version: g.Board.Config.Value().Version,
	}
	for _, m := range address.SelectNodes(address.Query{
		AvailabilityZone: r.URL.Query().Get("availability_zone"), Region: self.Region, Members: live,
		VMs: g.Board.VMs.Value(), Load: g.MemberLoad, Random: g.Random,
	}) {
		answer.Addresses = append(answer.Addresses, nodeAddress{m.Address, m.AvailabilityZone})
	}
	writeJSON(w, answer)
}

func (g *Gateway) inference(w http.ResponseWriter, r *http.Request) {
	rs, err := g.parseInference(w, r)
	if err != nil {
		refuseUnread(w, r, err)
		return
	}
	g.limitAndRun(w, r, rs)
}

func (g *Gateway) service(w http.ResponseWriter, r *http.Request) {
	rs, err := g.parseServiceCall(w, r)
	if err != nil {
		refuseUnread(w, r, err)
		return
	}
	g.limitAndRun(w, r, rs)
}

// limitAndRun checks the institution's limits, runs the request and answers.
func (g *Gateway) limitAndRun(w http.ResponseWriter, r *http.Request, rs *requestState) {
	if !g.admitDuringDrain(rs) {
		g.explainDecision(rs, "", "refuse", "the node drains and would end the request before its deadline", nil)
		WriteError(w, r, errStopping())
		return
	}
	leave, err := g.applyLimits(r.Context(), rs.req.Institution)
	if err != nil {
		g.explainDecision(rs, "", "refuse", err.Error(), map[string]any{"institution": rs.req.Institution})
		WriteError(w, r, err)
		return
	}
	defer leave()
	ctx, stop := rs.withDeadline(r.Context())
	defer stop()
	if rs.call.IdempotencyKey != "" && g.Idempotency != nil {
		g.serveKeyed(ctx, w, r, rs)
		return
	}
	g.runAndAnswer(ctx, w, r, rs)
}

// admitDuringDrain reports whether the node accepts the request. A draining node may have to end one that is accepted for its usual duration
// only; of a request that can't be repeated the outcome would then be unknown, while other nodes can still run it.
func (g *Gateway) admitDuringDrain(rs *requestState) bool {
	switch g.DrainPlan().Admit(time.Now(), rs.req.Deadline, 0) {
	case decision.Whole:
		return true
	case decision.Usual:
		return rs.repeatable
	}
	return false
}

// runAndAnswer runs the request, writes the answer, and returns the result.
func (g *Gateway) runAndAnswer(ctx context.Context, w http.ResponseWriter, r *http.Request, rs *requestState) (*serving.Result, error) {
	if rs.stream {
		rs.events = newEventWriter(w, g.StallTimeout)
	}
	arrived := time.Now()
	res, err := g.execute(ctx, rs)
	g.observeObjectives(ctx, rs, res, err, arrived)
	if err != nil {
		g.withdrawClaim(ctx, rs, err)
	}
	g.writeAnswer(w, r, rs, res, err)
	return res, err
}

// applyLimits counts the request against the institution's limits; leave must be called when the request ends.
func (g *Gateway) applyLimits(ctx context.Context, institution string) (leave func(), err error) {
	if g.Limiter == nil {
		return func() {}, nil
	}
	if err := g.Limiter.TakeToken(ctx, institution); err != nil {
		return nil, err
	}
	return g.Limiter.Enter(ctx, institution)
}

// writeAnswer writes the result of a request, or the rest of it if it was streamed.
func (g *Gateway) writeAnswer(w http.ResponseWriter, r *http.Request, rs *requestState, res *serving.Result, err error) {
	switch {
	case err != nil && rs.stream && rs.events.started():
		rs.events.writeError(r, err)
	case err != nil:
		WriteError(w, r, err)
	case rs.stream && res.Status == http.StatusOK:
		rs.events.writeDone()
	case rs.isInference() && res.Status >= 300:
		WriteError(w, r, engineError(res))
	default:
		writeResult(w, rs.call.Method, res)
	}
}

// engineError returns the public API's error for an error answer of an engine.
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

// maxMessageBytes bounds the part of an engine's error body that is quoted to the caller.
const maxMessageBytes = 1000

// engineMessage returns the message of an error body in the form of the OpenAI API, or the start of any other body.
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

// writeResult writes the complete answer of an upstream to the caller.
func writeResult(w http.ResponseWriter, method string, res *serving.Result) {
	copyForwarded(w.Header(), res.Header)
	switch {
	case res.Status == http.StatusBadGateway || res.Status == http.StatusGatewayTimeout:
		// With these statuses the service itself says that it does not know the outcome.
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

// errCallerGone ends a stream when a write to its caller fails.
var errCallerGone = errors.New("the caller has gone")
