package lwtorder_test

import (
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtorder"
)

// script drives a world by lines of the form "TIME COMMAND ARGUMENTS". The
// daemons start after the lines of time 0. Commands
// named expect-... check; all others act. "holder" stands for the daemon that
// holds the lease of group g1 at that moment.
type script struct {
	t     *testing.T
	name  string
	world *world
	// models are declared besides the engines.
	models []lwtdeclaredstate.Model
}

type line struct {
	at   time.Duration
	args []string
}

func parseLines(t *testing.T, text string) []line {
	t.Helper()
	var lines []line
	for text := range strings.Lines(text) {
		fields := strings.Fields(text)
		if len(fields) < 2 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		at, err := time.ParseDuration(fields[0])
		if err != nil {
			t.Fatalf("line %q: %v", text, err)
		}
		lines = append(lines, line{at, fields[1:]})
	}
	return lines
}

// runScript runs lines in the order of their times and then checks that no
// guarantee was violated.
func runScript(t *testing.T, name string, seed uint64, lines []line) *world {
	t.Helper()
	world := newWorld(seed, 3)
	runLines(t, name, world, lines)
	for _, violation := range world.violations {
		t.Errorf("%s: %s", name, violation)
	}
	return world
}

func runLines(t *testing.T, name string, world *world, lines []line) {
	t.Helper()
	script := script{t: t, name: name, world: world}
	slices.SortStableFunc(lines, func(a, b line) int { return int(a.at - b.at) })
	for _, line := range lines {
		if line.at > 0 && script.world.now.Equal(script.world.start) {
			script.world.boot()
		}
		script.world.runUntil(line.at)
		script.execute(line)
	}
}

func (script *script) execute(line line) {
	script.t.Helper()
	if command, args := line.args[0], line.args[1:]; strings.HasPrefix(command, "expect-") {
		if problem := script.check(command, args); problem != "" {
			script.t.Errorf("%s at %s: %s: %s", script.name, line.at, strings.Join(line.args, " "), problem)
		}
	} else if !script.act(command, args) && !script.actOnEngine(command, args) {
		script.t.Fatalf("%s: no command %q", script.name, command)
	}
}

func (script *script) duration(text string) time.Duration {
	duration, err := time.ParseDuration(text)
	if err != nil {
		script.t.Fatal(err)
	}
	return duration
}

func (script *script) until(text string) time.Time {
	return script.world.now.Add(script.duration(text))
}

func (script *script) daemon(name string) *daemon {
	for _, daemon := range script.world.daemons {
		if daemon.name == name {
			return daemon
		}
	}
	if holder := script.world.holder("g1"); holder != nil && name == "holder" {
		return holder
	}
	return script.world.daemons[0]
}

func (script *script) act(command string, args []string) bool {
	world := script.world
	switch command {
	case "models":
		for _, name := range args {
			script.models = append(script.models, lwtdeclaredstate.Model{Name: name, Version: "1", MemoryBlocks: 10})
		}
	case "engine", "ticket":
		script.ticket(args)
	case "remove":
		world.declare(world.state.WithChange(lwtdeclaredstate.Change{
			Revision: world.state.Revision + 1, Remove: []lwtdeclaredstate.ObjectID{lwtdeclaredstate.NewObjectID(lwtdeclaredstate.KindEngine, args[0])},
		}))
	case "kill":
		script.daemon(args[0]).dead = true
		world.announce(memberLag)
	case "boot":
		script.daemon(args[0]).boot()
		world.announce(time.Second)
	case "shutdown":
		daemon := script.daemon(args[0])
		daemon.stop = true
		for _, group := range daemon.groups() {
			daemon.update(group, nil, lwtorder.Stop{})
		}
	case "pause":
		script.daemon(args[0]).paused = script.until(args[1])
	case "pause-after-check":
		script.daemon(args[0]).atCheck = script.duration(args[1])
	case "cut":
		script.daemon(args[0]).cut = script.until(args[1])
	case "store-down":
		world.storeDown = script.until(args[0])
	case "store-slow":
		world.slowBy, world.storeSlow = script.duration(args[0]), script.until(args[1])
	case "store-lose":
		world.loseNext, _ = strconv.Atoi(args[0])
	case "lag-declared":
		for _, daemon := range world.daemons {
			if daemon != script.daemon("holder") {
				daemon.lag = script.duration(args[1])
			}
		}
	case "watch":
		world.watch(args[0])
	case "role":
		script.daemon("holder").update("g1", nil, lwtorder.RoleRequested{Engine: args[0], Role: lwtdeclaredstate.Role(args[1])})
	default:
		return false
	}
	return true
}

func (script *script) actOnEngine(command string, args []string) bool {
	engine := script.world.engines[args[0]]
	switch command {
	case "streams":
		engine.state.ActiveStreams, _ = strconv.Atoi(args[1])
	case "crash-halfway":
		engine.crashNext = true
	case "restart":
		engine.restart(script.duration(args[1]))
	case "alter":
		engine.state.Config.Models = map[string]string{args[1]: "1"}
	case "silent":
		engine.silent = script.until(args[1])
	case "pause-engine":
		engine.paused = script.until(args[1])
	case "delay-body":
		engine.bodyDelay = script.duration(args[1])
	case "lose-order-answer":
		engine.loseNext = true
	default:
		return false
	}
	return true
}

