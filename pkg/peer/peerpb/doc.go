// Package peerpb holds the messages between boxes, generated from peer.proto
// by `make generate`.
package peerpb
