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

// waitForStatus polls a batch until it has one of the wanted statuses.
func (d *demo) waitForStatus(ctx context.Context, key, id string, wanted ...string) (batchObject, error) {
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	var b batchObject
	for {
		if err := d.client.callJSON(ctx, key, http.MethodGet, d.client.nextNode()+"/v1/batches/"+id, nil, nil, &b); err != nil {
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
			return b, fmt.Errorf("batch %s still has status %s after %s, item counts %+v", id, b.Status, batchTimeout, b.RequestCounts)
		}
	}
}

// checkCompletedBatch runs a batch to its end and checks that each item has exactly one result.
func (d *demo) checkCompletedBatch(ctx context.Context) (guarantee, error) {
	g := guarantee{statement: "every accepted batch item completed exactly once"}
	key, model := d.fleet.Ready.Keys["board"], d.fleet.standins.Register.Models[0].Name
	began := time.Now()
	b, err := d.client.submitBatch(ctx, key, "dossier", model, batchItems)
	if err != nil {
		return g, err
	}
	if b, err = d.waitForStatus(ctx, key, b.ID, "completed", "failed", "expired", "cancelled"); err != nil {
		return g, err
	}
	results, err := d.countResults(ctx, key, b.OutputFileID)
	if err != nil {
		return g, err
	}
	missing, duplicated := 0, 0
	for i := range batchItems {
		switch n := results[fmt.Sprintf("dossier-%d", i)]; {
		case n == 0:
			missing++
		case n > 1:
			duplicated++
		}
	}
	g.satisfied = b.Status == "completed" && missing == 0 && duplicated == 0 && len(results) == batchItems
	g.observed = fmt.Sprintf("%d items, %d missing, %d duplicated, took %s", batchItems, missing, duplicated, time.Since(began).Round(100*time.Millisecond))
	return g, nil
}

// countResults counts the successful results in an output file by custom ID.
func (d *demo) countResults(ctx context.Context, key, file string) (map[string]int, error) {
	resp, err := d.client.send(ctx, key, http.MethodGet, d.client.nextNode()+"/v1/files/"+file+"/content", nil, nil)
	if err != nil {
		return nil, err
	}
	if resp.status != http.StatusOK {
		return nil, fmt.Errorf("reading the batch output file: status %d: %s", resp.status, resp.body)
	}
	counts := map[string]int{}
	for _, line := range strings.Split(strings.TrimSpace(string(resp.body)), "\n") {
		var row struct {
			CustomID string `json:"custom_id"`
			Response struct {
				StatusCode int `json:"status_code"`
			} `json:"response"`
		}
		if err := json.Unmarshal([]byte(line), &row); err != nil {
			return nil, fmt.Errorf("decoding the batch output line %q: %w", line, err)
		}
		if row.Response.StatusCode == http.StatusOK {
			counts[row.CustomID]++
		}
	}
	return counts, nil
}

const (
	// cancelledItems is large enough that the batch is not completed before it is cancelled.
	cancelledItems = 2000
	// lateStartWindow is how long the demo watches for items that start after the batch has the status cancelled.
	lateStartWindow = time.Second
)

// checkCancelledBatch cancels a running batch and checks that no item starts once its status is cancelled.
func (d *demo) checkCancelledBatch(ctx context.Context) (guarantee, error) {
	g := guarantee{statement: "a cancelled batch starts no more items"}
	key, model := d.fleet.Ready.Keys["agencia"], d.fleet.standins.Register.Models[1].Name
	b, err := d.client.submitBatch(ctx, key, "statement", model, cancelledItems)
	if err != nil {
		return g, err
	}
	time.Sleep(demoDuration / 6)
	if err := d.client.callJSON(ctx, key, http.MethodPost, d.client.nextNode()+"/v1/batches/"+b.ID+"/cancel", nil, nil, &b); err != nil {
		return g, err
	}
	if b, err = d.waitForStatus(ctx, key, b.ID, "cancelled"); err != nil {
		return g, err
	}
	cancelledAt := time.Now()
	time.Sleep(lateStartWindow)
	rows, err := d.client.executions(ctx)
	if err != nil {
		return g, err
	}
	started, startedAfter := 0, 0
	for _, r := range rows {
		if strings.HasPrefix(r.CustomID, "statement-") {
			started++
			if r.Started.After(cancelledAt) {
				startedAfter++
			}
		}
	}
	g.satisfied = startedAfter == 0 && started > 0 && started < cancelledItems
	g.observed = fmt.Sprintf("%d of %d items started, %d of them after the batch was cancelled", started, cancelledItems, startedAfter)
	return g, nil
}

