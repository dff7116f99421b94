package platform

import (
	"encoding/json"
	"sort"
	"sync"

	"github.com/rosemarywall/rosemarywall/internal/objectapi"
)

type objectKey struct {
	kind objectapi.Kind
	name string
}

// store holds the objects. One version counter covers all changes.
type store struct {
	mu      sync.Mutex
	version objectapi.Version
	objects map[objectKey]objectapi.Object
	// deleted holds the version of the deletion of each deleted object.
	deleted map[objectKey]objectapi.Object
	// latest is the version of the last change of each kind.
	latest  map[objectapi.Kind]objectapi.Version
	changed chan struct{} // closed at the next change
}

func newStore() *store {
	return &store{
		objects: map[objectKey]objectapi.Object{}, deleted: map[objectKey]objectapi.Object{},
		latest: map[objectapi.Kind]objectapi.Version{}, changed: make(chan struct{}),
	}
}

func (s *store) get(key objectKey) (objectapi.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	return object, ok
}

// put stores a value; false means that the version differs, with the current
// object as the result.
func (s *store) put(key objectKey, value json.RawMessage, ifVersion *objectapi.Version) (objectapi.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.objects[key]
	if ifVersion != nil && current.Version != *ifVersion {
		if current.Version == 0 {
			current.Kind, current.Name = key.kind, key.name
		}
		return current, false
	}
	s.advanceLocked(key.kind)
	object := objectapi.Object{Kind: key.kind, Name: key.name, Version: s.version, Value: value}
	s.objects[key] = object
	delete(s.deleted, key)
	return object, true
}

// remove deletes an object; present is false when there is none, and done is
// false when the version differs.
func (s *store) remove(key objectKey, ifVersion *objectapi.Version) (current objectapi.Object, present, done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, present = s.objects[key]
	if !present || (ifVersion != nil && current.Version != *ifVersion) {
		return current, present, false
	}
	s.advanceLocked(key.kind)
	delete(s.objects, key)
	s.deleted[key] = objectapi.Object{Kind: key.kind, Name: key.name, Version: s.version}
	return current, true, true
}

func (s *store) advanceLocked(kind objectapi.Kind) {
	s.version++
	s.latest[kind] = s.version
	s.notifyLocked()
}

func (s *store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// wake ends the waits of watches, which then look at the faults again.
func (s *store) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyLocked()
}

// changes returns what changed in the kinds after a version, whether anything
// did, and a channel that is closed at the next change.
func (s *store) changes(kinds []objectapi.Kind, after objectapi.Version) (objectapi.Changes, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := objectapi.Changes{Objects: []objectapi.Object{}, Deleted: []objectapi.Object{}, Version: s.version}
	wanted := map[objectapi.Kind]bool{}
	for _, kind := range kinds {
		wanted[kind] = s.latest[kind] > after
	}
	changes.Objects = collect(s.objects, wanted, after)
	changes.Deleted = collect(s.deleted, wanted, after)
	return changes, len(changes.Objects)+len(changes.Deleted) > 0, s.changed
}

func collect(from map[objectKey]objectapi.Object, wanted map[objectapi.Kind]bool, after objectapi.Version) []objectapi.Object {
	found := []objectapi.Object{}
	any := false
	for _, changed := range wanted {
		any = any || changed
	}
	if !any {
		return found
	}
	for key, object := range from {
		if wanted[key.kind] && object.Version > after {
			found = append(found, object)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Version < found[j].Version })
	return found
}
