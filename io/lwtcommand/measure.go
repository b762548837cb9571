package lwtcommand

import (
	"encoding/json"
	"fmt"
	"sync"
	"text/tabwriter"

	"lacewingtide/core/lwtservingsim"
)

type measureCommand struct {
	MixShift measureMixShift `command:"mix-shift" description:"compare policies in virtual time while the request mix shifts"`
	streams  streams
}

type measureMixShift struct {
	Deployment string  `long:"deployment" required:"true" choice:"cristalier" choice:"himalchhat" description:"fleet and workload"`
	Seed       uint64  `long:"seed" default:"1" description:"seed of the arrivals and of all random choices"`
	Load       float64 `long:"load" default:"1" description:"mean load as a multiple of the fleet's capacity"`
	JSON       bool    `long:"json" description:"print the results as JSON"`
	Plot       string  `long:"plot" description:"write a plot of goodput over time to a file (.png or .svg)"`
	streams    streams
}

// Execute implements flags.Commander.
func (command *measureMixShift) Execute([]string) error {
	deployment, err := lwtservingsim.FindDeployment(command.Deployment)
	if err != nil {
		return err
	}
	if command.Load <= 0 {
		return fmt.Errorf("--load must be above 0, not %v", command.Load)
	}
	experiment := lwtservingsim.Experiment{
		Deployment: deployment, Seed: command.Seed, Load: command.Load, Duration: lwtservingsim.DefaultDuration,
		Failures: lwtservingsim.DefaultFailures(lwtservingsim.DefaultDuration),
	}
	results := runPolicies(experiment, lwtservingsim.Policies(deployment))
	if command.Plot != "" {
		if err := plotMixShift(command.Plot, experiment, results); err != nil {
			return err
		}
	}
	if command.JSON {
		return command.writeJSON(results)
	}
	return command.writeTable(results)
}

// runPolicies runs the policies in parallel on the same arrivals. Each run is
// deterministic on its own, so the results do not depend on scheduling.
func runPolicies(experiment lwtservingsim.Experiment, policies []lwtservingsim.Policy) []lwtservingsim.Result {
	arrivals := lwtservingsim.Arrivals(experiment.Deployment, experiment.Seed, experiment.Load, experiment.Duration)
	results := make([]lwtservingsim.Result, len(policies))
	var runs sync.WaitGroup
	for i, policy := range policies {
		runs.Go(func() { results[i] = lwtservingsim.Run(experiment, policy, arrivals) })
	}
	runs.Wait()
	return results
}

// policyResult is the JSON form of a policy's result. Times are in seconds.
type policyResult struct {
	Name                    string  `json:"name"`
	Goodput                 float64 `json:"goodput"`
	RoleChanges             int     `json:"role-changes"`
	ChatTimeToFirstTokenP95 float64 `json:"chat-first-token-p95"`
	InterTokenLatencyP95    float64 `json:"between-tokens-p95"`
	Offered                 int     `json:"offered"`
	OnTime                  int     `json:"on-time"`
	Rejected                int     `json:"not-run"`
	Late                    int     `json:"late"`
	Interrupted             int     `json:"cut"`
	RanTwice                int     `json:"ran-twice"`
	RejectedButRan          int     `json:"not-run-but-ran"`
}

func newPolicyResult(result lwtservingsim.Result) policyResult {
	return policyResult{
		Name: result.Name, Goodput: result.Goodput(),
		RoleChanges: result.RoleChanges, ChatTimeToFirstTokenP95: result.ChatTimeToFirstTokenP95.Seconds(),
		InterTokenLatencyP95: result.InterTokenLatencyP95.Seconds(), Offered: result.Offered, OnTime: result.OnTime,
		Rejected: result.Rejected, Late: result.Late, Interrupted: result.Interrupted,
		RanTwice: result.RanTwice, RejectedButRan: result.RejectedButRan,
	}
}

// writeJSON prints the results as JSON, with times in seconds.
func (command *measureMixShift) writeJSON(results []lwtservingsim.Result) error {
	policies := make([]policyResult, 0, len(results))
	for _, result := range results {
		policies = append(policies, newPolicyResult(result))
	}
	encoder := json.NewEncoder(command.streams.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(struct {
		Deployment string         `json:"deployment"`
		Seed       uint64         `json:"seed"`
		Load       float64        `json:"load"`
		Policies   []policyResult `json:"policies"`
	}{command.Deployment, command.Seed, command.Load, policies})
}

func (command *measureMixShift) writeTable(results []lwtservingsim.Result) error {
	table := tabwriter.NewWriter(command.streams.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	// Flush reports the errors of all writes.
	_, _ = fmt.Fprintln(table, "policy\tgoodput\trole changes\tchat first token p95\tbetween tokens p95\t"+
		"offered\tnot-run\tlate\tcut\tran twice\tnot-run but ran\t")
	for _, result := range results {
		_, _ = fmt.Fprintf(table, "%s\t%.4f\t%d\t%.3f s\t%.1f ms\t%d\t%d\t%d\t%d\t%d\t%d\t\n",
			result.Name, result.Goodput(), result.RoleChanges, result.ChatTimeToFirstTokenP95.Seconds(),
			result.InterTokenLatencyP95.Seconds()*1000, result.Offered, result.Rejected, result.Late, result.Interrupted,
			result.RanTwice, result.RejectedButRan)
	}
	return table.Flush()
}
