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

// BurnResponse is one daemon's contribution to the burn report.
type BurnResponse struct {
	Snapshot   lwtburn.Snapshot                                      `json:"snapshot"`
	Revision   int64                                                 `json:"number"`
	Objectives map[lwtdeclaredstate.Class]lwtdeclaredstate.Objective `json:"objectives"`
}

// HandleBurn registers the handler of the burn report. It must be called before
// Serve.
func (server *Server) HandleBurn(snapshot func(now time.Time) lwtburn.Snapshot) {
	server.Handle(fasthttp.MethodGet, reportPath, func(ctx *fasthttp.RequestCtx) {
		state, _ := server.dependencies.Tickets.State()
		writeJSON(ctx, fasthttp.StatusOK, BurnResponse{snapshot(time.Now()), state.Revision, state.Objectives})
	})
}

// Burn reads the counts of all daemons and computes the report with the
// objectives of the newest revision. The report covers the daemons that
// responded; the error names the others.
func (client *Client) Burn() (lwtburn.Report, error) {
	var total BurnResponse
	var failures []error
	for _, daemon := range client.daemons {
		var response BurnResponse
		if err := client.fetchBurn(daemon, &response); err != nil {
			failures = append(failures, fmt.Errorf("%s: %w", daemon, err))
			continue
		}
		total.Snapshot = total.Snapshot.With(response.Snapshot)
		if response.Revision >= total.Revision {
			total.Revision, total.Objectives = response.Revision, response.Objectives
		}
	}
	return lwtburn.NewReport(total.Snapshot, total.Objectives), errors.Join(failures...)
}

func (client *Client) fetchBurn(daemon string, response *BurnResponse) error {
	var status int
	var body []byte
	var err error
	if status, body, err = client.call(daemon, fasthttp.MethodGet, reportPath, nil); err != nil {
		return err
	}
	if status != fasthttp.StatusOK {
		return fmt.Errorf("status %d: %s", status, errorMessage(body))
	}
	return json.Unmarshal(body, response)
}
