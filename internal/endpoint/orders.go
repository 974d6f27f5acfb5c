package endpoint

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// Defaults of ReconcilerConfig.
const (
	DefaultReconcileInterval = 5 * time.Second
	DefaultOrderTimeout      = 10 * time.Second
)

// OrderOutcome is the result of one reconciliation of an endpoint's order.
type OrderOutcome string

// The outcomes of a reconciliation.
const (
	// OrderInForce means that the engine already applied the order.
	OrderInForce OrderOutcome = "in_force"
	// OrderApplied means that the order was sent and confirmed by reading it
	// back.
	OrderApplied OrderOutcome = "applied"
	// OrderSuperseded means that the engine has an order with a higher fencing
	// number, or rejected this one because of such an order.
	OrderSuperseded OrderOutcome = "superseded"
	// OrderWithheld means that this process may not send the order now: the
	// order is not of the newest revision, or the lease on the endpoint has
	// expired.
	OrderWithheld OrderOutcome = "withheld"
	// OrderOverwritten means that the order was sent, but a different one was
	// read back; the next reconciliation sends it again.
	OrderOverwritten OrderOutcome = "overwritten"
	// OrderFailed means that a call to the engine failed.
	OrderFailed OrderOutcome = "failed"
)

// OrderReport reports the outcome of one reconciliation of one endpoint.
type OrderReport struct {
	Endpoint string
	Fencing  uint64
	Outcome  OrderOutcome
	// Err is set for OrderFailed.
	Err error
}

// ReconcilerConfig holds the settings of a Reconciler. A zero field means its
// default.
type ReconcilerConfig struct {
	// ModelsPerSecond is this process's share of the rate limit of the weight
	// store, in models that engines have to load. Zero means no limit.
	ModelsPerSecond rate.Limit
	// Interval is the time between two reconciliations of an endpoint.
	Interval time.Duration
	// Timeout limits one call.
	Timeout time.Duration
}

// Reconciler sends orders to engines and keeps them applied. It is a suture
// service. An engine that ignores fencing numbers may have received an old
// order from a process that was paused and resumed late, and an engine that
// restarted has lost its order. Each engine's order is therefore read back at
// an interval, and sent again if it differs from the desired one.
type Reconciler struct {
	client         *Client
	config         ReconcilerConfig
	limiter        *rate.Limiter
	currentFencing func(endpoint string) (fencing uint64, ok bool)
	report         func(OrderReport)
	workers        workerGroup

	mu      sync.Mutex
	desired map[string]*desiredOrder
}

// desiredOrder is the order that one endpoint is to apply.
type desiredOrder struct {
	endpoint string
	address  string
	order    Order
	// changed wakes the endpoint's worker.
	changed chan struct{}
}

// NewReconciler returns a Reconciler. Immediately before the first byte of each
// order it calls currentFencing, which returns the newest fencing number known
// to the process and whether the process may still send orders to the endpoint.
// An order is sent only if its fencing number equals the returned one.
// currentFencing must not block. Outcomes are passed to report, from several
// goroutines concurrently; a repeated OrderInForce is not reported.
func NewReconciler(
	client *Client,
	config ReconcilerConfig,
	currentFencing func(endpoint string) (fencing uint64, ok bool),
	report func(OrderReport),
) *Reconciler {
	setDefault(&config.ModelsPerSecond, rate.Inf)
	setDefault(&config.Interval, DefaultReconcileInterval)
	setDefault(&config.Timeout, DefaultOrderTimeout)
	return &Reconciler{
		client:         client,
		config:         config,
		limiter:        rate.NewLimiter(config.ModelsPerSecond, 1),
		currentFencing: currentFencing,
		report:         report,
		desired:        make(map[string]*desiredOrder),
	}
}

// String names the service in its supervisor's log.
func (r *Reconciler) String() string { return "endpoint orders" }

// Serve reconciles orders until the context ends.
func (r *Reconciler) Serve(ctx context.Context) error { return r.workers.serve(ctx) }

