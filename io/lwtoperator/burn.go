package lwtoperator

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtburn"
	"lacewingtide/core/lwtdeclaredstate"
)

const reportPath = "/v1/report"

// BurnResponse is a daemon's part of the burn report.
type BurnResponse struct {
	Snapshot   lwtburn.Snapshot                                      `json:"snapshot"`
	Revision   int64                                                 `json:"number"`
	Objectives map[lwtdeclaredstate.Class]lwtdeclaredstate.Objective `json:"objectives"`
}

// HandleBurn adds the path of the burn report. It must be called before Serve.
func (server *Server) HandleBurn(snapshot func(now time.Time) lwtburn.Snapshot) {
	server.Handle(fasthttp.MethodGet, reportPath, func(ctx *fasthttp.RequestCtx) {
		state, _ := server.dependencies.Tickets.State()
		writeJSON(ctx, fasthttp.StatusOK, BurnResponse{snapshot(time.Now()), state.Revision, state.Objectives})
	})
}

// Burn reads the counts of all daemons and computes the report under the newest
// objectives. The report covers the daemons that answered; the error names the
// others.
func (client *Client) Burn() (lwtburn.Report, error) {
	var total BurnResponse
	var failures []error
	for _, daemon := range client.daemons {
		var answer BurnResponse
		if err := client.burnOf(daemon, &answer); err != nil {
			failures = append(failures, fmt.Errorf("%s: %w", daemon, err))
			continue
		}
		total.Snapshot = total.Snapshot.With(answer.Snapshot)
		if answer.Revision >= total.Revision {
			total.Revision, total.Objectives = answer.Revision, answer.Objectives
		}
	}
	return lwtburn.NewReport(total.Snapshot, total.Objectives), errors.Join(failures...)
}

func (client *Client) burnOf(daemon string, answer *BurnResponse) error {
	var status int
	var body []byte
	var err error
	if status, body, err = client.call(daemon, fasthttp.MethodGet, reportPath, nil); err != nil {
		return err
	}
	if status != fasthttp.StatusOK {
		return fmt.Errorf("status %d: %s", status, message(body))
	}
	return json.Unmarshal(body, answer)
}
