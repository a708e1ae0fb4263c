package admission

// indexed is a binary heap that keeps the position of each item in the item
// itself, so that any item is moved or removed in O(log n).
type indexed[T any] struct {
	items []T
	less  func(a, b T) bool
	at    func(T) *int // position of an item; notQueued while it is in no heap
}

// notQueued is the position of an item that is in no heap.
const notQueued = -1

func (h *indexed[T]) len() int { return len(h.items) }

// top returns the least item. The heap must not be empty.
func (h *indexed[T]) top() T { return h.items[0] }

// init restores the order after the keys of any items have changed.
func (h *indexed[T]) init() {
	for i := len(h.items)/2 - 1; i >= 0; i-- {
		h.down(i)
	}
}

func (h *indexed[T]) push(item T) {
	h.items = append(h.items, item)
	h.set(len(h.items)-1, item)
	h.up(len(h.items) - 1)
}

// fix restores the order after the key of item has changed.
func (h *indexed[T]) fix(item T) {
	i := *h.at(item)
	h.up(i)
	h.down(*h.at(item))
}

func (h *indexed[T]) remove(item T) {
	i := *h.at(item)
	last := len(h.items) - 1
	moved := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.at(item) = notQueued
	if i == last {
		return
	}
	h.set(i, moved)
	h.fix(moved)
}

func (h *indexed[T]) set(i int, item T) {
	h.items[i] = item
	*h.at(item) = i
}

func (h *indexed[T]) swap(i, j int) {
	a, b := h.items[i], h.items[j]
	h.set(i, b)
	h.set(j, a)
}

func (h *indexed[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *indexed[T]) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return
		}
		if right := child + 1; right < len(h.items) && h.less(h.items[right], h.items[child]) {
			child = right
		}
		if !h.less(h.items[child], h.items[i]) {
			return
		}
		h.swap(i, child)
		i = child
	}
}
