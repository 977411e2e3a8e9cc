package bench

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// Use is what the slots of stand-in engines did in a span of time.
type Use struct {
	// Total, Online and Batch are slot seconds: of all slots, of online runs and of batch runs.
	Total  float64 `json:"slot_seconds"`
	Online float64 `json:"online_slot_seconds"`
	Batch  float64 `json:"batch_slot_seconds"`
	// Kept is the part of Batch that was not thrown away: runs that finished, still went on, or were resumed later.
	Kept float64 `json:"kept_slot_seconds"`
	// Finished counts batch items that finished in the span, Cancelled batch runs that were ended early in it.
	Finished  int     `json:"finished_items"`
	Cancelled int     `json:"cancelled_runs"`
	Seconds   float64 `json:"seconds"`
}

func (u *Use) add(o Use) {
	u.Total, u.Online, u.Batch, u.Kept = u.Total+o.Total, u.Online+o.Online, u.Batch+o.Batch, u.Kept+o.Kept
	u.Finished, u.Cancelled, u.Seconds = u.Finished+o.Finished, u.Cancelled+o.Cancelled, u.Seconds+o.Seconds
}

// execution is one row of `GET /standin/executions`.
type execution struct {
	RequestID string     `json:"request_id"`
	CustomID  string     `json:"custom_id"`
	Started   time.Time  `json:"started"`
	Finished  *time.Time `json:"finished"`
	Cancelled bool       `json:"cancelled"`
	Crashed   bool       `json:"crashed"`
}

// importSuffix ends the request id of a run that goes on from an exported state.
const importSuffix = "-import"

// spanUse sums up the rows of one or more engines with the given number of slots between two times. Rows with a custom
// id are batch runs.
func spanUse(rows []execution, slots int, from, to time.Time) Use {
	u := Use{Total: float64(slots) * to.Sub(from).Seconds(), Seconds: to.Sub(from).Seconds()}
	resumed := map[string]bool{}
	for _, r := range rows {
		if id, ok := strings.CutSuffix(r.RequestID, importSuffix); ok {
			resumed[id] = true
		}
	}
	for _, r := range rows {
		end := to
		ended := r.Finished != nil && !r.Finished.After(to)
		if ended {
			end = *r.Finished
		}
		start := r.Started
		if start.Before(from) {
			start = from
		}
		held := max(0, end.Sub(start).Seconds())
		if r.CustomID == "" {
			u.Online += held
			continue
		}
		u.Batch += held
		lost := ended && (r.Cancelled || r.Crashed)
		if !lost || resumed[strings.TrimSuffix(r.RequestID, importSuffix)] {
			u.Kept += held
		}
		switch {
		case !ended || r.Finished.Before(from):
		case lost:
			u.Cancelled++
		default:
			u.Finished++
		}
	}
	return u
}

// measure returns the use of all engines between two times.
func measure(ctx context.Context, engines []string, from, to time.Time) (Use, error) {
	var rows []execution
	slots := 0
	for _, address := range engines {
		var own []execution
		var load struct {
			Slots int `json:"slots"`
		}
		if err := get(ctx, address, "/standin/executions", &own); err != nil {
			return Use{}, err
		}
		if err := get(ctx, address, "/load", &load); err != nil {
			return Use{}, err
		}
		rows = append(rows, own...)
		slots += load.Slots
	}
	return spanUse(rows, slots, from, to), nil
}

func get(ctx context.Context, address, path string, v any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return Error.New("GET %s of %s: status %d", path, address, answer.StatusCode)
	}
	return json.NewDecoder(answer.Body).Decode(v)
}
