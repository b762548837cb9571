package lwtburnreport_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"lacewingtide/core/lwtburn"
	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/io/lwtburnreport"
)

func burningReport() lwtburn.Report {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	recorder := lwtburn.New("d1")
	for range 10 {
		recorder.Add(now, lwtburn.FinishedRequest{
			Key:     lwtburn.BudgetKey{Class: lwtdeclaredstate.ClassChat, Caller: "<shop>"},
			Outcome: lwtburn.OutcomeLate, Engine: "e1", Revision: 7,
		})
	}
	objective := lwtdeclaredstate.Objective{Class: lwtdeclaredstate.ClassChat, Target: 0.95}
	return lwtburn.NewReport(recorder.Snapshot(now),
		map[lwtdeclaredstate.Class]lwtdeclaredstate.Objective{lwtdeclaredstate.ClassChat: objective})
}

// TestTextNamesAlertAndCause guards against a text report without the alert or the
// engine that spent the error budget.
func TestTextNamesAlertAndCause(t *testing.T) {
	var text bytes.Buffer
	if err := lwtburnreport.WriteText(&text, burningReport()); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"burn 72h", "20.00", "page(burn>=14.4 over 1h)", "e1"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("no %q in:\n%s", want, &text)
		}
	}
}

// TestPageEscapesCallers guards against HTML injection by a caller's name.
func TestPageEscapesCallers(t *testing.T) {
	var html bytes.Buffer
	if err := lwtburnreport.WriteHTML(&html, burningReport()); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(html.String(), "<svg") || strings.Contains(html.String(), "<shop>") {
		t.Errorf("no plot, or an unescaped caller, in:\n%s", &html)
	}
}
