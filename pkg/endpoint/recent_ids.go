package endpoint

import (
	"hash/maphash"
	"slices"
)

// maxRecentIDs bounds the IDs that are kept of a connection's requests. Late copies of earlier responses are
// dropped as surplus ones, of which a request takes few.
const maxRecentIDs = 16

// recentIDs are the latest IDs of requests, as hashes: callers may choose long ones.
type recentIDs struct {
	hashes []uint64
	// next is the index of the oldest hash once there are maxRecentIDs.
	next int
}

var idSeed = maphash.MakeSeed()

// add adds the ID of a request, if it has one.
func (r *recentIDs) add(id string) {
	if id == "" {
		return
	}
	hash := maphash.String(idSeed, id)
	if len(r.hashes) < maxRecentIDs {
		r.hashes = append(r.hashes, hash)
		return
	}
	r.hashes[r.next] = hash
	r.next = (r.next + 1) % maxRecentIDs
}

// has reports whether an ID is one of the latest.
func (r *recentIDs) has(id string) bool {
	return id != "" && slices.Contains(r.hashes, maphash.String(idSeed, id))
}
