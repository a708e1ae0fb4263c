package engine

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/orders"
)

// orderHandler is the part of an engine that accepts orders and reports its
// state.
type orderHandler struct {
	fenced   bool
	loadTime time.Duration

	mu           sync.Mutex
	highestFence uint64 // of the accepted orders
	state        catalog.EngineState
	loading      bool
	accepted     []orders.Order
}

// registerRoutes adds the HTTP routes of the handler to mux.
func (h *orderHandler) registerRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET "+orders.Path, h.getReport)
	mux.HandleFunc("PUT "+orders.Path, h.putOrder)
}

func (h *orderHandler) getReport(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = json.NewEncoder(w).Encode(orders.Report{State: h.state, Loading: h.loading})
}

// putOrder accepts an order, whose state takes effect after loadTime. With
// fencing it rejects an order whose fencing number is below the highest accepted
// one.
func (h *orderHandler) putOrder(w http.ResponseWriter, r *http.Request) {
	var order orders.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fenced && order.Fence < h.highestFence {
		w.WriteHeader(http.StatusConflict)
		return
	}
	h.highestFence = max(h.highestFence, order.Fence)
	h.accepted = append(h.accepted, order)
	h.loading = true
	time.AfterFunc(h.loadTime, func() { h.finishLoading(order.State) })
}

func (h *orderHandler) finishLoading(state catalog.EngineState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state, h.loading = state, false
}

// Orders returns the orders accepted so far, oldest first.
func (e *Engine) Orders() []orders.Order {
	e.orderHandler.mu.Lock()
	defer e.orderHandler.mu.Unlock()
	return append([]orders.Order(nil), e.orderHandler.accepted...)
}