// ticket declares engines, separated by "&". A new engine starts with the
// declared content.
func (script *script) ticket(args []string) {
	world := script.world
	change := lwtdeclaredstate.Change{Revision: world.state.Revision + 1, Models: script.models}
	for len(args) > 0 {
		end := slices.Index(args, "&")
		if end < 0 {
			end = len(args)
		}
		change.Engines = append(change.Engines, script.engine(args[0], args[1:end]))
		args = args[min(end+1, len(args)):]
	}
	state := world.state.WithChange(change)
	for _, engine := range change.Engines {
		if world.engines[engine.Name] == nil {
			fake := &fakeEngine{world: world, name: engine.Name, state: lwtorder.EngineState{Incarnation: 1}}
			fake.state.Config = lwtorder.DeclaredConfig(state, engine, engine.Role)
			world.engines[engine.Name] = fake
			fake.work()
		}
	}
	world.declare(state)
}

// engine returns the declaration of an engine after settings of the form
// KEY=VALUE.
func (script *script) engine(name string, settings []string) lwtdeclaredstate.Engine {
	world := script.world
	engine, found := world.state.Engines[name]
	if !found {
		engine = lwtdeclaredstate.Engine{Name: name, Address: name, Group: "g1", Role: lwtdeclaredstate.RoleMixed, MemoryBlocks: 20}
	}
	for _, setting := range settings {
		key, value, _ := strings.Cut(setting, "=")
		switch key {
		case "group":
			engine.Group = value
		case "role":
			engine.Role = lwtdeclaredstate.Role(value)
		case "planner":
			engine.PlannerRoles = append(engine.PlannerRoles, lwtdeclaredstate.Role(value))
		case "models":
			engine.Models = strings.Split(value, ",")
		case "memory":
			engine.MemoryBlocks, _ = strconv.Atoi(value)
		case "checks":
			engine.ChecksFencing = true
		case "timeout":
			engine.OrderReadTimeout = lwtdeclaredstate.Duration(script.duration(value))
		case "draining":
			engine.Draining = value == "true"
		case "deadline":
			engine.DrainDeadline = lwtdeclaredstate.Duration(script.duration(value))
		default:
			script.t.Fatalf("no setting %q", key)
		}
	}
	return engine
}

func (script *script) check(command string, args []string) string {
	world := script.world
	switch command {
	case "expect-nothing":
	case "expect-converged":
		return world.difference()
	case "expect-models":
		engine := world.engines[args[0]]
		if got := strings.Join(slices.Sorted(maps.Keys(engine.state.Config.Models)), ","); got != args[1] {
			return "got " + got
		}
	case "expect-role":
		if got := world.engines[args[0]].state.Config.Role; string(got) != args[1] {
			return "got " + string(got)
		}
	case "expect-orders":
		if got := fmt.Sprint(len(world.engines[args[0]].accepted)); got != args[1] {
			return "got " + got
		}
	case "expect-interrupted":
		if got := fmt.Sprint(world.engines[args[0]].interrupted); got != args[1] {
			return "got " + got
		}
	case "expect-serving":
		if got := fmt.Sprint(world.serving(args[0])); got != args[1] {
			return "got " + got
		}
	case "expect-least-serving":
		if got := fmt.Sprint(world.least[args[0]]); got != args[1] {
			return "got " + got
		}
	case "expect-most-changing":
		if got := fmt.Sprint(world.mostChanging); got != args[0] {
			return "got " + got
		}
	case "expect-first-order":
		first := slices.MinFunc(slices.Collect(maps.Values(world.engines)), func(a, b *fakeEngine) int {
			return a.firstNumber().Compare(b.firstNumber())
		})
		if first.name != args[0] {
			return "got " + first.name
		}
	case "expect-fencing":
		if got := fmt.Sprint(world.rows["lease/g1"].Fencing); got != args[0] {
			return "got " + got
		}
	case "expect-reason":
		return script.checkReason(args[0], strings.Join(args[1:], " "))
	default:
		script.t.Fatalf("no command %q", command)
	}
	return ""
}

func (script *script) checkReason(name, want string) string {
	holder := script.daemon("holder")
	for _, status := range holder.orders[script.world.state.Engines[name].Group].Status() {
		if status.Engine == name {
			if status.Reason != want {
				return fmt.Sprintf("got phase %s, reason %q", status.Phase, status.Reason)
			}
			return ""
		}
	}
	return "the holder does not know the engine"
}

// difference names an engine that is not as declared, or returns "".
func (world *world) difference() string {
	for _, name := range slices.Sorted(maps.Keys(world.state.Engines)) {
		declared := world.state.Engines[name]
		state := world.engines[name].state
		if want := lwtorder.DeclaredConfig(world.state, declared, declared.Role); state.Reconfiguring || !state.Config.Equal(want) {
			return fmt.Sprintf("%s: got %+v, want %+v", name, state, want)
		}
	}
	return ""
}

// TestScripts guards against faults that a scripted sequence of events shows;
// each script says in its first lines which.
func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/script/*.txtar")
	if err != nil || len(paths) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txtar"), func(t *testing.T) {
			t.Parallel()
			archive, err := txtar.ParseFile(path)
			if err != nil {
				t.Fatal(err)
			}
			for _, file := range archive.Files {
				runScript(t, file.Name, 1, parseLines(t, string(file.Data)))
			}
		})
	}
}
