package lwtdaemon

import "lacewingtide/io/lwtoperator"

// Connect joins the daemon's declared state with the other daemons. Without
// peers the daemon follows the store alone.
func (daemon *Daemon) Connect(peers Peers) { daemon.declared.connect(peers) }

// PeerNumber takes the configuration number that another message of a peer
// carried, for example a digest. It does not block.
func (daemon *Daemon) PeerNumber(member string, number int64) {
	daemon.declared.peerNumber(member, number)
}

// Status returns the registry to which parts add entries of the status.
func (daemon *Daemon) Status() *lwtoperator.Status { return daemon.status }

// Operator returns the operators' server, to which parts add paths before Run.
func (daemon *Daemon) Operator() *lwtoperator.Server { return daemon.operator }
