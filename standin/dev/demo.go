package dev

import (
	"context"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"
)

// errPromiseBroken makes the demo exit with status 1.
var errPromiseBroken = errors.New("a promise did not hold")

const (
	// demoTime is how long the online callers run.
	demoTime = 6 * time.Second
	// onlineCallers is the number of online callers of each institution that send without a pause.
	onlineCallers = 3
	// batchItems is the number of items of the batch that must complete.
	batchItems = 120
	// batchTimeout bounds the time that the batch may take in the demo.
	batchTimeout = 60 * time.Second
)

// promise is one checked statement of the demo.
type promise struct {
	text   string
	detail string
	held   bool
}

// demo is the state of one demo run.
type demo struct {
	fleet  *Fleet
	client *demoClient
	online *onlineStats
}

// runDemo runs a mixed workload with faults against the fleet, prints a table and checks every promise.
func runDemo(ctx context.Context, f *Fleet, out io.Writer) error {
	d := &demo{fleet: f, client: newDemoClient(f), online: newOnlineStats()}
	fmt.Fprintf(out, "Running %d nodes with online calls, two batches, one engine crash, one cut stream and one configuration change ...\n", len(f.nodes))
	var batch, cancelled, changed, charged promise
	group, ctx := errgroup.WithContext(ctx)
	onlineCtx, stop := context.WithTimeout(ctx, demoTime)
	defer stop()
	group.Go(func() error { d.runOnline(onlineCtx); return nil })
	group.Go(func() (err error) { batch, err = d.runBatch(ctx); return err })
	group.Go(func() (err error) { cancelled, err = d.runCancelledBatch(ctx); return err })
	group.Go(func() (err error) { changed, err = d.changeConfiguration(ctx); return err })
	group.Go(func() (err error) { charged, err = d.charge(ctx); return err })
	group.Go(func() error { return d.injectFaults(ctx) })
	if err := group.Wait(); err != nil {
		return fmt.Errorf("the demo could not run: %w", err)
	}
	promises := append(d.onlinePromises(), batch, cancelled, charged, changed)
	return report(out, d.online, promises)
}

func report(out io.Writer, online *onlineStats, promises []promise) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nONLINE\tCALLS\tWHOLE\tERROR\tP50\tP99\tMAX")
	for _, row := range online.rows() {
		fmt.Fprintln(table, row)
	}
	fmt.Fprintln(table, "\nPROMISE\tHELD\tWHAT WAS SEEN")
	err := error(nil)
	for _, p := range promises {
		held := "yes"
		if !p.held {
			held, err = "NO", errPromiseBroken
		}
		fmt.Fprintf(table, "%s\t%s\t%s\n", p.text, held, p.detail)
	}
	if flushErr := table.Flush(); flushErr != nil {
		return flushErr
	}
	return err
}

// injectFaults crashes one engine of each institution's model and cuts one stream while the callers run.
func (d *demo) injectFaults(ctx context.Context) error {
	time.Sleep(demoTime / 4)
	engines := d.engines()
	if err := d.client.fault(ctx, engines[0], `{"cut_stream_after_tokens":6}`); err != nil {
		return err
	}
	if err := d.client.fault(ctx, engines[1], `{"down":true}`); err != nil {
		return err
	}
	time.Sleep(demoTime / 4)
	if err := d.client.fault(ctx, engines[1], `{"down":false}`); err != nil {
		return err
	}
	return d.client.fault(ctx, engines[0], `{"cut_stream_after_tokens":0}`)
}

// engines returns the addresses of the first deployment's engines.
func (d *demo) engines() []string {
	var list []string
	for _, u := range d.fleet.Ready.Upstreams {
		if u.Model == d.fleet.standins.Register.Models[0].Name {
			list = append(list, u.Address)
		}
	}
	return list
}
