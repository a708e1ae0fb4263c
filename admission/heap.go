package admission

// indexedHeap is a binary heap that stores the position of each item in the item
// itself, so that any item can be moved or removed in O(log n).
type indexedHeap[T any] struct {
	items    []T
	less     func(a, b T) bool
	position func(T) *int // position of an item; notInHeap while it is not in the heap
}

// notInHeap is the position of an item that is not in the heap.
const notInHeap = -1

func (h *indexedHeap[T]) len() int { return len(h.items) }

// top returns the least item. The heap must not be empty.
func (h *indexedHeap[T]) top() T { return h.items[0] }

// init restores the order after the keys of any items have changed.
func (h *indexedHeap[T]) init() {
	for i := len(h.items)/2 - 1; i >= 0; i-- {
		h.down(i)
	}
}

func (h *indexedHeap[T]) push(item T) {
	h.items = append(h.items, item)
	h.set(len(h.items)-1, item)
	h.up(len(h.items) - 1)
}

// fix restores the order after the key of item has changed.
func (h *indexedHeap[T]) fix(item T) {
	i := *h.position(item)
	h.up(i)
	h.down(*h.position(item))
}

func (h *indexedHeap[T]) remove(item T) {
	i := *h.position(item)
	last := len(h.items) - 1
	moved := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.position(item) = notInHeap
	if i == last {
		return
	}
	h.set(i, moved)
	h.fix(moved)
}

func (h *indexedHeap[T]) set(i int, item T) {
	h.items[i] = item
	*h.position(item) = i
}

func (h *indexedHeap[T]) swap(i, j int) {
	a, b := h.items[i], h.items[j]
	h.set(i, b)
	h.set(j, a)
}

func (h *indexedHeap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *indexedHeap[T]) down(i int) {
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
