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

// OrderOutcome is how one round for an endpoint ended.
type OrderOutcome string

// The outcomes of a round.
const (
	// OrderInForce means that the engine already obeyed the order.
	OrderInForce OrderOutcome = "in_force"
	// OrderApplied means that the order was given and read back.
	OrderApplied OrderOutcome = "applied"
	// OrderSuperseded means that the engine obeys an order with a higher
	// fencing number, or refused this one for it.
	OrderSuperseded OrderOutcome = "superseded"
	// OrderWithheld means that this process may not give the order now: it is
	// not of the newest revision, or the endpoint's lease has run out.
	OrderWithheld OrderOutcome = "withheld"
	// OrderOverwritten means that the order was given, but another was read
	// back; the next round gives it again.
	OrderOverwritten OrderOutcome = "overwritten"
	// OrderFailed means that the engine could not be asked.
	OrderFailed OrderOutcome = "failed"
)

// OrderReport is the outcome of one round for one endpoint.
type OrderReport struct {
	Endpoint string
	Fencing  uint64
	Outcome  OrderOutcome
	// Err is set for OrderFailed.
	Err error
}

// ReconcilerConfig holds the pace of a Reconciler. A zero field means its
// default.
type ReconcilerConfig struct {
	// ModelsPerSecond is this process's share of the weight store's rate; one
	// model that an engine has to load counts once. Zero means no bound.
	ModelsPerSecond rate.Limit
	// Interval is the time between two looks at an engine's order.
	Interval time.Duration
	// Timeout bounds one call.
	Timeout time.Duration
}

// Reconciler gives orders to engines and keeps them in force. It is a suture
// service. An engine that ignores fencing numbers may have been given an old
// order by a process that woke late, and one that restarted has lost its
// order, so each engine's order is read back at an interval and given again
// where it is not the wanted one.
type Reconciler struct {
	client  *Client
	config  ReconcilerConfig
	limiter *rate.Limiter
	current func(endpoint string) (fencing uint64, ok bool)
	report  func(OrderReport)
	workers workers

	mu     sync.Mutex
	wanted map[string]*wantedOrder
}

// wantedOrder is what one endpoint is to obey.
type wantedOrder struct {
	endpoint string
	address  string
	order    Order
	// changed wakes the endpoint's worker.
	changed chan struct{}
}

// NewReconciler returns a Reconciler. Immediately before the first byte of
// each order it calls current, which returns the newest fencing number that
// the process knows, and whether it may still give orders to the endpoint;
// only an order with just that number is given. Current must not block. The
// outcomes go to report, from several goroutines at once; a repeated
// OrderInForce is not reported.
func NewReconciler(
	client *Client,
	config ReconcilerConfig,
	current func(endpoint string) (fencing uint64, ok bool),
	report func(OrderReport),
) *Reconciler {
	setDefault(&config.ModelsPerSecond, rate.Inf)
	setDefault(&config.Interval, DefaultReconcileInterval)
	setDefault(&config.Timeout, DefaultOrderTimeout)
	return &Reconciler{
		client:  client,
		config:  config,
		limiter: rate.NewLimiter(config.ModelsPerSecond, 1),
		current: current,
		report:  report,
		wanted:  make(map[string]*wantedOrder),
	}
}

// String names the service in its supervisor's log.
func (r *Reconciler) String() string { return "endpoint orders" }

// Serve gives orders until the context ends.
func (r *Reconciler) Serve(ctx context.Context) error { return r.workers.serve(ctx) }

// Want replaces the order that an endpoint is to obey. It reports false, and
// changes nothing, where a higher fencing number was wanted before.
func (r *Reconciler) Want(endpoint, address string, order Order) bool {
	order.Models = slices.Clone(order.Models)
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.wanted[endpoint]
	if w != nil && w.order.Fencing > order.Fencing {
		return false
	}
	if w != nil && w.address == address {
		w.order = order
		select {
		case w.changed <- struct{}{}:
		default:
		}
		return true
	}
	w = &wantedOrder{endpoint: endpoint, address: address, order: order, changed: make(chan struct{}, 1)}
	r.wanted[endpoint] = w
	r.workers.set(endpoint, func(ctx context.Context) { r.run(ctx, w) })
	return true
}

// Forget ends the care for an endpoint, which another process now owns.
func (r *Reconciler) Forget(endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.wanted, endpoint)
	r.workers.remove(endpoint)
}

func (r *Reconciler) run(ctx context.Context, w *wantedOrder) {
	var last OrderReport
	for ctx.Err() == nil {
		order := r.orderOf(w)
		outcome, err := r.round(ctx, w, order)
		if ctx.Err() != nil {
			return
		}
		next := OrderReport{Endpoint: w.endpoint, Fencing: order.Fencing, Outcome: outcome, Err: err}
		if outcome != OrderInForce || next.Outcome != last.Outcome || next.Fencing != last.Fencing {
			r.report(next)
		}
		last = next
		r.wait(ctx, w)
	}
}

func (r *Reconciler) wait(ctx context.Context, w *wantedOrder) {
	timer := time.NewTimer(jittered(r.config.Interval))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.changed:
	case <-ctx.Done():
	}
}

func (r *Reconciler) orderOf(w *wantedOrder) Order {
	r.mu.Lock()
	defer r.mu.Unlock()
	return w.order
}

// round looks at an engine's order and gives the wanted one where needed.
func (r *Reconciler) round(ctx context.Context, w *wantedOrder, order Order) (OrderOutcome, error) {
	held, err := r.readOrder(ctx, w.address)
	if err != nil {
		return OrderFailed, err
	}
	if outcome, settled := compare(held, order); settled {
		return outcome, nil
	}
	if err := r.pace(ctx, held, order); err != nil {
		return OrderFailed, err
	}
	err = r.give(ctx, w, order)
	switch {
	case errors.Is(err, ErrWithheld):
		return OrderWithheld, nil
	case errors.Is(err, ErrOldFencing):
		return OrderSuperseded, nil
	case err != nil:
		return OrderFailed, err
	}
	held, err = r.readOrder(ctx, w.address)
	if err != nil {
		return OrderFailed, err
	}
	outcome, settled := compare(held, order)
	switch {
	case !settled:
		return OrderOverwritten, nil
	case outcome == OrderInForce:
		return OrderApplied, nil
	}
	return outcome, nil
}

// compare reports how the order that an engine holds stands to the wanted
// one; settled is false where the wanted one has to be given.
func compare(held, wanted Order) (outcome OrderOutcome, settled bool) {
	if held.Fencing > wanted.Fencing {
		return OrderSuperseded, true
	}
	if held.Fencing == wanted.Fencing && sameModels(held.Models, wanted.Models) {
		return OrderInForce, true
	}
	return "", false
}

func sameModels(a, b []string) bool {
	a, b = slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b))
	return slices.Equal(a, b)
}

// pace waits for the weight store's rate, once for each model that the engine
// has to load.
func (r *Reconciler) pace(ctx context.Context, held, wanted Order) error {
	for _, model := range wanted.Models {
		if slices.Contains(held.Models, model) {
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

func (r *Reconciler) give(ctx context.Context, w *wantedOrder, order Order) error {
	ctx, cancel := context.WithTimeout(ctx, r.config.Timeout)
	defer cancel()
	return r.client.GiveOrderIf(ctx, w.address, order, func() bool {
		fencing, ok := r.current(w.endpoint)
		return ok && fencing == order.Fencing
	})
}
