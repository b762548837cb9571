package lwtfaultsim

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"lacewingtide/core/lwtclaim"
)

// claimPatience is the time after which a request gives up its claim.
const claimPatience = 2500 * time.Millisecond

// daemon is one daemon. It forgets everything when it dies.
type daemon struct {
	world *world
	name  string
	model lwtclaim.Model
	open  map[string]*trial
	keys  []string
	dead  bool
}

func (world *world) bootDaemon() *daemon {
	world.boots++
	name := fmt.Sprint("d", world.boots)
	return &daemon{
		world: world, name: name, open: map[string]*trial{}, model: lwtclaim.New(name, world.experiment.ClaimOptions),
	}
}

// kill ends a daemon. Its callers see their connections break.
func (daemon *daemon) kill() {
	world := daemon.world
	daemon.dead = true
	world.daemons[slices.Index(world.daemons, daemon)] = world.bootDaemon()
	for _, key := range daemon.keys {
		world.excused[key] = world.excused[key] || daemon.model.Holds(key)
	}
	for _, nonce := range slices.Sorted(maps.Keys(daemon.open)) {
		daemon.end(daemon.open[nonce], "unknown")
	}
}

// update feeds the model and carries out its commands. The daemon may die
// before any of them.
func (daemon *daemon) update(msg lwtclaim.Msg) {
	if daemon.dead {
		return
	}
	world := daemon.world
	var cmds []lwtclaim.Cmd
	daemon.model, cmds = daemon.model.Update(world.now, msg)
	for _, cmd := range cmds {
		if world.chance(world.experiment.FaultRate / 100) {
			daemon.kill()
			return
		}
		switch cmd := cmd.(type) {
		case lwtclaim.Commit:
			daemon.commit(cmd)
		case lwtclaim.ScheduleTick:
			world.after(max(0, cmd.At.Sub(world.now)), func() { daemon.update(lwtclaim.Tick{}) })
		case lwtclaim.OpenResult:
			daemon.answer(cmd)
		}
	}
}

// commit sends a batch to the table, or to a collector.
func (daemon *daemon) commit(cmd lwtclaim.Commit) {
	world := daemon.world
	if len(world.collectors) == 0 {
		world.send(cmd, daemon.update)
		return
	}
	submit := lwtclaim.Submit{From: daemon.name, Batch: cmd.Batch, Writes: cmd.Writes}
	chosen := world.collectors[world.random.IntN(len(world.collectors))]
	answered := false
	answer := func(msg lwtclaim.Msg) {
		if !answered {
			answered = true
			daemon.update(msg)
		}
	}
	world.after(world.between(hopLeast, hopMost), func() { chosen.submit(submit, answer) })
	if world.experiment.FaultRate > 0 {
		// A collector that died gives no answer.
		world.after(platformTimeout, func() { answer(lwtclaim.CommitUnknown{Batch: cmd.Batch}) })
	}
}

// collector is a daemon in its part as collector of others' claims.
type collector struct {
	world   *world
	model   lwtclaim.Collector
	answers map[string]func(lwtclaim.Msg)
	dead    bool
}

func (world *world) bootCollector() *collector {
	world.boots++
	return &collector{
		world: world, model: lwtclaim.NewCollector(world.experiment.CollectorOptions),
		answers: map[string]func(lwtclaim.Msg){},
	}
}

func (collector *collector) submit(submit lwtclaim.Submit, answer func(lwtclaim.Msg)) {
	collector.answers[fmt.Sprint(submit.From, " ", submit.Batch)] = answer
	collector.update(submit)
}

func (collector *collector) update(msg lwtclaim.Msg) {
	if collector.dead {
		return
	}
	world := collector.world
	var cmds []lwtclaim.Cmd
	collector.model, cmds = collector.model.Update(world.now, msg)
	for _, cmd := range cmds {
		if world.chance(world.experiment.FaultRate / 100) {
			collector.dead = true
			world.collectors[slices.Index(world.collectors, collector)] = world.bootCollector()
			return
		}
		switch cmd := cmd.(type) {
		case lwtclaim.Commit:
			world.send(cmd, collector.update)
		case lwtclaim.ScheduleTick:
			world.after(max(0, cmd.At.Sub(world.now)), func() { collector.update(lwtclaim.Tick{}) })
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
	name := fmt.Sprint(reply.To, " ", batch)
	answer := collector.answers[name]
	delete(collector.answers, name)
	collector.world.after(collector.world.between(hopLeast, hopMost), func() { answer(reply.Msg) })
}
