package lwtdemo

// ConnectionInfo holds the addresses and keys of a running deployment, and the
// models and services that its caller may use.
type ConnectionInfo struct {
	EntryAddresses    []string `json:"entry-addresses"`
	OperatorAddresses []string `json:"operator-addresses"`
	CallerKey         string   `json:"caller-key"`
	OperatorKey       string   `json:"operator-key"`
	Models            []string `json:"models"`
	Services          []string `json:"services"`
}

// ConnectionInfo returns the addresses and keys of the deployment.
func (fleet *Fleet) ConnectionInfo() ConnectionInfo {
	return ConnectionInfo{
		EntryAddresses:    fleet.EntryAddresses(),
		OperatorAddresses: fleet.OperatorAddresses(),
		CallerKey:         callerKey,
		OperatorKey:       operatorKey,
		Models:            []string{fleet.layout.Model},
		Services:          []string{shopService},
	}
}