// configurationTimeout is the time within which an accepted configuration must be in force on every node.
const configurationTimeout = 10 * time.Second

// checkConfigurationChange applies an edited register and checks that it comes into force on every node in time.
func (d *demo) checkConfigurationChange(ctx context.Context) (guarantee, error) {
	g := guarantee{statement: "an accepted configuration is in force on every node"}
	time.Sleep(demoDuration / 3)
	register := d.fleet.standins.Register
	register.Institutions = append([]api.Institution(nil), register.Institutions...)
	register.Institutions[0].DisplayName += " (edited)"
	body, err := json.Marshal(register)
	if err != nil {
		return g, err
	}
	var accepted struct {
		Version int64 `json:"version"`
	}
	began := time.Now()
	url := d.fleet.Ready.Nodes[len(d.fleet.Ready.Nodes)-1].AdminAddress + "/v1/admin/apply"
	if err := d.client.callJSON(ctx, d.fleet.Ready.OperatorKey, http.MethodPost, url, nil, bytes.TrimSpace(body), &accepted); err != nil {
		return g, err
	}
	for time.Since(began) < configurationTimeout {
		lowestVersion := accepted.Version
		for _, n := range d.fleet.nodes {
			lowestVersion = min(lowestVersion, n.Board().Config.Value().Version)
		}
		if lowestVersion >= accepted.Version {
			g.satisfied = true
			break
		}
		time.Sleep(pollInterval)
	}
	g.observed = fmt.Sprintf("version %d after %s, limit %s", accepted.Version, time.Since(began).Round(time.Millisecond), configurationTimeout)
	return g, nil
}

// chargeCalls is the number of different non-idempotent requests that the demo sends.
const chargeCalls = 20

// checkAtMostOnce sends each non-idempotent request twice with the same idempotency key and checks that it runs once.
func (d *demo) checkAtMostOnce(ctx context.Context) (guarantee, error) {
	g := guarantee{statement: "a non-idempotent request ran at most once"}
	key := d.fleet.Ready.Keys["agencia"]
	service := d.fleet.standins.Register.Callers[1].Grants.Services[0]
	for i := range chargeCalls {
		header := http.Header{"Trefoil-Non-Idempotent": {"true"}, "Idempotency-Key": {fmt.Sprintf("charge-%d", i)}}
		for range 2 {
			if _, err := d.client.send(ctx, key, http.MethodPost, d.client.nextNode()+"/v1/services/"+service+"/charge", header, []byte(`{"amount":1}`)); err != nil {
				return g, err
			}
		}
	}
	rows, err := d.client.executions(ctx)
	if err != nil {
		return g, err
	}
	runs := map[string]int{}
	maxRuns := 0
	for _, r := range rows {
		if strings.HasPrefix(r.IdempotencyKey, "charge-") {
			runs[r.IdempotencyKey]++
			maxRuns = max(maxRuns, runs[r.IdempotencyKey])
		}
	}
	g.satisfied = maxRuns == 1 && len(runs) == chargeCalls
	g.observed = fmt.Sprintf("%d requests sent twice each, %d of them ran, at most %d time(s) each", chargeCalls, len(runs), maxRuns)
	return g, nil
}
