package engine

// queue is a heap of waiting requests: lowest priority value first, then by
// arrival.
type queue []*job

// Len is the number of waiting requests.
func (q queue) Len() int { return len(q) }

// Less orders by priority, then arrival.
func (q queue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

// Swap exchanges two requests.
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push adds a request.
func (q *queue) Push(x any) {
	added := x.(*job)
	added.index = len(*q)
	*q = append(*q, added)
}

// Pop removes the last request.
func (q *queue) Pop() any {
	last := len(*q) - 1
	removed := (*q)[last]
	removed.index = -1
	*q = (*q)[:last]
	return removed
}

// prefixCache keeps the most recently used prompt prefixes within a bound.
type prefixCache struct {
	tokens map[uint64]int
	order  []uint64
	used   int
}

// use looks a prefix up, keeps it, and returns how many tokens were cached.
func (c *prefixCache) use(prefix uint64, tokens, bound int) (cached int) {
	if c.tokens == nil {
		c.tokens = map[uint64]int{}
	}
	cached, known := c.tokens[prefix]
	if known {
		return min(cached, tokens)
	}
	c.tokens[prefix] = tokens
	c.order = append(c.order, prefix)
	c.used += tokens
	for c.used > bound && len(c.order) > 0 {
		oldest := c.order[0]
		c.order = c.order[1:]
		c.used -= c.tokens[oldest]
		delete(c.tokens, oldest)
	}
	return 0
}
