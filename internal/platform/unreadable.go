package platform

import "sync"

// UnreadableValue is a stored value that is not valid, with the reason.
type UnreadableValue struct {
	KeyValue
	Err error
}

// UnreadableValues holds the unreadable values of one list that were reported, so
// that repeated reads report each value once. It is safe for concurrent use; the
// zero value is empty.
type UnreadableValues struct {
	mu       sync.Mutex
	reported map[string]Revision
}

// Update records the unreadable values of the list and returns those that the
// previous update did not have. Others are forgotten, which bounds the memory by
// the size of the list.
func (u *UnreadableValues) Update(current []UnreadableValue) []UnreadableValue {
	u.mu.Lock()
	defer u.mu.Unlock()
	previous := u.reported
	u.reported = make(map[string]Revision, len(current))
	var added []UnreadableValue
	for _, v := range current {
		u.reported[v.Key] = v.ModRevision
		if previous[v.Key] != v.ModRevision {
			added = append(added, v)
		}
	}
	return added
}
