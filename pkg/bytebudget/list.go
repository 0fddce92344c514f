package bytebudget

import "iter"

// link makes a Reservation an element of a list without an allocation.
type link struct{ prev, next *Reservation }

// list is a doubly linked list of reservations.
type list struct{ root Reservation }

func (l *list) init() { l.root.prev, l.root.next = &l.root, &l.root }

func (l *list) add(r *Reservation) {
	r.prev, r.next = l.root.prev, &l.root
	r.prev.next, l.root.prev = r, r
}

func (l *list) remove(r *Reservation) {
	if r.next == nil {
		return
	}
	r.prev.next, r.next.prev = r.next, r.prev
	r.prev, r.next = nil, nil
}

func (l *list) all() iter.Seq[*Reservation] {
	return func(yield func(*Reservation) bool) {
		for r := l.root.next; r != &l.root; r = r.next {
			if !yield(r) {
				return
			}
		}
	}
}
