package ctl

import (
	"encoding/json"
	"fmt"

	"trefoilplank.example/pkg/version"
)

// Long descriptions of the commands. Text from a line that starts with "Example" to the end is printed unwrapped.
const (
	topHelp = `trefoilctl operates a Trefoilplank fleet and submits batch jobs to it.

Every flag of the global options can be set by an environment variable TREFOILCTL_<FLAG>, such as
TREFOILCTL_KEY. Exit status: 0 done, 1 refused or failed, 2 wrong usage.

Examples:
  trefoilctl --server 10.0.0.5:18081 status
  trefoilctl diff -f rules.yaml && trefoilctl apply -f rules.yaml --if-match 7
  trefoilctl explain request mu-3-01JD8Z4M0H7T6B1K5Q2W9XYZAB`

	completionHelp = `Prints a script that completes commands, flags and fixed words.

Example:
  source <(trefoilctl completion bash)`

	applyHelp = `Checks all documents and accepts all of them or none. A change that got no answer is sent again with the
same idempotency key, so that it is made once.

Examples:
  trefoilctl apply -f register.yaml -f rules.yaml
  trefoilctl apply -f rules.yaml --if-match 7 --dry-run
  trefoilctl get rules | edit | trefoilctl apply -f -`

	diffHelp = `Checks documents against the configuration in force and shows what they would change, per object:
+ added, - removed, ~ changed with its fields.

Example:
  trefoilctl diff -f register.yaml`

	getHelp = `Prints a document in force, in a form that can be edited and applied again. The version goes to
standard error.

Example:
  trefoilctl get register --yaml > register.yaml`

	statusHelp = `Shows problems first, each with its cause, since when, what the system does about it and what an operator
can do; then nodes with the version in force, institutions, models, upstreams and jobs.

Examples:
  trefoilctl status
  trefoilctl status --exit-code || page-someone`

	explainHelp = `Shows the decisions about one subject in order of time, with the reason and the values of each.

Examples:
  trefoilctl explain request mu-3-01JD8Z4M0H7T6B1K5Q2W9XYZAB
  trefoilctl explain upstream engine-7 --json
  trefoilctl explain member mu-3
  trefoilctl explain configuration 42`

	drainHelp = `Makes the node at --server leave: it is no longer given to callers, and stops once what is in
progress is done, for which it waits for its --drain-timeout at most.

Example:
  trefoilctl --server 10.0.0.5:18081 drain`

	addressesHelp = `Shows the addresses that a caller is given, nearest first. Needs --caller-key.

Example:
  trefoilctl addresses --availability-zone triolet`

	submitHelp = `Uploads a file with one request a line and starts a job on it. Needs --caller-key.

Examples:
  trefoilctl job submit lines.jsonl --completion-window 48h
  trefoilctl job submit lines.jsonl --wait`

	listHelp = `Lists the jobs of the caller's institution, newest first. Needs --caller-key.

Example:
  trefoilctl job list --json`

	showHelp = `Shows the state and the counts of a job. Needs --caller-key.

Example:
  trefoilctl job show batch_01JD8Z4M0H7T6B1K5Q2W9XYZAB`

	cancelHelp = `Cancels a job: it begins no more items, and items that run are cancelled. Needs --caller-key.

Example:
  trefoilctl job cancel batch_01JD8Z4M0H7T6B1K5Q2W9XYZAB`

	resultsHelp = `Writes the completed items of a job, one JSON object a line.

Examples:
  trefoilctl job results batch_01JD8Z4M0H7T6B1K5Q2W9XYZAB -o out.jsonl
  trefoilctl job results batch_01JD8Z4M0H7T6B1K5Q2W9XYZAB --errors`

	burnHelp = `Shows, for each institution and objective, how fast the error budget is spent over 5 m, 1 h, 6 h and 3 d.
At burn 1 the budget lasts exactly its period.

Examples:
  trefoilctl report burn
  trefoilctl report burn --html reports/

The pages hold figures and plots themselves and load nothing.`
)

// printVersion prints the version of trefoilctl, and with --json the details of the build.
func printVersion(a *app) error {
	if a.JSON {
		b, err := json.Marshal(version.Read())
		if err != nil {
			return err
		}
		return a.printJSON(b)
	}
	_, err := fmt.Fprintln(a.stdout, version.String("trefoilctl"))
	return err
}
