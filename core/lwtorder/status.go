package lwtorder

// EngineStatus describes an engine for operators.
type EngineStatus struct {
	Engine      string  `json:"engine"`
	Phase       Phase   `json:"phase"`
	Reason      string  `json:"reason,omitempty"`
	Incarnation int64   `json:"incarnation"`
	Running     int     `json:"running"`
	Content     Content `json:"content"`
	Target      Content `json:"target"`
	// Last is the last order that the engine says it accepted.
	Last Number `json:"last-order"`
	// Drained says that the declared state marks the engine as draining and no
	// stream runs on it, so that it can be removed.
	Drained bool `json:"drained"`
}

// Status returns the status of each engine, sorted by name.
func (model Model) Status() []EngineStatus {
	status := make([]EngineStatus, 0, len(model.names))
	for _, name := range model.names {
		engine := model.engines[name]
		status = append(status, EngineStatus{
			Engine: name, Phase: engine.phase, Reason: engine.reason,
			Incarnation: engine.state.Incarnation, Running: engine.state.Running,
			Content: engine.state.Content, Target: engine.target, Last: engine.state.Last,
			Drained: engine.declared.Draining && engine.phase == PhaseSteady && engine.state.Running == 0,
		})
	}
	return status
}

// Draining returns the engines that must get no new work because of a change,
// sorted by name.
func (model Model) Draining() []string {
	var names []string
	for _, name := range model.names {
		if model.engines[name].out {
			names = append(names, name)
		}
	}
	return names
}
