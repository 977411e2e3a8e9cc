// Package batch documents the batch interface as callers see it; its subpackages implement it.
//
// # Input lines
//
// Each line is one JSON object: custom_id (unique in the file, at most 512 bytes), method, url, body and optionally
// headers, an object of strings. url is /v1/chat/completions or /v1/completions (method POST, no streaming), or
// /v1/services/NAME/PATH. Lines of one file may name different URLs; the endpoint of the batch is not compared with
// them. The headers are sent to the upstream. A line with
//
//	"headers": {"Trefoil-Non-Idempotent": "true"}
//
// runs at most once; if it is not known whether it ran, its result is an error with outcome unknown.
//
// An upload with invalid lines is answered with status 400. `error.findings` lists all of them as {"line", "message"},
// and nothing is stored.
//
// # Results
//
// Results with an HTTP status below 400 are in the output file, all others in the error file. Their order is not that of
// the input. Besides the codes of the caller interface, error.code is batch_expired for items that had no
// result at the end of the completion window. A cancelled batch keeps the results recorded before.
//
// # Jobs
//
// completion_window is a duration such as "24h", at most 7 days; the default is the rule of the institution. A batch
// starts as in_progress, since the file was validated at its upload. Listings are newest first and omit the counts of
// running batches; GET of one batch returns the counts that are durable at that time.
package batch
