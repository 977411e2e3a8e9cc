package dev

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"trefoilplank.example/api"
)

// waitFor polls a batch until it has one of the wanted statuses.
func (d *demo) waitFor(ctx context.Context, key, id string, wanted ...string) (batchObject, error) {
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	var b batchObject
	for {
		if err := d.client.json(ctx, key, http.MethodGet, d.client.node()+"/v1/batches/"+id, nil, nil, &b); err != nil {
			return b, err
		}
		for _, w := range wanted {
			if b.Status == w {
				return b, nil
			}
		}
		select {
		case <-time.After(200 * time.Millisecond):
		case <-ctx.Done():
			return b, fmt.Errorf("batch %s is still %s after %s: %+v", id, b.Status, batchTimeout, b.RequestCounts)
		}
	}
}

// runBatch runs a batch to its end and counts each item's result.
func (d *demo) runBatch(ctx context.Context) (promise, error) {
	p := promise{text: "every accepted batch item completed exactly once"}
	key, model := d.fleet.Ready.Keys["board"], d.fleet.standins.Register.Models[0].Name
	began := time.Now()
	b, err := d.client.submit(ctx, key, "dossier", model, batchItems)
	if err != nil {
		return p, err
	}
	if b, err = d.waitFor(ctx, key, b.ID, "completed", "failed", "expired", "cancelled"); err != nil {
		return p, err
	}
	results, err := d.results(ctx, key, b.OutputFileID)
	if err != nil {
		return p, err
	}
	missing, doubled := 0, 0
	for i := range batchItems {
		switch n := results[fmt.Sprintf("dossier-%d", i)]; {
		case n == 0:
			missing++
		case n > 1:
			doubled++
		}
	}
	p.held = b.Status == "completed" && missing == 0 && doubled == 0 && len(results) == batchItems
	p.detail = fmt.Sprintf("%d items, %d missing, %d doubled, %s", batchItems, missing, doubled, time.Since(began).Round(100*time.Millisecond))
	return p, nil
}

// results counts the output lines by custom id.
func (d *demo) results(ctx context.Context, key, file string) (map[string]int, error) {
	a, err := d.client.do(ctx, key, http.MethodGet, d.client.node()+"/v1/files/"+file+"/content", nil, nil)
	if err != nil {
		return nil, err
	}
	if a.status != http.StatusOK {
		return nil, fmt.Errorf("output of the batch: status %d: %s", a.status, a.body)
	}
	counts := map[string]int{}
	for _, line := range strings.Split(strings.TrimSpace(string(a.body)), "\n") {
		var row struct {
			CustomID string `json:"custom_id"`
			Response struct {
				StatusCode int `json:"status_code"`
			} `json:"response"`
		}
		if err := json.Unmarshal([]byte(line), &row); err != nil {
			return nil, fmt.Errorf("output line %q: %w", line, err)
		}
		if row.Response.StatusCode == http.StatusOK {
			counts[row.CustomID]++
		}
	}
	return counts, nil
}

const (
	// cancelledItems is large enough that the cancelled batch is not done before the cancel.
	cancelledItems = 2000
	// stopTime is how long after the cancelled status no item may start.
	stopTime = time.Second
)

// runCancelledBatch cancels a batch and counts the items that start after it says cancelled.
func (d *demo) runCancelledBatch(ctx context.Context) (promise, error) {
	p := promise{text: "a cancelled batch stops"}
	key, model := d.fleet.Ready.Keys["agencia"], d.fleet.standins.Register.Models[1].Name
	b, err := d.client.submit(ctx, key, "statement", model, cancelledItems)
	if err != nil {
		return p, err
	}
	time.Sleep(demoTime / 6)
	if err := d.client.json(ctx, key, http.MethodPost, d.client.node()+"/v1/batches/"+b.ID+"/cancel", nil, nil, &b); err != nil {
		return p, err
	}
	if b, err = d.waitFor(ctx, key, b.ID, "cancelled"); err != nil {
		return p, err
	}
	stopped := time.Now()
	time.Sleep(stopTime)
	rows, err := d.client.executions(ctx)
	if err != nil {
		return p, err
	}
	started, after := 0, 0
	for _, r := range rows {
		if strings.HasPrefix(r.CustomID, "statement-") {
			started++
			if r.Started.After(stopped) {
				after++
			}
		}
	}
	p.held = after == 0 && started > 0 && started < cancelledItems
	p.detail = fmt.Sprintf("%d of %d items had started, %d started after the answer", started, cancelledItems, after)
	return p, nil
}

// configBound is the time within which an accepted configuration must be in force everywhere.
const configBound = 10 * time.Second

// changeConfiguration applies an edited register and waits until each node has it in force.
func (d *demo) changeConfiguration(ctx context.Context) (promise, error) {
	p := promise{text: "an accepted configuration is in force on every node"}
	time.Sleep(demoTime / 3)
	register := d.fleet.standins.Register
	register.Institutions = append([]api.Institution(nil), register.Institutions...)
	register.Institutions[0].DisplayName += " (edited)"
	body, err := json.Marshal(register)
	if err != nil {
		return p, err
	}
	var accepted struct {
		Version int64 `json:"version"`
	}
	began := time.Now()
	url := d.fleet.Ready.Nodes[len(d.fleet.Ready.Nodes)-1].AdminAddress + "/v1/admin/apply"
	if err := d.client.json(ctx, d.fleet.Ready.OperatorKey, http.MethodPost, url, nil, bytes.TrimSpace(body), &accepted); err != nil {
		return p, err
	}
	for time.Since(began) < configBound {
		lowest := accepted.Version
		for _, n := range d.fleet.nodes {
			lowest = min(lowest, n.Board().Config.Value().Version)
		}
		if lowest >= accepted.Version {
			p.held = true
			break
		}
		time.Sleep(pollInterval)
	}
	p.detail = fmt.Sprintf("version %d after %s, bound %s", accepted.Version, time.Since(began).Round(time.Millisecond), configBound)
	return p, nil
}

const charges = 20

// charge sends non-idempotent calls, each twice under one key, and counts their runs.
func (d *demo) charge(ctx context.Context) (promise, error) {
	p := promise{text: "a non-idempotent request ran at most once"}
	key := d.fleet.Ready.Keys["agencia"]
	service := d.fleet.standins.Register.Callers[1].Grants.Services[0]
	for i := range charges {
		header := http.Header{"Trefoil-Non-Idempotent": {"true"}, "Idempotency-Key": {fmt.Sprintf("charge-%d", i)}}
		for range 2 {
			if _, err := d.client.do(ctx, key, http.MethodPost, d.client.node()+"/v1/services/"+service+"/charge", header, []byte(`{"amount":1}`)); err != nil {
				return p, err
			}
		}
	}
	rows, err := d.client.executions(ctx)
	if err != nil {
		return p, err
	}
	runs := map[string]int{}
	most := 0
	for _, r := range rows {
		if strings.HasPrefix(r.IdempotencyKey, "charge-") {
			runs[r.IdempotencyKey]++
			most = max(most, runs[r.IdempotencyKey])
		}
	}
	p.held = most == 1 && len(runs) == charges
	p.detail = fmt.Sprintf("%d charges sent twice, %d ran, at most %d time(s) each", charges, len(runs), most)
	return p, nil
}
