package lwtdaemon

import "lacewingtide/io/lwtoperator"

// StatusRegistry returns the registry of the entries in the daemon's status.
func (daemon *Daemon) StatusRegistry() *lwtoperator.StatusRegistry { return daemon.status }

// OperatorServer returns the server for operators. Handlers for further paths can be
// added before Run.
func (daemon *Daemon) OperatorServer() *lwtoperator.Server { return daemon.operator }
