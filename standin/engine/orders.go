package engine

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/orders"
)

// control is the part of an engine that takes orders.
type control struct {
	fenced   bool
	loadTime time.Duration

	mu      sync.Mutex
	highest uint64
	state   catalog.EngineState
	loading bool
	orders  []orders.Order
}

// register adds the routes of the control part.
func (c *control) register(mux *http.ServeMux) {
	mux.HandleFunc("GET "+orders.Path, c.report)
	mux.HandleFunc("PUT "+orders.Path, c.take)
}

func (c *control) report(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = json.NewEncoder(w).Encode(orders.Report{State: c.state, Loading: c.loading})
}

// take obeys an order. With fencing it refuses a number below the highest one.
func (c *control) take(w http.ResponseWriter, r *http.Request) {
	var order orders.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fenced && order.Fence < c.highest {
		w.WriteHeader(http.StatusConflict)
		return
	}
	c.highest = max(c.highest, order.Fence)
	c.orders = append(c.orders, order)
	c.loading = true
	time.AfterFunc(c.loadTime, func() { c.loaded(order.State) })
}

func (c *control) loaded(state catalog.EngineState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.loading = state, false
}

// Orders returns the orders obeyed so far.
func (e *Engine) Orders() []orders.Order {
	e.control.mu.Lock()
	defer e.control.mu.Unlock()
	return append([]orders.Order(nil), e.control.orders...)
}
