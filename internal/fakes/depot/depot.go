// Package depot is a whole deployment in one process: the platform's stand-in,
// its upstreams, and instances of the router or plain forwarders in their place.
//
// It imports app/edge and the stand-in. The load command runs it on a real
// clock, tests on a virtual one.
package depot

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"fulmarwick/internal/app/edge"
	"fulmarwick/internal/app/setup"
	"fulmarwick/internal/fakes/drive"
	"fulmarwick/platform/stand"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// startupTime is how long instances take to start and to place all layers.
const startupTime = 9 * time.Second

// Depot is a deployment. Set the exported fields before Open.
type Depot struct {
	Instances int
	// Baseline puts forwarders in the place of instances; nil is the router.
	Baseline *stand.Baseline
	// Deployment is the model and its engines; one without layers is the usual.
	Shape stand.Deployment
	// Retry bounds repeats; zero is the usual bound.
	Retry setup.Retry
	// Handshake is how long an engine takes for a new connection.
	Handshake time.Duration
	// Log is that of the instances; nil has none.
	Log *zap.Logger

	site      *stand.Site
	instances []*edge.Instance
	addresses []string
	wg        sync.WaitGroup
	mu        sync.Mutex
	errs      []error
}

// Settings are those of instance n.
func Settings(n int) setup.File {
	return settings(n, stand.DefaultDeployment.Zones)
}

// settings are those of instance n in front of data centres.
func settings(n int, zones []stand.Zone) setup.File {
	f := setup.Default()
	zone := zones[n%len(zones)].Name
	f.Instance = setup.Instance{Name: fmt.Sprintf("edge-%d", n), DataCentre: zone, Region: "west"}
	f.Listen = setup.Listen{
		Callers: fmt.Sprintf("10.%d.0.1:8000", n+1), Ready: fmt.Sprintf("10.%d.0.1:8001", n+1), Mesh: fmt.Sprintf("10.%d.0.1:8002", n+1),
	}
	f.Platform.Table = "http://" + stand.StoreAddress
	f.Retry = setup.Retry{Ratio: 0.2, Allowance: 196, Window: 10 * time.Second}
	f.Times.Grace = time.Second
	return f
}

// Open starts everything and waits until layers are placed.
func (d *Depot) Open(ctx context.Context) error {
	d.site = stand.NewSite()
	d.site.HandshakeTime = d.Handshake
	if d.Shape.Layers > 0 {
		d.site.Deployment = d.Shape
	}
	d.site.Store.Put("op", "config", d.site.Config(1))
	d.site.AddUpstreams()
	if d.Log == nil {
		d.Log = zap.NewNop()
	}
	for n := range d.Instances {
		d.addresses = append(d.addresses, Settings(n).Listen.Callers)
		if d.Baseline == nil {
			d.startInstance(n)
		}
	}
	if d.Baseline != nil {
		return d.startForwarders(ctx)
	}
	time.Sleep(startupTime)
	return nil
}

func (d *Depot) startInstance(n int) {
	s := settings(n, d.site.Deployment.Zones)
	if d.Retry != (setup.Retry{}) {
		s.Retry = d.Retry
	}
	i := &edge.Instance{Settings: s, Log: d.Log, Dial: d.site.Dial, Listen: d.site.Net.Listen}
	d.instances = append(d.instances, i)
	d.wg.Go(func() {
		if err := i.Run(context.Background()); err != nil {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.errs = append(d.errs, errors.Wrapf(err, "depot: instance %d", n))
		}
	})
}

// startForwarders serves plain forwarders where instances would be.
func (d *Depot) startForwarders(ctx context.Context) error {
	d.Baseline.PlaceEvenly(d.site)
	for _, address := range d.addresses {
		l, err := d.site.Net.Listen(ctx, address)
		if err != nil {
			return errors.Wrap(err, "depot: forwarder")
		}
		server := &http.Server{Handler: d.Baseline, ReadHeaderTimeout: time.Minute}
		d.wg.Go(func() { _ = server.Serve(l) })
		context.AfterFunc(ctx, func() { _ = server.Close() })
	}
	return nil
}

// Site is the platform's stand-in.
func (d *Depot) Site() *stand.Site { return d.site }

// Running are the instances of the router.
func (d *Depot) Running() []*edge.Instance { return slices.Clone(d.instances) }

// Close stops everything. It returns every rule that upstreams saw broken and
// every instance that failed.
func (d *Depot) Close() error {
	for _, i := range d.instances {
		i.Stop()
	}
	if d.Baseline == nil {
		d.wg.Wait()
	}
	d.site.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	errs := d.errs
	for _, f := range d.site.Violations() {
		errs = append(errs, errors.Errorf("depot: rule broken: %s", f))
	}
	return errors.Join(errs...)
}

// Drive is a run of a workload on the depot.
func (d *Depot) Drive(w drive.Work) *drive.Run {
	return &drive.Run{Work: w, Fronts: d.addresses, Dial: d.site.Dial, Fault: d.injectFault}
}

// injectFault makes a fault of a workload happen.
func (d *Depot) injectFault(f drive.Fault) error {
	switch f.Kind {
	case drive.KindPipe:
		d.site.SetLinkSlowdown(f.Times)
		return nil
	case drive.KindZone:
		for _, e := range d.site.Engines() {
			if e.Zone == f.Zone {
				d.site.Crash(e)
			}
		}
		return nil
	}
	for range f.Count {
		e := d.busiest()
		if e == nil {
			return errors.Errorf("depot: fault %s: no engine is left", f.Kind)
		}
		switch f.Kind {
		case drive.KindCrash:
			d.site.Crash(e)
		case drive.KindDark:
			d.site.StopResponding(e)
		case drive.KindDrain:
			d.site.DrainEngine(e)
		case drive.KindSlow:
			d.site.SetSlowdown(e, f.Times)
		default:
			return errors.Errorf("depot: fault %s is not known", f.Kind)
		}
	}
	return nil
}

// busiest is the sound engine that most runs pass: losing it is worst.
func (d *Depot) busiest() *stand.Engine {
	var best *stand.Engine
	for _, e := range d.site.Engines() {
		if e.Serving() && (best == nil || e.Streams() > best.Streams()) {
			best = e
		}
	}
	return best
}
