package lwtfaultsim

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"lacewingtide/core/lwtclaim"
)

// claimTimeout is the time within which a request must get its claim.
const claimTimeout = 2500 * time.Millisecond

// daemon is one daemon. It loses its state when it crashes.
type daemon struct {
	simulation   *simulation
	name         string
	model        lwtclaim.Model
	openRequests map[string]*callerRequest
	keys         []string
	crashed      bool
}

func (simulation *simulation) startDaemon() *daemon {
	simulation.startCount++
	name := fmt.Sprint("d", simulation.startCount)
	return &daemon{
		simulation: simulation, name: name, openRequests: map[string]*callerRequest{},
		model: lwtclaim.New(name, simulation.experiment.ClaimOptions),
	}
}

// crash replaces a daemon with a new one. Its callers see their connections break.
func (daemon *daemon) crash() {
	simulation := daemon.simulation
	daemon.crashed = true
	simulation.daemons[slices.Index(simulation.daemons, daemon)] = simulation.startDaemon()
	for _, key := range daemon.keys {
		simulation.mayStayOpen[key] = simulation.mayStayOpen[key] || daemon.model.Holds(key)
	}
	for _, nonce := range slices.Sorted(maps.Keys(daemon.openRequests)) {
		daemon.endRequest(daemon.openRequests[nonce], "unknown")
	}
}

// update passes a message to the model and executes its commands. The daemon may
// crash before any of them.
func (daemon *daemon) update(msg lwtclaim.Msg) {
	if daemon.crashed {
		return
	}
	simulation := daemon.simulation
	var cmds []lwtclaim.Cmd
	daemon.model, cmds = daemon.model.Update(simulation.now, msg)
	for _, cmd := range cmds {
		if simulation.chance(simulation.experiment.FaultRate / 100) {
			daemon.crash()
			return
		}
		switch cmd := cmd.(type) {
		case lwtclaim.Commit:
			daemon.commit(cmd)
		case lwtclaim.ScheduleTick:
			simulation.after(max(0, cmd.At.Sub(simulation.now)), func() { daemon.update(lwtclaim.Tick{}) })
		case lwtclaim.OpenResult:
			daemon.handleOpenResult(cmd)
		}
	}
}

// commit sends a batch to the table or, if there are collectors, to one of them.
func (daemon *daemon) commit(cmd lwtclaim.Commit) {
	simulation := daemon.simulation
	if len(simulation.collectors) == 0 {
		simulation.sendBatch(cmd, daemon.update)
		return
	}
	submit := lwtclaim.Submit{From: daemon.name, Batch: cmd.Batch, Writes: cmd.Writes}
	collector := simulation.collectors[simulation.random.IntN(len(simulation.collectors))]
	answered := false
	reply := func(msg lwtclaim.Msg) {
		if !answered {
			answered = true
			daemon.update(msg)
		}
	}
	simulation.after(simulation.between(minHopLatency, maxHopLatency), func() { collector.submit(submit, reply) })
	if simulation.experiment.FaultRate > 0 {
		// A collector that crashed sends no reply.
		simulation.after(platformTimeout, func() { reply(lwtclaim.CommitUnknown{Batch: cmd.Batch}) })
	}
}

// collector is a daemon in its role as collector of the claims of other daemons.
type collector struct {
	simulation    *simulation
	model         lwtclaim.Collector
	replyHandlers map[string]func(lwtclaim.Msg)
	crashed       bool
}

func (simulation *simulation) startCollector() *collector {
	simulation.startCount++
	return &collector{
		simulation: simulation, model: lwtclaim.NewCollector(simulation.experiment.CollectorOptions),
		replyHandlers: map[string]func(lwtclaim.Msg){},
	}
}

func (collector *collector) submit(submit lwtclaim.Submit, handler func(lwtclaim.Msg)) {
	collector.replyHandlers[fmt.Sprint(submit.From, " ", submit.Batch)] = handler
	collector.update(submit)
}

func (collector *collector) update(msg lwtclaim.Msg) {
	if collector.crashed {
		return
	}
	simulation := collector.simulation
	var cmds []lwtclaim.Cmd
	collector.model, cmds = collector.model.Update(simulation.now, msg)
	for _, cmd := range cmds {
		if simulation.chance(simulation.experiment.FaultRate / 100) {
			collector.crashed = true
			simulation.collectors[slices.Index(simulation.collectors, collector)] = simulation.startCollector()
			return
		}
		switch cmd := cmd.(type) {
		case lwtclaim.Commit:
			simulation.sendBatch(cmd, collector.update)
		case lwtclaim.ScheduleTick:
			simulation.after(max(0, cmd.At.Sub(simulation.now)), func() { collector.update(lwtclaim.Tick{}) })
		case lwtclaim.Reply:
			collector.reply(cmd)
		}
	}
}

func (collector *collector) reply(reply lwtclaim.Reply) {
	var batch uint64
	switch msg := reply.Msg.(type) {
	case lwtclaim.Committed:
		batch = msg.Batch
	case lwtclaim.Conflicted:
		batch = msg.Batch
	case lwtclaim.CommitUnknown:
		batch = msg.Batch
	}
	key := fmt.Sprint(reply.To, " ", batch)
	handler := collector.replyHandlers[key]
	delete(collector.replyHandlers, key)
	collector.simulation.after(collector.simulation.between(minHopLatency, maxHopLatency), func() { handler(reply.Msg) })
}
