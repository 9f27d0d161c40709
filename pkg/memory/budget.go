// Package memory decides how much of a box's memory each customer may take, and whose unread
// answers are given up when that memory runs short. It does no I/O.
package memory

import "sync"

// Budget is a number of bytes that customers share. The limit of each customer is as many bytes as
// are free (a dynamic threshold): one customer alone takes at most half, n customers that ask for
// more take one part of n+1 each, and one more customer always finds room. It is safe for
// concurrent use.
type Budget struct {
	// Size is the number of bytes. It is set before the first use.
	Size int64

	mu sync.Mutex
	// used is the sum of byCustomer. It may exceed Size, because Add is not limited.
	used int64
	// byCustomer has an entry for each customer that keeps at least one byte.
	byCustomer map[string]int64
}

// Reserve takes bytes for a customer and reports whether they were within its limit. Nothing is
// taken otherwise.
func (b *Budget) Reserve(customer string, bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byCustomer[customer]+bytes > b.Size-b.used-bytes {
		return false
	}
	b.add(customer, bytes)
	return true
}

// Add takes bytes that are in use already, whatever the limit.
func (b *Budget) Add(customer string, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(customer, bytes)
}

// Release returns bytes that were taken by Reserve or Add.
func (b *Budget) Release(customer string, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(customer, -bytes)
}

// add changes what a customer keeps. The lock is held.
func (b *Budget) add(customer string, bytes int64) {
	if b.byCustomer == nil {
		b.byCustomer = map[string]int64{}
	}
	b.used += bytes
	b.byCustomer[customer] += bytes
	if b.byCustomer[customer] == 0 {
		delete(b.byCustomer, customer)
	}
}

// CanFit reports whether a customer could reserve the bytes if nothing else was taken.
func (b *Budget) CanFit(bytes int64) bool { return 2*bytes <= b.Size }

// Used returns the number of bytes taken by all customers.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// UsedBy returns the number of bytes that a customer has taken.
func (b *Budget) UsedBy(customer string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.byCustomer[customer]
}
