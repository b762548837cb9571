package lwtdaemon

import "lacewingtide/io/lwtoperator"

// StatusRegistry returns the registry to which parts add entries of the status.
func (daemon *Daemon) StatusRegistry() *lwtoperator.StatusRegistry { return daemon.status }

// OperatorServer returns the operators' server, to which parts add paths before Run.
func (daemon *Daemon) OperatorServer() *lwtoperator.Server { return daemon.operator }
