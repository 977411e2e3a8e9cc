package ctl

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"trefoilplank.example/pkg/bench"
)

const benchHelp = `Sends an open-loop load to one or two targets and prints latencies from the intended start of each call.
The same seed sends the same calls. With --against, both targets get the same calls in turn, and ratios are printed.

Examples:
  trefoilctl bench --target 127.0.0.1:18080 --rate 50 --length 10s
  trefoilctl bench --profile lookup --target 127.0.0.1:18080 --against 127.0.0.1:9000 --against-direct --rate 500
  trefoilctl bench --profile agencia --repeat 3 --seed 7 --plot bench.html
  trefoilctl bench --profile agencia --backlog 20000 --engine 127.0.0.1:9001 --engine 127.0.0.1:9002`

// backlogTokens is the length, in tokens, of each answer of the batch job that --backlog starts.
const backlogTokens = 32

// benchCommand sends load to one or two variants and compares them.
type benchCommand struct {
	*app          `no-flag:"yes"`
	Profile       string        `long:"profile" default:"board" value-name:"NAME" description:"workload: agencia, board or lookup"`
	Target        []string      `long:"target" value-name:"ADDRESS" description:"callers' address; may be given several times (default: --caller-server)"`
	Direct        bool          `long:"direct" description:"call --target as an upstream, without a node"`
	Against       []string      `long:"against" value-name:"ADDRESS" description:"second variant to compare with; may be given several times"`
	AgainstDirect bool          `long:"against-direct" description:"call --against as an upstream, without a node"`
	Backlog       int           `long:"backlog" value-name:"ITEMS" description:"compare without and with a batch job of this size beside the calls"`
	Engine        []string      `long:"engine" value-name:"ADDRESS" description:"stand-in engine whose executions --backlog counts; may be given several times"`
	Rate          float64       `long:"rate" default:"20" value-name:"N" description:"calls a second on average"`
	Length        time.Duration `long:"length" default:"10s" value-name:"DURATION" description:"length of one run"`
	Repeat        int           `long:"repeat" default:"1" value-name:"N" description:"number of runs of each variant"`
	Seed          uint64        `long:"seed" default:"1" value-name:"N" description:"seed of the planned calls"`
	batchLoad     *bench.Backlog
	Plot          string `long:"plot" value-name:"FILE" description:"write an HTML page with plots"`
}

// Execute runs the experiment and prints its report.
func (c *benchCommand) Execute([]string) error {
	profile, err := bench.ProfileByName(c.Profile)
	if err != nil {
		return usageError.Wrap(err)
	}
	if c.Backlog > 0 && (len(c.Against) > 0 || c.Direct) {
		return usageError.New("--backlog needs nodes as --target: it excludes --direct and --against")
	}
	if len(c.Engine) > 0 && c.Backlog == 0 {
		return usageError.New("--engine needs --backlog")
	}
	if c.Rate <= 0 || c.Length <= 0 || c.Repeat < 1 {
		return usageError.New("--rate, --length and --repeat must be above 0")
	}
	e := bench.Experiment{
		Profile: profile, Rate: c.Rate, Length: c.Length, Repetitions: c.Repeat, Seed: c.Seed, Variants: c.variants(profile.Model),
	}
	bar := c.newProgress(int64(e.Calls()), "calls")
	var done atomic.Int64
	e.Progress = func(n int) { bar.set(done.Add(int64(n))) }
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	results, err := e.Run(ctx)
	bar.finish()
	if err != nil {
		return err
	}
	report := bench.NewReport(e, results)
	if c.batchLoad != nil && len(c.Engine) > 0 {
		t := c.batchLoad.Throughput()
		report.Batch = &t
	}
	if err := c.print(report); err != nil {
		return err
	}
	return requireAnswers(report)
}

// requireAnswers returns an error if no call of a variant got a complete answer, since its figures then mean nothing.
func requireAnswers(r bench.Report) error {
	for _, v := range r.Variants {
		if !slices.ContainsFunc(v.Kinds, func(k bench.Summary) bool { return k.OK > 0 }) {
			return fmt.Errorf("no call to %s got a complete answer", v.Variant)
		}
	}
	return nil
}

// variants returns the targets to compare: --target with --against, or --target without and with a batch job.
func (c *benchCommand) variants(model string) []bench.Variant {
	if len(c.Target) == 0 {
		c.Target = []string{c.CallerServer}
	}
	newVariant := func(addresses []string, direct bool) bench.Variant {
		return bench.Variant{Target: bench.Target{
			Name: strings.Join(addresses, ","), Addresses: addresses, Key: c.CallerKey, Direct: direct,
		}}
	}
	variants := []bench.Variant{newVariant(c.Target, c.Direct)}
	if c.Backlog > 0 {
		withBatch := variants[0]
		withBatch.Target.Name += " with batch"
		c.batchLoad = &bench.Backlog{Address: c.Target[0], Key: c.CallerKey, Model: model, Items: c.Backlog, MaxTokens: backlogTokens, Engines: c.Engine}
		variants[0].Setup = c.batchLoad.MeasureOnline
		withBatch.Setup = c.batchLoad.StartBatchJob
		return append(variants, withBatch)
	}
	if len(c.Against) > 0 {
		variants = append(variants, newVariant(c.Against, c.AgainstDirect))
	}
	return variants
}

func (c *benchCommand) print(r bench.Report) error {
	if c.Plot != "" {
		f, err := os.Create(c.Plot)
		if err != nil {
			return err
		}
		if err := r.WritePlot(f); err != nil {
			_ = f.Close()
			return err
		}
		if err := f.Close(); err != nil {
			return err
		}
	}
	if c.JSON {
		return r.WriteJSON(c.stdout)
	}
	return r.WriteTable(c.stdout)
}
