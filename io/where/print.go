package where

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
)

// Print prints an answer as a table.
func Print(out io.Writer, raw []byte) error {
	var body answerBody
	if err := json.Unmarshal(raw, &body); err != nil {
		return errors.Wrap(err, "the answer is not that of a process")
	}
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line := func(name, format string, args ...any) {
		fmt.Fprintf(tab, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
	line("process", "%s, ready %t", body.Process, body.Ready)
	line("outcome", "%s", body.Outcome)
	line("state", "version %d, revision %d, era %d, confirmed %s, from %s, lags %t", body.Version, body.Revision, body.Era, agoText(body.StateAge), body.Source, body.Lags)
	for _, evc := range body.Evacuations {
		line("evacuated", "%s since %s, from %s, revision %d, era %d", evc.Zone, evc.Since.Format(time.RFC3339), evc.Source, evc.Revision, evc.Era)
	}
	if rte := body.Route; rte != nil {
		line("route", "%s to %s", rte.Name, sharesText(rte.Shares))
	}
	if hnt := body.Hint; hnt != nil {
		line("flow", "%s, agents %s", hnt.Phase, strings.Join(hnt.Agents, " "))
	}
	if body.Asked != "" {
		line("asked", "%s; if silent or unable %s; if full %s", body.Asked, orNone(body.Next), orNone(body.IfFull))
	}
	if agt := body.Agent; agt != nil {
		line("opening", "refusal %s, if it may queue %s; route leads here %t", agt.Refusal, agt.QueueRefusal, agt.LeadsHere)
		line("upstream", "service %s, %d of at most %d requests under way on %d slots, %d queued, %d flows", agt.Service, agt.UnderWay, agt.Limit, agt.Slots, agt.Queued, agt.Flows)
		line("cold", "%s, limit %d, entry until %s", agt.ColdSource, agt.ColdLimit, timeText(agt.EntryColdUntil))
		line("flow", "%s, table complete %t", orNone(agt.Flow), agt.TableIsComplete)
	}
	if err := tab.Flush(); err != nil {
		return err
	}
	for _, svc := range body.Services {
		if err := svc.print(out); err != nil {
			return err
		}
	}
	return nil
}

// print prints a service with its agents.
func (svc serviceBody) print(out io.Writer) error {
	var reasons []string
	for reason, count := range svc.LeftOut {
		reasons = append(reasons, fmt.Sprintf("%s %d", reason, count))
	}
	slices.Sort(reasons)
	fmt.Fprintf(out, "\nservice %s (weight %d): %s; listed %d, compared %d, left out: %s\n",
		orNone(svc.Service), svc.Weight, svc.Outcome, svc.Listed, svc.Compared, orNone(strings.Join(reasons, ", ")))
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "agent\tupstream\tzone\tcost\twhy\trequests\tflows\tslots\tpending\tload heard\tunanswered\tcold until")
	for _, cnd := range svc.Candidates {
		fmt.Fprintf(tab, "%s\t%s\t%s\t%s\t%s\t%.1f\t%d\t%d\t%d\t%s\t%s\t%s\n", cnd.Agent, cnd.Upstream, cnd.Zone, cnd.costText(), cnd.why(),
			cnd.Requests, cnd.Flows, cnd.Slots, cnd.Pending, agoText(cnd.LoadAge), millisText(cnd.Unanswered), timeText(cnd.ColdUntil))
	}
	if shown := len(svc.Candidates); shown < svc.Listed {
		fmt.Fprintf(tab, "%d more\n", svc.Listed-shown)
	}
	return tab.Flush()
}

func (cnd candidateBody) costText() string {
	if cnd.Exclusion != "" {
		return "-"
	}
	return fmt.Sprintf("%.3f", cnd.Total)
}

// why returns the reason why the agent gets no new flows, or the causes of its cost.
func (cnd candidateBody) why() string {
	if cnd.Exclusion != "" {
		return cnd.Exclusion
	}
	var terms []string
	for _, trm := range cnd.Terms {
		if trm.Value != 0 {
			terms = append(terms, fmt.Sprintf("%s %.3f", trm.Name, trm.Value))
		}
	}
	return strings.Join(terms, " + ")
}

func sharesText(shrs []shareBody) string {
	var texts []string
	for _, shr := range shrs {
		texts = append(texts, fmt.Sprintf("%s (weight %d)", shr.Service, shr.Weight))
	}
	return orNone(strings.Join(texts, ", "))
}

func millisText(millis *int64) string {
	if millis == nil {
		return "-"
	}
	return (time.Duration(*millis) * time.Millisecond).String()
}

func agoText(millis *int64) string {
	if millis == nil {
		return "never"
	}
	return millisText(millis) + " ago"
}

func timeText(at time.Time) string {
	if at.IsZero() {
		return "-"
	}
	return at.Format(time.RFC3339)
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
