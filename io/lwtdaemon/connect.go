package lwtdaemon

import "lacewingtide/io/lwtoperator"

// Status returns the registry to which parts add entries of the status.
func (daemon *Daemon) Status() *lwtoperator.Status { return daemon.status }

// Operator returns the operators' server, to which parts add paths before Run.
func (daemon *Daemon) Operator() *lwtoperator.Server { return daemon.operator }
