package scenarios

import (
	"encoding/json"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"trefoilplank.example/api"
)

// editRegister applies change to a register file.
func editRegister(ts *testscript.TestScript, file string, change func(r *api.Register)) {
	var r api.Register
	ts.Check(json.Unmarshal([]byte(ts.ReadFile(file)), &r))
	change(&r)
	data, err := json.Marshal(r)
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs(file), data, 0o600))
}

// repeatCall sends a request a number of times, with a delay after each, and fails unless every answer begins with START:
// repeat TIMES DELAY START KEY METHOD ADDRESS/PATH [BODY] [HEADER: VALUE]...
func repeatCall(ts *testscript.TestScript, _ bool, args []string) {
	times, err := strconv.Atoi(args[0])
	ts.Check(err)
	delay, err := time.ParseDuration(args[1])
	ts.Check(err)
	for i := range times {
		text, err := sendHTTP(args[3], args[4:])
		ts.Check(err)
		if !strings.HasPrefix(text, args[2]) {
			ts.Fatalf("call %d of %d: %s", i+1, times, text)
		}
		time.Sleep(delay)
	}
}

// setVersion adds a version of a model to a register file and makes it the desired one: version FILE MODEL VERSION.
func setVersion(ts *testscript.TestScript, _ bool, args []string) {
	editRegister(ts, args[0], func(r *api.Register) {
		r.Versions = append(r.Versions, api.Version{Model: args[1], Name: args[2], WeightsBytes: 1 << 20})
		for i := range r.Models {
			if r.Models[i].Name == args[1] {
				r.Models[i].Version = args[2]
			}
		}
	})
}

// setAdapter sets an adapter as the only one in a register file and grants it to the callers of its model: adapter FILE
// NAME MODEL VERSION.
func setAdapter(ts *testscript.TestScript, _ bool, args []string) {
	editRegister(ts, args[0], func(r *api.Register) {
		r.Adapters = []api.Adapter{{Name: args[1], Model: args[2], Version: args[3]}}
		for i := range r.Callers {
			g := &r.Callers[i].Grants
			if slices.Contains(g.Models, args[2]) && !slices.Contains(g.Models, args[1]) {
				g.Models = append(g.Models, args[1])
			}
		}
	})
}
