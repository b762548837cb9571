package lwtorder

// EngineStatus describes an engine for operators.
type EngineStatus struct {
	Engine        string       `json:"engine"`
	Phase         Phase        `json:"phase"`
	Reason        string       `json:"reason,omitempty"`
	Incarnation   int64        `json:"incarnation"`
	ActiveStreams int          `json:"running"`
	Config        EngineConfig `json:"content"`
	Target        EngineConfig `json:"target"`
	// LastOrder is the last accepted order as reported by the engine.
	LastOrder OrderNumber `json:"last-order"`
	// Drained says that the engine is declared as draining and has no active
	// streams, so that it can be removed.
	Drained bool `json:"drained"`
}

// Status returns the status of each engine, sorted by name.
func (model Model) Status() []EngineStatus {
	status := make([]EngineStatus, 0, len(model.names))
	for _, name := range model.names {
		engine := model.engines[name]
		status = append(status, EngineStatus{
			Engine: name, Phase: engine.phase, Reason: engine.reason,
			Incarnation: engine.state.Incarnation, ActiveStreams: engine.state.ActiveStreams,
			Config: engine.state.Config, Target: engine.target, LastOrder: engine.state.LastOrder,
			Drained: engine.declared.Draining && engine.phase == PhaseSteady && engine.state.ActiveStreams == 0,
		})
	}
	return status
}

// Draining returns the names of the engines that must get no new requests
// because of a pending change, sorted.
func (model Model) Draining() []string {
	var names []string
	for _, name := range model.names {
		if model.engines[name].markedDraining {
			names = append(names, name)
		}
	}
	return names
}
