package bench

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// SlotUse is how the slots of stand-in engines were used in a span of time.
type SlotUse struct {
	// Total, Online and Batch are in slot seconds: of all slots, used or not, of online runs and of batch runs.
	Total  float64 `json:"slot_seconds"`
	Online float64 `json:"online_slot_seconds"`
	Batch  float64 `json:"batch_slot_seconds"`
	// Kept is the part of Batch whose work was not discarded: runs that finished, still ran at the end of the span, or
	// were resumed later.
	Kept float64 `json:"kept_slot_seconds"`
	// Finished counts batch items that finished in the span, and Cancelled counts batch runs that were cancelled or
	// crashed in it.
	Finished  int     `json:"finished_items"`
	Cancelled int     `json:"cancelled_runs"`
	Seconds   float64 `json:"seconds"`
}

func (u *SlotUse) add(o SlotUse) {
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

// importSuffix ends the request id of a run that resumes from an exported state.
const importSuffix = "-import"

// sumUse sums up the use of the slots of one or more engines between two times from the rows of their executions. slots
// is the number of slots of all these engines. Rows with a custom id are batch runs.
func sumUse(rows []execution, slots int, from, to time.Time) SlotUse {
	u := SlotUse{Total: float64(slots) * to.Sub(from).Seconds(), Seconds: to.Sub(from).Seconds()}
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
		slotSeconds := max(0, end.Sub(start).Seconds())
		if r.CustomID == "" {
			u.Online += slotSeconds
			continue
		}
		u.Batch += slotSeconds
		discarded := ended && (r.Cancelled || r.Crashed)
		if !discarded || resumed[strings.TrimSuffix(r.RequestID, importSuffix)] {
			u.Kept += slotSeconds
		}
		switch {
		case !ended || r.Finished.Before(from):
		case discarded:
			u.Cancelled++
		default:
			u.Finished++
		}
	}
	return u
}

// measureUse reads the executions and the number of slots of each engine and returns their use between two times.
func measureUse(ctx context.Context, engines []string, from, to time.Time) (SlotUse, error) {
	var rows []execution
	slots := 0
	for _, address := range engines {
		var own []execution
		var load struct {
			Slots int `json:"slots"`
		}
		if err := getJSON(ctx, address, "/standin/executions", &own); err != nil {
			return SlotUse{}, err
		}
		if err := getJSON(ctx, address, "/load", &load); err != nil {
			return SlotUse{}, err
		}
		rows = append(rows, own...)
		slots += load.Slots
	}
	return sumUse(rows, slots, from, to), nil
}

// getJSON decodes the JSON that an engine serves at path into v.
func getJSON(ctx context.Context, address, path string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return Error.New("GET %s of %s: status %d", path, address, answer.StatusCode)
	}
	return json.NewDecoder(answer.Body).Decode(v)
}
