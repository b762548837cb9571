package lwtmembersim

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"lacewingtide/core/lwtmember"
)

// Script runs commands on a cluster, one per line. Names are d0, d1 and so on. A
// duration is written as 5s or 2m.
//
//	start NAMES [peers NAMES|none] [behind]   start or replace daemons
//	run DURATION                              advance the time
//	kill NAMES, leave NAMES, pause NAMES DURATION
//	cut NAMES to NAMES                        drop messages in one direction
//	partition NAMES from NAMES, heal
//	agree DURATION                            fail unless all agree within the time
//	seen NAMES STATUS                         fail unless all others have them in the status
//	reset                                     clear the observed events
//	declared-dead NAMES COUNT                 fail unless COUNT daemons declared each one dead
//	paused NAMES, replaced NAMES              fail unless the daemons noticed it themselves
//
// NAMES is a comma-separated list of names, ranges such as d0-d7, or zones such
// as zone-1. Lines that start with # are comments.
type Script struct {
	cluster  *Cluster
	dead     map[string]map[string]bool
	paused   map[string]bool
	replaced map[string]bool
}

// NewScript returns a runner of scripts on a cluster. It replaces the cluster's
// observer.
func NewScript(cluster *Cluster) *Script {
	script := &Script{cluster: cluster}
	script.reset()
	cluster.Observe(script.observe)
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

// Run runs the lines of a script. An error contains the number and the text of the line
// that failed.
func (script *Script) Run(text string) error {
	for number, line := range strings.Split(text, "\n") {
		words := strings.Fields(line)
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		if err := script.runLine(words); err != nil {
			return fmt.Errorf("line %d: %s: %w", number+1, line, err)
		}
	}
	return nil
}

func (script *Script) runLine(words []string) error {
	words = append(words, "", "", "", "", "")
	switch words[0] {
	case "run":
		duration, err := time.ParseDuration(words[1])
		script.cluster.Run(duration)
		return err
	case "agree":
		return script.waitForAgreement(words[1])
	case "heal":
		script.cluster.Heal()
		return nil
	case "reset":
		script.reset()
		return nil
	}
	indexes, err := script.indexes(words[1])
	if err != nil {
		return err
	}
	return script.runOnDaemons(words, indexes)
}

func (script *Script) runOnDaemons(words []string, indexes []int) error {
	switch words[0] {
	case "start":
		return script.start(words, indexes)
	case "cut", "partition":
		return script.cutLinks(words, indexes)
	}
	for _, index := range indexes {
		if err := script.runOnDaemon(words, index); err != nil {
			return err
		}
	}
	return nil
}

func (script *Script) runOnDaemon(words []string, index int) error {
	address := Address(index)
	switch words[0] {
	case "kill":
		script.cluster.Kill(address)
	case "leave":
		script.cluster.Dispatch(address, lwtmember.Leave{})
	case "pause":
		duration, err := time.ParseDuration(words[2])
		script.cluster.Pause(address, duration)
		return err
	case "seen":
		return script.checkStatus(index, words[2])
	case "declared-dead":
		count, err := strconv.Atoi(words[2])
		if err == nil && len(script.dead[address]) != count {
			return fmt.Errorf("%s was declared dead by %d daemons, want %d", Name(index), len(script.dead[address]), count)
		}
		return err
	case "paused":
		return checkNoticed(script.paused[address], index)
	case "replaced":
		return checkNoticed(script.replaced[address], index)
	default:
		return fmt.Errorf("unknown command")
	}
	return nil
}

func checkNoticed(noticed bool, index int) error {
	if !noticed {
		return fmt.Errorf("%s did not notice", Name(index))
	}
	return nil
}

func (script *Script) waitForAgreement(timeout string) error {
	limit, err := time.ParseDuration(timeout)
	if err != nil {
		return err
	}
	if _, agreed := script.cluster.RunUntil(limit, func() bool {
		return script.cluster.CheckAgreement() == nil
	}); !agreed {
		return script.cluster.CheckAgreement()
	}
	return nil
}

func (script *Script) checkStatus(index int, status string) error {
	for _, known := range []lwtmember.Status{lwtmember.Alive, lwtmember.Suspect, lwtmember.Leaving, lwtmember.Dead} {
		if known.String() != status {
			continue
		}
		if holders, running := script.cluster.CountStatus(index, known); holders != running {
			return fmt.Errorf("%d of %d daemons have status %s for %s", holders, running, status, Name(index))
		}
		return nil
	}
	return fmt.Errorf("unknown status %q", status)
}

func (script *Script) start(words []string, indexes []int) error {
	peers, behind := make([]string, 0, len(script.cluster.names)), words[2] == "behind" || words[4] == "behind"
	list := "d0-" + Name(len(script.cluster.names)-1)
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
		script.cluster.Start(index, peers, behind)
	}
	return nil
}

func (script *Script) cutLinks(words []string, indexes []int) error {
	others, err := script.indexes(words[3])
	if err != nil {
		return err
	}
	for _, from := range indexes {
		for _, to := range others {
			script.cluster.CutLink(Address(from), Address(to))
			if words[0] == "partition" {
				script.cluster.CutLink(Address(to), Address(from))
			}
		}
	}
	return nil
}

func (script *Script) indexes(list string) ([]int, error) {
	var indexes []int
	for _, item := range strings.Split(list, ",") {
		if strings.HasPrefix(item, "zone-") {
			for index := range script.cluster.names {
				if script.cluster.AvailabilityZone(index) == item {
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
