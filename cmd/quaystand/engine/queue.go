package engine

// queue is a heap of waiting requests, ordered by priority value (lowest first) and then by
// arrival.
type queue []*job

// Len returns the number of waiting requests.
func (q queue) Len() int { return len(q) }

// Less reports whether request i comes before request j.
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

// prefixCache keeps prompt prefixes within a bound of tokens. It evicts the prefixes that were
// added first.
type prefixCache struct {
	tokens map[uint64]int
	order  []uint64
	used   int
}

// use looks a prefix up, adds it if it is missing, and returns how many of its tokens were cached
// before.
func (c *prefixCache) use(prefix uint64, tokens, maxTokens int) (cached int) {
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
	for c.used > maxTokens && len(c.order) > 0 {
		oldest := c.order[0]
		c.order = c.order[1:]
		c.used -= c.tokens[oldest]
		delete(c.tokens, oldest)
	}
	return 0
}
