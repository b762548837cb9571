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

// script drives a simulation by lines of the form "TIME COMMAND ARGUMENTS". The
// daemons start after the lines of time 0. Commands named expect-... check the
// simulation; all others change it. "holder" is the daemon that holds the lease
// of group g1 at that time.
type script struct {
	t          *testing.T
	name       string
	simulation *simulation
	// models are declared together with the engines.
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

// runScript runs the lines in the order of their times and reports each
// violated guarantee.
func runScript(t *testing.T, name string, seed uint64, lines []line) *simulation {
	t.Helper()
	simulation := newSimulation(seed, 3)
	runLines(t, name, simulation, lines)
	for _, violation := range simulation.violations {
		t.Errorf("%s: %s", name, violation)
	}
	return simulation
}

func runLines(t *testing.T, name string, simulation *simulation, lines []line) {
	t.Helper()
	script := script{t: t, name: name, simulation: simulation}
	slices.SortStableFunc(lines, func(a, b line) int { return int(a.at - b.at) })
	for _, line := range lines {
		if line.at > 0 && script.simulation.now.Equal(script.simulation.start) {
			script.simulation.boot()
		}
		script.simulation.runUntil(line.at)
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

func (script *script) deadline(text string) time.Time {
	return script.simulation.now.Add(script.duration(text))
}

func (script *script) daemon(name string) *daemon {
	for _, daemon := range script.simulation.daemons {
		if daemon.name == name {
			return daemon
		}
	}
	if holder := script.simulation.holder("g1"); holder != nil && name == "holder" {
		return holder
	}
	return script.simulation.daemons[0]
}

func (script *script) act(command string, args []string) bool {
	simulation := script.simulation
	switch command {
	case "models":
		for _, name := range args {
			script.models = append(script.models, lwtdeclaredstate.Model{Name: name, Version: "1", MemoryBlocks: 10})
		}
	case "engine", "ticket":
		script.ticket(args)
	case "remove":
		simulation.declare(simulation.state.WithChange(lwtdeclaredstate.Change{
			Revision: simulation.state.Revision + 1,
			Remove:   []lwtdeclaredstate.ObjectID{lwtdeclaredstate.NewObjectID(lwtdeclaredstate.KindEngine, args[0])},
		}))
	case "kill":
		script.daemon(args[0]).dead = true
		simulation.announce(memberDetectionDelay)
	case "boot":
		script.daemon(args[0]).boot()
		simulation.announce(time.Second)
	case "shutdown":
		daemon := script.daemon(args[0])
		daemon.stopping = true
		for _, group := range daemon.groups() {
			daemon.update(group, nil, lwtorder.Stop{})
		}
	case "pause":
		script.daemon(args[0]).pausedUntil = script.deadline(args[1])
	case "pause-after-check":
		script.daemon(args[0]).pauseAfterCheck = script.duration(args[1])
	case "cut":
		script.daemon(args[0]).partitionedUntil = script.deadline(args[1])
	case "store-down":
		simulation.storeDownUntil = script.deadline(args[0])
	case "store-slow":
		simulation.maxStoreDelay, simulation.storeSlowUntil = script.duration(args[0]), script.deadline(args[1])
	case "store-lose":
		simulation.responsesToLose, _ = strconv.Atoi(args[0])
	case "lag-declared":
		for _, daemon := range simulation.daemons {
			if daemon != script.daemon("holder") {
				daemon.declaredStateLag = script.duration(args[1])
			}
		}
	case "watch":
		simulation.watch(args[0])
	case "role":
		script.daemon("holder").
			update("g1", nil, lwtorder.RoleRequested{Engine: args[0], Role: lwtdeclaredstate.Role(args[1])})
	default:
		return false
	}
	return true
}

func (script *script) actOnEngine(command string, args []string) bool {
	engine := script.simulation.engines[args[0]]
	switch command {
	case "streams":
		engine.state.ActiveStreams, _ = strconv.Atoi(args[1])
	case "crash-halfway":
		engine.crashNextChange = true
	case "restart":
		engine.restart(script.duration(args[1]))
	case "alter":
		engine.state.Config.Models = map[string]string{args[1]: "1"}
	case "silent":
		engine.silentUntil = script.deadline(args[1])
	case "pause-engine":
		engine.pausedUntil = script.deadline(args[1])
	case "delay-body":
		engine.bodyDelay = script.duration(args[1])
	case "lose-order-answer":
		engine.loseNextResponse = true
	default:
		return false
	}
	return true
}

// ticket declares engines, separated by "&". A new engine starts with its
// declared configuration.
func (script *script) ticket(args []string) {
	simulation := script.simulation
	change := lwtdeclaredstate.Change{Revision: simulation.state.Revision + 1, Models: script.models}
	for len(args) > 0 {
		end := slices.Index(args, "&")
		if end < 0 {
			end = len(args)
		}
		change.Engines = append(change.Engines, script.engine(args[0], args[1:end]))
		args = args[min(end+1, len(args)):]
	}
	state := simulation.state.WithChange(change)
	for _, engine := range change.Engines {
		if simulation.engines[engine.Name] == nil {
			fake := &fakeEngine{simulation: simulation, name: engine.Name, state: lwtorder.EngineState{Incarnation: 1}}
			fake.state.Config = lwtorder.DeclaredConfig(state, engine, engine.Role)
			simulation.engines[engine.Name] = fake
			fake.endStreams()
		}
	}
	simulation.declare(state)
}

// engine returns the declaration of an engine with settings of the form
// KEY=VALUE applied.
func (script *script) engine(name string, settings []string) lwtdeclaredstate.Engine {
	simulation := script.simulation
	engine, found := simulation.state.Engines[name]
	if !found {
		engine = lwtdeclaredstate.Engine{
			Name: name, Address: name, Group: "g1", Role: lwtdeclaredstate.RoleMixed, MemoryBlocks: 20,
		}
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
	simulation := script.simulation
	switch command {
	case "expect-nothing":
	case "expect-converged":
		return simulation.difference()
	case "expect-models":
		engine := simulation.engines[args[0]]
		if got := strings.Join(slices.Sorted(maps.Keys(engine.state.Config.Models)), ","); got != args[1] {
			return "got " + got
		}
	case "expect-role":
		if got := simulation.engines[args[0]].state.Config.Role; string(got) != args[1] {
			return "got " + string(got)
		}
	case "expect-orders":
		if got := fmt.Sprint(len(simulation.engines[args[0]].accepted)); got != args[1] {
			return "got " + got
		}
	case "expect-interrupted":
		if got := fmt.Sprint(simulation.engines[args[0]].interrupted); got != args[1] {
			return "got " + got
		}
	case "expect-serving":
		if got := fmt.Sprint(simulation.serving(args[0])); got != args[1] {
			return "got " + got
		}
	case "expect-least-serving":
		if got := fmt.Sprint(simulation.leastServing[args[0]]); got != args[1] {
			return "got " + got
		}
	case "expect-most-changing":
		if got := fmt.Sprint(simulation.mostChanging); got != args[0] {
			return "got " + got
		}
	case "expect-first-order":
		first := slices.MinFunc(slices.Collect(maps.Values(simulation.engines)), func(a, b *fakeEngine) int {
			return a.firstOrderNumber().Compare(b.firstOrderNumber())
		})
		if first.name != args[0] {
			return "got " + first.name
		}
	case "expect-fencing":
		if got := fmt.Sprint(simulation.rows["lease/g1"].Fencing); got != args[0] {
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
	for _, status := range holder.orders[script.simulation.state.Engines[name].Group].Status() {
		if status.Engine == name {
			if status.Reason != want {
				return fmt.Sprintf("got phase %s, reason %q", status.Phase, status.Reason)
			}
			return ""
		}
	}
	return "the holder does not know the engine"
}

// difference describes an engine that differs from its declaration, or returns
// "".
func (simulation *simulation) difference() string {
	for _, name := range slices.Sorted(maps.Keys(simulation.state.Engines)) {
		declared := simulation.state.Engines[name]
		state := simulation.engines[name].state
		if want := lwtorder.DeclaredConfig(simulation.state, declared, declared.Role); state.Reconfiguring ||
			!state.Config.Equal(want) {
			return fmt.Sprintf("%s: got %+v, want %+v", name, state, want)
		}
	}
	return ""
}

// TestScripts runs the scripts under testdata/script. The first lines of each
// script say which failure it guards against.
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