// SetOrder replaces the desired order of an endpoint. If the present one has a
// higher fencing number, SetOrder changes nothing and returns false.
func (r *Reconciler) SetOrder(endpoint, address string, order Order) bool {
	order.Models = slices.Clone(order.Models)
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.desired[endpoint]
	if d != nil && d.order.Fencing > order.Fencing {
		return false
	}
	if d != nil && d.address == address {
		d.order = order
		select {
		case d.changed <- struct{}{}:
		default:
		}
		return true
	}
	d = &desiredOrder{endpoint: endpoint, address: address, order: order, changed: make(chan struct{}, 1)}
	r.desired[endpoint] = d
	r.workers.set(endpoint, func(ctx context.Context) { r.run(ctx, d) })
	return true
}

// Remove stops reconciling an endpoint, which another process now owns.
func (r *Reconciler) Remove(endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.desired, endpoint)
	r.workers.remove(endpoint)
}

func (r *Reconciler) run(ctx context.Context, d *desiredOrder) {
	var last OrderReport
	for ctx.Err() == nil {
		order := r.latestOrder(d)
		outcome, err := r.reconcile(ctx, d, order)
		if ctx.Err() != nil {
			return
		}
		next := OrderReport{Endpoint: d.endpoint, Fencing: order.Fencing, Outcome: outcome, Err: err}
		if outcome != OrderInForce || next.Outcome != last.Outcome || next.Fencing != last.Fencing {
			r.report(next)
		}
		last = next
		r.waitNext(ctx, d)
	}
}

func (r *Reconciler) waitNext(ctx context.Context, d *desiredOrder) {
	timer := time.NewTimer(withJitter(r.config.Interval))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.changed:
	case <-ctx.Done():
	}
}

func (r *Reconciler) latestOrder(d *desiredOrder) Order {
	r.mu.Lock()
	defer r.mu.Unlock()
	return d.order
}

// reconcile compares an engine's order with the desired one and sends the
// desired one if needed.
func (r *Reconciler) reconcile(ctx context.Context, d *desiredOrder, order Order) (OrderOutcome, error) {
	actual, err := r.readOrder(ctx, d.address)
	if err != nil {
		return OrderFailed, err
	}
	if outcome, final := compareOrders(actual, order); final {
		return outcome, nil
	}
	if err := r.waitLoadRate(ctx, actual, order); err != nil {
		return OrderFailed, err
	}
	err = r.sendOrder(ctx, d, order)
	switch {
	case errors.Is(err, ErrWithheld):
		return OrderWithheld, nil
	case errors.Is(err, ErrStaleFencing):
		return OrderSuperseded, nil
	case err != nil:
		return OrderFailed, err
	}
	actual, err = r.readOrder(ctx, d.address)
	if err != nil {
		return OrderFailed, err
	}
	outcome, final := compareOrders(actual, order)
	switch {
	case !final:
		return OrderOverwritten, nil
	case outcome == OrderInForce:
		return OrderApplied, nil
	}
	return outcome, nil
}

// compareOrders compares the actual order of an engine with the desired one.
// final is false if the desired order has to be sent.
func compareOrders(actual, desired Order) (outcome OrderOutcome, final bool) {
	if actual.Fencing > desired.Fencing {
		return OrderSuperseded, true
	}
	if actual.Fencing == desired.Fencing && sameModels(actual.Models, desired.Models) {
		return OrderInForce, true
	}
	return "", false
}

func sameModels(a, b []string) bool {
	a, b = slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b))
	return slices.Equal(a, b)
}

// waitLoadRate waits for the model load rate limit, once for each model that
// the engine has to load.
func (r *Reconciler) waitLoadRate(ctx context.Context, actual, desired Order) error {
	for _, model := range desired.Models {
		if slices.Contains(actual.Models, model) {
			continue
		}
		if err := r.limiter.Wait(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (r *Reconciler) readOrder(ctx context.Context, address string) (Order, error) {
	ctx, cancel := context.WithTimeout(ctx, r.config.Timeout)
	defer cancel()
	return r.client.ReadOrder(ctx, address)
}

func (r *Reconciler) sendOrder(ctx context.Context, d *desiredOrder, order Order) error {
	ctx, cancel := context.WithTimeout(ctx, r.config.Timeout)
	defer cancel()
	return r.client.SendOrderIf(ctx, d.address, order, func() bool {
		fencing, ok := r.currentFencing(d.endpoint)
		return ok && fencing == order.Fencing
	})
}
