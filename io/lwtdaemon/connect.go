package lwtdaemon

import (
	"context"

	"lacewingtide/io/lwtoperator"
)

// Connect joins the daemon's declared state with the other daemons. Without
// peers the daemon follows the store alone.
func (daemon *Daemon) Connect(ctx context.Context, peers Peers) { daemon.declared.connect(ctx, peers) }

// Status returns the registry to which parts add entries of the status.
func (daemon *Daemon) Status() *lwtoperator.Status { return daemon.status }

// Operator returns the operators' server, to which parts add paths before Run.
func (daemon *Daemon) Operator() *lwtoperator.Server { return daemon.operator }
