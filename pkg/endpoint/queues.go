package endpoint

// Queues are what the kernel keeps for a connection. They are zero for a closed connection, and
// where they are not known.
type Queues struct {
	// Unacknowledged is the number of bytes written that the other machine has not acknowledged.
	Unacknowledged int64
	// Unread is the number of bytes received that this process has not read.
	Unread int64
	// Acknowledged is the number of bytes that the other machine has acknowledged so far. It is
	// set only if there are unacknowledged ones.
	Acknowledged uint64
}
