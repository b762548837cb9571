package lwtmembersim

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"lacewingtide/core/lwtmember"
)

// Script runs commands on a fleet, one per line. Names are d0, d1 and so on;
// a span is written as 5s or 2m.
//
//	start NAMES [peers NAMES|none] [behind]   start or replace daemons
//	run SPAN                                  let time pass
//	kill NAMES, leave NAMES, pause NAMES SPAN
//	cut NAMES to NAMES                        drop messages one way
//	partition NAMES from NAMES, heal
//	agree SPAN                                fail unless all agree in time
//	seen NAMES STATUS                         fail unless all hold a status
//	reset                                     forget what was observed
//	declared-dead NAMES COUNT                 fail unless so many observers declared it
//	paused NAMES, replaced NAMES              fail unless the daemon noticed
//
// NAMES is a comma list of names, ranges such as d0-d7, or zones such as
// zone-1. Lines that start with # are comments.
type Script struct {
	fleet    *Cluster
	dead     map[string]map[string]bool
	paused   map[string]bool
	replaced map[string]bool
}

// NewScript returns a script runner over a fleet.
func NewScript(fleet *Cluster) *Script {
	script := &Script{fleet: fleet}
	script.reset()
	fleet.Observe(script.observe)
	return script
}

func (script *Script) reset() {
	script.dead = map[string]map[string]bool{}
	script.paused, script.replaced = map[string]bool{}, map[string]bool{}
}

func (script *Script) observe(_ time.Time, daemon string, cmd lwtmember.Cmd) {
	switch cmd := cmd.(type) {
	case lwtmember.Changed:
		if cmd.Member.Status != lwtmember.Dead {
			return
		}
		if script.dead[cmd.Member.Address] == nil {
			script.dead[cmd.Member.Address] = map[string]bool{}
		}
		script.dead[cmd.Member.Address][daemon] = true
	case lwtmember.SelfPaused:
		script.paused[daemon] = true
	case lwtmember.SelfReplaced:
		script.replaced[daemon] = true
	}
}

// Run runs the lines of a script. The error names the line that failed.
func (script *Script) Run(text string) error {
	for number, line := range strings.Split(text, "\n") {
		words := strings.Fields(line)
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		if err := script.line(words); err != nil {
			return fmt.Errorf("line %d: %s: %w", number+1, line, err)
		}
	}
	return nil
}

func (script *Script) line(words []string) error {
	words = append(words, "", "", "", "", "")
	switch words[0] {
	case "run":
		span, err := time.ParseDuration(words[1])
		script.fleet.Run(span)
		return err
	case "agree":
		return script.agree(words[1])
	case "heal":
		script.fleet.Heal()
		return nil
	case "reset":
		script.reset()
		return nil
	}
	indexes, err := script.indexes(words[1])
	if err != nil {
		return err
	}
	return script.each(words, indexes)
}

func (script *Script) each(words []string, indexes []int) error {
	switch words[0] {
	case "start":
		return script.start(words, indexes)
	case "cut", "partition":
		return script.cut(words, indexes)
	}
	for _, index := range indexes {
		if err := script.one(words, index); err != nil {
			return err
		}
	}
	return nil
}

func (script *Script) one(words []string, index int) error {
	address := Address(index)
	switch words[0] {
	case "kill":
		script.fleet.Kill(address)
	case "leave":
		script.fleet.Dispatch(address, lwtmember.Leave{})
	case "pause":
		span, err := time.ParseDuration(words[2])
		script.fleet.Pause(address, span)
		return err
	case "seen":
		return script.seen(index, words[2])
	case "declared-dead":
		count, err := strconv.Atoi(words[2])
		if err == nil && len(script.dead[address]) != count {
			return fmt.Errorf("%s was declared dead by %d daemons", Name(index), len(script.dead[address]))
		}
		return err
	case "paused":
		return noticed(script.paused[address], index)
	case "replaced":
		return noticed(script.replaced[address], index)
	default:
		return fmt.Errorf("no such command")
	}
	return nil
}

func noticed(seen bool, index int) error {
	if !seen {
		return fmt.Errorf("%s did not notice", Name(index))
	}
	return nil
}

func (script *Script) agree(span string) error {
	most, err := time.ParseDuration(span)
	if err != nil {
		return err
	}
	if _, agreed := script.fleet.RunUntil(most, func() bool { return script.fleet.CheckAgreement() == nil }); !agreed {
		return script.fleet.CheckAgreement()
	}
	return nil
}

func (script *Script) seen(index int, status string) error {
	for _, known := range []lwtmember.Status{lwtmember.Alive, lwtmember.Suspect, lwtmember.Leaving, lwtmember.Dead} {
		if known.String() != status {
			continue
		}
		if holders, running := script.fleet.CountStatus(index, known); holders != running {
			return fmt.Errorf("%d of %d daemons hold %s for %s", holders, running, status, Name(index))
		}
		return nil
	}
	return fmt.Errorf("no status %q", status)
}

func (script *Script) start(words []string, indexes []int) error {
	peers, behind := make([]string, 0, len(script.fleet.names)), words[2] == "behind" || words[4] == "behind"
	list := "d0-" + Name(len(script.fleet.names)-1)
	if words[2] == "peers" {
		list = words[3]
	}
	if list != "none" {
		chosen, err := script.indexes(list)
		if err != nil {
			return err
		}
		for _, index := range chosen {
			peers = append(peers, Address(index))
		}
	}
	for _, index := range indexes {
		script.fleet.Start(index, peers, behind)
	}
	return nil
}

func (script *Script) cut(words []string, indexes []int) error {
	others, err := script.indexes(words[3])
	if err != nil {
		return err
	}
	for _, from := range indexes {
		for _, to := range others {
			script.fleet.CutLink(Address(from), Address(to))
			if words[0] == "partition" {
				script.fleet.CutLink(Address(to), Address(from))
			}
		}
	}
	return nil
}

func (script *Script) indexes(list string) ([]int, error) {
	var indexes []int
	for _, item := range strings.Split(list, ",") {
		if strings.HasPrefix(item, "zone-") {
			for index := range script.fleet.names {
				if script.fleet.Zone(index) == item {
					indexes = append(indexes, index)
				}
			}
			continue
		}
		first, last, found := strings.Cut(item, "-")
		if !found {
			last = first
		}
		low, err := strconv.Atoi(strings.TrimPrefix(first, "d"))
		if err != nil {
			return nil, fmt.Errorf("no daemon %q", item)
		}
		high, err := strconv.Atoi(strings.TrimPrefix(last, "d"))
		if err != nil {
			return nil, fmt.Errorf("no daemon %q", item)
		}
		for index := low; index <= high; index++ {
			indexes = append(indexes, index)
		}
	}
	return indexes, nil
}
