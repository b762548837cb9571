package lwtdeclaredstate

// Change is the content of an accepted ticket: the complete new state of each
// object that it changes.
type Change struct {
	// Revision is the revision of the state that the change creates.
	Revision   int64       `json:"number"               toml:"-"`
	Engines    []Engine    `json:"engines,omitempty"    toml:"engine,omitempty"`
	Models     []Model     `json:"models,omitempty"     toml:"model,omitempty"`
	Adapters   []Adapter   `json:"adapters,omitempty"   toml:"adapter,omitempty"`
	Callers    []Caller    `json:"callers,omitempty"    toml:"caller,omitempty"`
	Services   []Service   `json:"services,omitempty"   toml:"service,omitempty"`
	Objectives []Objective `json:"objectives,omitempty" toml:"objective,omitempty"`
	// Remove lists the objects that are deleted.
	Remove []ObjectID `json:"remove,omitempty" toml:"remove,omitempty"`
}

// WithRevision returns the change with another revision.
func (change Change) WithRevision(revision int64) Change {
	change.Revision = revision
	return change
}

// ObjectIDs returns the identifiers of all objects that are changed or removed, in
// the order of the fields.
func (change Change) ObjectIDs() []ObjectID {
	var ids []ObjectID
	ids = appendIDs(ids, KindEngine, change.Engines, Engine.key)
	ids = appendIDs(ids, KindModel, change.Models, Model.key)
	ids = appendIDs(ids, KindAdapter, change.Adapters, Adapter.key)
	ids = appendIDs(ids, KindCaller, change.Callers, Caller.key)
	ids = appendIDs(ids, KindService, change.Services, Service.key)
	for _, objective := range change.Objectives {
		ids = append(ids, NewObjectID(KindObjective, string(objective.Class)))
	}
	return append(ids, change.Remove...)
}

func appendIDs[V any](ids []ObjectID, kind Kind, values []V, key func(V) string) []ObjectID {
	for _, value := range values {
		ids = append(ids, NewObjectID(kind, key(value)))
	}
	return ids
}
