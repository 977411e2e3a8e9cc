package ctl

import (
	"context"
	"os"
	"os/signal"
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
  trefoilctl bench --profile agencia --repeat 3 --seed 7 --plot bench.html`

// benchCommand is the load and experiment tool.
type benchCommand struct {
	*app          `no-flag:"yes"`
	Profile       string        `long:"profile" default:"board" value-name:"NAME" description:"workload: agencia, board or lookup"`
	Target        []string      `long:"target" value-name:"ADDRESS" description:"callers' address; may be given several times (default: --caller-server)"`
	Direct        bool          `long:"direct" description:"call --target as an upstream, without a node"`
	Against       []string      `long:"against" value-name:"ADDRESS" description:"second variant to compare with; may be given several times"`
	AgainstDirect bool          `long:"against-direct" description:"call --against as an upstream, without a node"`
	Rate          float64       `long:"rate" default:"20" value-name:"N" description:"calls a second on average"`
	Length        time.Duration `long:"length" default:"10s" value-name:"DURATION" description:"length of one run"`
	Repeat        int           `long:"repeat" default:"1" value-name:"N" description:"number of runs of each variant"`
	Seed          uint64        `long:"seed" default:"1" value-name:"N" description:"seed of the planned calls"`
	Plot          string        `long:"plot" value-name:"FILE" description:"write an HTML page with plots"`
}

// Execute runs the experiment.
func (c *benchCommand) Execute([]string) error {
	profile, err := bench.ProfileByName(c.Profile)
	if err != nil {
		return usageError.Wrap(err)
	}
	if c.Rate <= 0 || c.Length <= 0 || c.Repeat < 1 {
		return usageError.New("--rate, --length and --repeat must be above 0")
	}
	e := bench.Experiment{
		Profile: profile, Rate: c.Rate, Length: c.Length, Repetitions: c.Repeat, Seed: c.Seed, Variants: c.variants(),
	}
	bar := c.progress(int64(e.Calls()), "calls")
	var done atomic.Int64
	e.Progress = func(n int) { bar.set(done.Add(int64(n))) }
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	results, err := e.Run(ctx)
	bar.finish()
	if err != nil {
		return err
	}
	return c.print(bench.NewReport(e, results))
}

func (c *benchCommand) variants() []bench.Variant {
	if len(c.Target) == 0 {
		c.Target = []string{c.CallerServer}
	}
	target := func(addresses []string, direct bool) bench.Variant {
		return bench.Variant{Target: bench.Target{
			Name: strings.Join(addresses, ","), Addresses: addresses, Key: c.CallerKey, Direct: direct,
		}}
	}
	variants := []bench.Variant{target(c.Target, c.Direct)}
	if len(c.Against) > 0 {
		variants = append(variants, target(c.Against, c.AgainstDirect))
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
