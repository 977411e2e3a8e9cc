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

// errGuaranteeViolated is returned by a demo that saw a guarantee violated.
var errGuaranteeViolated = errors.New("the demo saw at least one guarantee violated")

const (
	// demoDuration is how long the online callers run.
	demoDuration = 6 * time.Second
	// onlineCallers is the number of concurrent online callers of each institution, which send without a pause.
	onlineCallers = 3
	// batchItems is the number of items of the batch that is run to its end.
	batchItems = 120
	// batchTimeout bounds the wait for a batch to reach a status.
	batchTimeout = 60 * time.Second
)

// guarantee is one guarantee of the system and the result of the demo's check of it.
type guarantee struct {
	statement string
	observed  string
	satisfied bool
}

// demo is the state of one run of the demo.
type demo struct {
	fleet  *Fleet
	client *demoClient
	online *onlineStats
}

// runDemo runs a mixed workload with faults against the fleet, prints tables of the online calls and the guarantees, and
// returns errGuaranteeViolated if a guarantee did not hold.
func runDemo(ctx context.Context, f *Fleet, out io.Writer) error {
	d := &demo{fleet: f, client: newDemoClient(f), online: newOnlineStats()}
	fmt.Fprintf(out, "Running %d nodes with online calls, two batches, an engine outage, cut streams and a configuration change ...\n", len(f.nodes))
	var batch, cancelled, changed, atMostOnce guarantee
	group, ctx := errgroup.WithContext(ctx)
	onlineCtx, stop := context.WithTimeout(ctx, demoDuration)
	defer stop()
	group.Go(func() error { d.runOnline(onlineCtx); return nil })
	group.Go(func() (err error) { batch, err = d.checkCompletedBatch(ctx); return err })
	group.Go(func() (err error) { cancelled, err = d.checkCancelledBatch(ctx); return err })
	group.Go(func() (err error) { changed, err = d.checkConfigurationChange(ctx); return err })
	group.Go(func() (err error) { atMostOnce, err = d.checkAtMostOnce(ctx); return err })
	group.Go(func() error { return d.injectFaults(ctx) })
	if err := group.Wait(); err != nil {
		return fmt.Errorf("running the demo: %w", err)
	}
	guarantees := append(d.onlineGuarantees(), batch, cancelled, atMostOnce, changed)
	return printReport(out, d.online, guarantees)
}

// printReport prints the tables of the online calls and the guarantees.
func printReport(out io.Writer, online *onlineStats, guarantees []guarantee) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nONLINE CALL\tCALLS\tCOMPLETE\tERRORS\tP50\tP99\tMAX")
	for _, row := range online.tableRows() {
		fmt.Fprintln(table, row)
	}
	fmt.Fprintln(table, "\nGUARANTEE\tHELD\tOBSERVED")
	err := error(nil)
	for _, g := range guarantees {
		satisfied := "yes"
		if !g.satisfied {
			satisfied, err = "NO", errGuaranteeViolated
		}
		fmt.Fprintf(table, "%s\t%s\t%s\n", g.statement, satisfied, g.observed)
	}
	if flushErr := table.Flush(); flushErr != nil {
		return flushErr
	}
	return err
}

// injectFaults cuts all streams of one engine and takes another engine of the same model down, from one quarter to one
// half of demoDuration.
func (d *demo) injectFaults(ctx context.Context) error {
	time.Sleep(demoDuration / 4)
	engines := d.firstModelEngines()
	if err := d.client.setFaults(ctx, engines[0], `{"cut_stream_after_tokens":6}`); err != nil {
		return err
	}
	if err := d.client.setFaults(ctx, engines[1], `{"down":true}`); err != nil {
		return err
	}
	time.Sleep(demoDuration / 4)
	if err := d.client.setFaults(ctx, engines[1], `{"down":false}`); err != nil {
		return err
	}
	return d.client.setFaults(ctx, engines[0], `{"cut_stream_after_tokens":0}`)
}

// firstModelEngines returns the addresses of the engines of the register's first model.
func (d *demo) firstModelEngines() []string {
	var addresses []string
	for _, u := range d.fleet.Ready.Upstreams {
		if u.Model == d.fleet.standins.Register.Models[0].Name {
			addresses = append(addresses, u.Address)
		}
	}
	return addresses
}
